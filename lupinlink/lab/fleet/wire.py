"""Messages between the rig and its helpers: msgpack with its length before it, over a pair of sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec

MOST = 64 << 20


class Channel:
    """One end. A message is a list: what it is, then its figures."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._encoder = msgspec.msgpack.Encoder()

    @classmethod
    async def over(cls, sock: socket.socket) -> Channel:
        """On a connected socket."""
        return cls(*await asyncio.open_connection(sock=sock))

    def send(self, *message: Any) -> None:
        """Send one; a channel whose other end has gone takes no more and says nothing."""
        if not self._writer.is_closing():
            data = self._encoder.encode(message)
            self._writer.write(len(data).to_bytes(4, "big") + data)

    async def receive(self) -> list[Any] | None:
        """The next one, or None once the other end has gone."""
        try:
            size = int.from_bytes(await self._reader.readexactly(4), "big")
            if size > MOST:
                return None
            found: list[Any] = msgspec.msgpack.decode(await self._reader.readexactly(size))
        except (asyncio.IncompleteReadError, OSError):
            return None
        return found

    def close(self) -> None:
        """No more either way."""
        self._writer.close()
