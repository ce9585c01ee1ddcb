"""The stand-in agreement service: Consul's published HTTP API, and calls that make it fail.

    python -m lupinlink.lab.fleet.consul [--port N] [--host H] [--seed N] [--ttl-floor S]

It prints one line of JSON with its ``port`` and its ``control`` port, and ends on SIGTERM or when its
standard input ends. A client is told by its address of loopback's: the one that it calls from, or, where
that is 127.0.0.1, the one that it calls. Calls under ``/_stand_in/`` (docs/design/fleet-rig.md) are best
sent to the control port, which answers whatever is played.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import suppress

from aiohttp import web

from lupinlink.lab.emulated import listen
from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.consul_calls import WHOLE_BODY, Api
from lupinlink.lab.fleet.consul_control import Control
from lupinlink.lab.fleet.consul_service import Service
from lupinlink.lab.fleet.gate import FIRST_PORT, attach, claim, detach


class Listener:
    """The service's port, which can be closed and opened again, or drop new connections unanswered."""

    def __init__(self, server: web.Server, sock: socket.socket) -> None:
        self._server, self._sock = server, sock
        self._host, self.port = sock.getsockname()
        self._open: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; the port is the same every time."""
        if self._open is None:
            if self._sock.fileno() < 0:
                self._sock = listen(self.port, host="" if self._host == "0.0.0.0" else self._host)
            self._open = await asyncio.get_running_loop().create_server(self._server, sock=self._sock)

    async def close(self) -> None:
        """Refuse new connections and reset the open ones, as a host does whose process has ended."""
        if self._open is not None:
            opened, self._open = self._open, None
            opened.close()
            self.reset(None)

    def drop(self, clients: tuple[str, ...] | None) -> None:
        """New connections from these addresses, or to them, never come up; None: none at all do."""
        if self._sock.fileno() >= 0:
            detach(self._sock)
            if clients is None or clients:
                attach(self._sock, addresses.drops_of(clients))

    def reset(self, client: str | None) -> None:
        """Break off the open connections of a client, or all."""
        for connection in self._server.connections:
            transport = connection.transport
            if transport is None or transport.get_extra_info("sockname")[1] != self.port:
                continue
            ends = {transport.get_extra_info(name)[0] for name in ("sockname", "peername")}
            if client is None or client in ends:
                transport.abort()


async def serve(host: str, port: int, seed: int, ttl_floor_s: float) -> None:
    """Serve until the end of standard input or SIGTERM."""
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    service = Service(loop, seed, ttl_floor_s)
    app = web.Application(client_max_size=WHOLE_BODY, middlewares=[service.troubled])
    Api(service).routes(app)
    control = Control(service)
    control.routes(app)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    server = runner.server
    assert server is not None
    sock = claim(port or FIRST_PORT + (os.getpid() * 41) % 15_000) if not host else listen(port, host=host)
    control.port = port_of = Listener(server, sock)
    await port_of.open()
    beside = await loop.create_server(server, "127.0.0.1", 0)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    with suppress(ValueError, OSError):  # nothing that could end
        await loop.connect_read_pipe(lambda: _Until(over), sys.stdin)
    ports = {"port": port_of.port, "control": beside.sockets[0].getsockname()[1]}
    print(json.dumps(ports), flush=True)
    await over.wait()
    await port_of.close()
    beside.close()
    await runner.cleanup()


class _Until(asyncio.Protocol):
    def __init__(self, over: asyncio.Event) -> None:
        self._over = over

    def eof_received(self) -> None:
        self._over.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self._over.set()


def main() -> int:
    """Read the words and serve."""
    words = argparse.ArgumentParser(prog="consul", description="The stand-in agreement service.")
    words.add_argument("--port", type=int, default=0, help="0: one that is free")
    words.add_argument("--host", default="", help="default: every address of loopback's")
    words.add_argument("--seed", type=int, default=0, help="of sessions' names and ends, and of jitter")
    words.add_argument("--ttl-floor", type=float, default=10.0, help="seconds; the least TTL of a session")
    found = words.parse_args()
    asyncio.run(serve(found.host, found.port, found.seed, found.ttl_floor))
    return 0


if __name__ == "__main__":
    sys.exit(main())
