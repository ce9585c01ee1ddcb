"""Application servers for crowds of clients, as one program: prints the port of each on a line.

``/look/give/N`` is answered with N bytes, ``/look/take`` reads its body, ``/look/deaf`` reads nothing,
``/look/late`` answers after some seconds, anything else at once.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress

LATE_S = 3.0
DEAF_S = 30.0
SERVERS = 8
READ_BYTES = 65536


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def read_body(reader: asyncio.StreamReader, fields: dict[bytes, bytes]) -> None:
    """Read a body to its end, and keep nothing of it."""
    if fields.get(b"transfer-encoding") == b"chunked":
        while size := int((await reader.readline()).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readline()
        return
    left = int(fields.get(b"content-length", b"0"))
    while left:
        piece = await reader.read(min(left, READ_BYTES))
        if not piece:
            raise ConnectionResetError
        left -= len(piece)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One connection."""
    with suppress(OSError, asyncio.IncompleteReadError, ValueError):
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            path = lines[0].split(b" ")[1]
            pairs = (line.partition(b":") for line in lines[1:] if line)
            fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
            if path == b"/look/deaf":
                await asyncio.sleep(DEAF_S)
                break
            await read_body(reader, fields)
            if path == b"/look/late":
                await asyncio.sleep(LATE_S)
            size = int(path.rsplit(b"/", 1)[1]) if path.startswith(b"/look/give/") else 20
            writer.write(answer(bytes(size)))
            await writer.drain()
    writer.close()


async def main() -> None:
    """Serve until standard input ends."""
    listening = [await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512) for _ in range(SERVERS)]
    for one in listening:
        print(one.sockets[0].getsockname()[1], flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
