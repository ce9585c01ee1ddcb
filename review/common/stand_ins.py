"""Stand-ins for backends and discovery, as PROTOCOL-lupinlink.md describes them. Loopback only."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

OK_BODY = b"answer of a backend"
EMPTY_LINE_S = 2.0  # discovery writes an empty line so often while nothing changes


@dataclass
class Call:
    """One HTTP message that a stand-in has read."""

    first: str
    headers: dict[str, str]
    body: bytes
    began: float  # when its first byte was read
    whole: float = 0.0  # when its last byte was read

    @property
    def id(self) -> str:
        return self.headers.get("x-trace-id", "")


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request; None if the connection ends first."""
    try:
        first_byte = await reader.readexactly(1)
        began = time.monotonic()
        head = first_byte + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:] if line)}
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Call(lines[0], headers, body, began, time.monotonic())


class Server:
    """A listening stand-in; ``serve`` is called for each connection."""

    port = 0

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


Answering = Callable[[Call, asyncio.StreamWriter], Awaitable[None]]


async def answer_ok(call: Call, writer: asyncio.StreamWriter) -> None:
    """The usual answer, after some work."""
    await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(OK_BODY) + OK_BODY)
    await writer.drain()


@dataclass
class Backend(Server):
    """A backend: notes each request, and answers it by ``answer``."""

    uid: str
    zone: str
    note: Callable[[str], None]  # takes a line of the record for each request
    answer: Answering = answer_ok
    calls: list[Call] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (call := await read_call(reader)) is not None:
            if " /alive " in call.first or " /metrics/load " in call.first:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            self.calls.append(call)
            self.note(f"backend: {self.uid} runs {call.id}")
            await self.answer(call, writer)

    def row(self, state: str = "in_service") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone,
                "model": "standard-2c", "pod_group": 0, "state": state, "capacity_hint": 1.0,
                "boot_ms": 0}  # fmt: skip


@dataclass
class Discovery(Server):
    """Discovery: answers each call at once or after ``delay_s``; each watch gets each change in one write."""

    version: int = 41
    delay_s: float = 0.0
    states: dict[str, dict[str, Any]] = field(default_factory=dict)
    watches: list[asyncio.StreamWriter] = field(default_factory=list)
    written_at: float = 0.0  # of the last change

    def object(self, rows: list[dict[str, Any]] | None = None) -> dict[str, Any]:
        """The whole list, or a change."""
        whole = rows is None
        return {"rev": self.version, "all": whole, "targets": list(self.states.values()) if whole else rows}

    def list(self, *backends: Backend) -> None:
        """Put these backends on the list."""
        self.states.update({one.uid: one.row() for one in backends})

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (call := await read_call(reader)) is not None:
            await asyncio.sleep(self.delay_s)
            if "watch=1" not in call.first:
                text = json.dumps(self.object()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(self.object()))
            self.watches.append(writer)
            with suppress(ConnectionError):
                while not reader.at_eof():
                    try:
                        await asyncio.wait_for(reader.read(100), EMPTY_LINE_S)
                    except TimeoutError:
                        writer.write(b"1\r\n\n\r\n")
            self.watches.remove(writer)

    def change(self, *rows: dict[str, Any]) -> None:
        """Tell all watches that these entries have changed, in one write each."""
        self.version += 1
        for row in rows:
            self.states[row["uid"]] = row
        for writer in self.watches:
            writer.write(line(self.object(list(rows))))
        self.written_at = time.monotonic()


def line(item: dict[str, Any]) -> bytes:
    """One object on a watch, as a chunk."""
    text = json.dumps(item).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)
