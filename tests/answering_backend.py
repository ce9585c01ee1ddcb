"""A backend that answers every request at once, as a process: ``python -m tests.answering_backend``."""

from __future__ import annotations

import asyncio
import subprocess
import sys

from tests.loopback_servers import OK
from tests.proxy_process import ROOT

HEAD_END = b"\r\n\r\n"


class Answering(asyncio.Protocol):
    """One connection."""

    def __init__(self) -> None:
        self.unread = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *heads, self.unread = (self.unread + data).split(HEAD_END)
        self.transport.write(OK * len(heads))


class AnsweringBackend:
    """The process, with the interface of the tests' other backends."""

    def __init__(self) -> None:
        words = [sys.executable, "-m", "tests.answering_backend"]
        self._process = subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def close(self) -> None:
        self._process.kill()
        self._process.communicate()


async def serve() -> None:
    """Print the port, then serve until the process is killed."""
    server = await asyncio.get_running_loop().create_server(Answering, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve())
