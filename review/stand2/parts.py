"""The stand-ins of a case: discovery, application servers and clients, on loopback; standard library only."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeAlias

from review.stand2.messages import Message, answer, chunk, now_ms, read_body, read_head

HOST = "127.0.0.1"
HEARTBEAT_S = 2.0
RESTART_S = 0.2


class Record:
    """What was sent, answered and run; one line each, written to record.txt at the end."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, event: str, /, **facts: object) -> None:
        told = " ".join(f"{key}={value}" for key, value in facts.items())
        self.lines.append(f"{now_ms():10.1f} ms  {event}  {told}".rstrip())

    def write(self, folder: Path) -> None:
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the machine of a process that has died does."""
    with suppress(OSError):
        made = writer.get_extra_info("socket")
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter
Serve = Callable[["Backend", Message, Reader, Writer], Awaitable[bool]]


class Backend:
    """An application server. ``serve`` takes a head, reads the body and answers; False ends it all."""

    def __init__(
        self, name: str, serve: Serve, zone: str = "a", cell: int = 0, buffers: int = 0, segment: int = 0
    ) -> None:
        self.name, self._serve, self.zone, self.cell, self.state = name, serve, zone, cell, "in_service"
        self.boot_ms = 0
        self._writers: set[asyncio.StreamWriter] = set()
        # A small buffer and segments of an Ethernet: a slow server is then slow to its clients too.
        self._buffers, self._segment = buffers, segment
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        made = socket.socket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._buffers:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._buffers)
        if self._segment:
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self._segment)
        made.bind((HOST, port))
        made.listen(256)
        self.port = made.getsockname()[1]
        self._server = await asyncio.start_server(self._talk, sock=made, limit=self._buffers or 65536)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                if not await self._serve(self, message, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def die(self) -> None:
        """End as a process that is killed: connections are reset, new ones refused."""
        assert self._server is not None
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all connections; the process goes on."""
        for writer in list(self._writers):
            reset(writer)

    async def restart(self) -> None:
        """End as a process that is killed; another one follows at once at the same address."""
        self.die()
        await asyncio.sleep(RESTART_S)
        await self.start(self.port)

    def row(self) -> dict[str, Any]:
        return {"uid": self.name, "endpoint": f"{HOST}:{self.port}", "az": self.zone, "model": "m",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0,
                "boot_ms": self.boot_ms}  # fmt: skip


class Discovery:
    """Tells the whole list, and keeps watches, which get what changes."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends, self.rev, self.port = backends, 41, 0
        self._watches: set[asyncio.StreamWriter] = set()

    def listing(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": [one.row() for one in self.backends]}

    async def start(self) -> None:
        server = await asyncio.start_server(self._talk, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _talk(self, reader: Reader, writer: Writer) -> None:
        try:
            with suppress(ConnectionError):
                while (message := await read_head(reader)) is not None:
                    if "watch=1" not in message.first:
                        writer.write(answer(200, json.dumps(self.listing()).encode()))
                        continue
                    await self._watch(message, writer)
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _watch(self, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = message.first.partition("from=")[2].split(" ")[0]
        writer.write(chunk("\n" if known == str(self.rev) else json.dumps(self.listing()) + "\n"))
        self._watches.add(writer)
        while not writer.transport.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(chunk("\n"))

    def tell(self, *changed: dict[str, Any]) -> None:
        """Write a change to all watches."""
        self.rev += 1
        text = json.dumps({"rev": self.rev, "all": False, "targets": list(changed)}) + "\n"
        for writer in self._watches:
            writer.write(chunk(text))


class Client:
    """One connection of a client."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.written_ms: float | None = None  # when the kernel had taken the last byte of the request

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self._port)

    async def ask(self, request: bytes, timeout_s: float) -> Message | None:
        """Send a request; returns its answer, None where none came whole."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None and self.writer is not None
        writing: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(timeout_s):
                self.written_ms = None
                self.writer.write(request)
                writing = asyncio.create_task(self._note_written(self.writer))
                message = await read_head(self.reader)
                if message is not None:
                    await read_body(self.reader, message)
                return message
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            if writing is not None:
                writing.cancel()

    async def _note_written(self, writer: asyncio.StreamWriter) -> None:
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.005)
        if not writer.transport.is_closing():
            self.written_ms = now_ms()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
