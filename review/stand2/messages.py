"""HTTP/1.1 as the stand-ins of a case speak it; standard library only."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass, field

START = time.monotonic()


def now_ms() -> float:
    """Milliseconds since this script began."""
    return (time.monotonic() - START) * 1000.0


def digest(data: bytes) -> str:
    """A short name for what a body holds."""
    return hashlib.sha256(data).hexdigest()[:16]


@dataclass
class Message:
    """A request or an answer as it was read."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def identity(self) -> str:
        return self.headers.get("x-trace-id", "")

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None where the connection ends before one."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    bytes_per_s: float = 0.0,
    read: dict[str, int] | None = None,
) -> None:
    """Read the body that the head tells of, no faster than told; raises IncompleteReadError where it is cut.

    ``read``: counts the bytes read so far, by the id of the request.
    """
    counts = read if read is not None else {}
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0].strip(), 16):
            while size:
                piece = await reader.readexactly(min(size, 4096))
                message.body += piece
                size -= len(piece)
                counts[message.identity] = counts.get(message.identity, 0) + len(piece)
                if bytes_per_s:
                    await asyncio.sleep(len(piece) / bytes_per_s)
            await reader.readexactly(2)
        await reader.readline()
        return
    left = int(message.headers.get("content-length", "0"))
    pieces: list[bytes] = []
    while left:
        piece = await reader.read(min(left, 4096))
        if not piece:
            raise asyncio.IncompleteReadError(b"".join(pieces), left)
        pieces.append(piece)
        left -= len(piece)
        counts[message.identity] = counts.get(message.identity, 0) + len(piece)
        if bytes_per_s:
            await asyncio.sleep(len(piece) / bytes_per_s)
    message.body = b"".join(pieces)


def answer(status: int, body: bytes = b"", *lines: str) -> bytes:
    """The bytes of an answer."""
    head = [f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


def post(path: str, identity: str, ms: int, body: bytes, *lines: str) -> bytes:
    """The bytes of a request with a body, as a client sends them."""
    head = [f"POST {path} HTTP/1.1", "Host: service.internal", f"X-Trace-Id: {identity}", "X-Customer: acme",
            f"X-Expires-In-Ms: {ms}", *lines, f"Content-Length: {len(body)}"]  # fmt: skip
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def get(path: str, identity: str, ms: int, *lines: str) -> bytes:
    """The bytes of a request without a body."""
    head = [f"GET {path} HTTP/1.1", "Host: service.internal", f"X-Trace-Id: {identity}", "X-Customer: acme",
            f"X-Expires-In-Ms: {ms}", *lines]  # fmt: skip
    return ("\r\n".join(head) + "\r\n\r\n").encode()
