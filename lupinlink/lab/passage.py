"""One connection of a proxy to an emulated application server."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Protocol

from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.referee import End
from lupinlink.lab.model.servers import Job, Server
from lupinlink.net import http1


class Front(Protocol):
    """What a connection needs of the listener that accepted it."""

    def opened(self, passage: Passage) -> None: ...
    def asked(self, passage: Passage, message: http1.Message) -> None: ...
    def closed(self, passage: Passage) -> None: ...
    def end(self, passage: Passage, how: End) -> None: ...


class Passage(asyncio.Protocol):
    """One connection of a proxy to an application server."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self._parser = http1.RequestParser()
        self.transport: asyncio.Transport | None = None
        self.ask: Ask | None = None  # whose attempt is out here
        self.number = -1
        self.proxy = -1  # where the address that it came to tells
        self.hushed = False  # its way is cut: nothing comes or goes
        self.job: Job | None = None
        self.fresh = True
        self.process: Server | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.front.opened(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            message = self._parser.next()
        except http1.MessageError:
            self.abort()
            return
        if message is not None:
            self.front.asked(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.closed(self)

    def gone(self) -> bool:
        """Whether the other side has ended, though that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        # asyncio's wrapper lacks recv: the descriptor is looked at under another number.
        number = self.transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(number)) as other:
            other.setblocking(False)
            try:
                return other.recv(1, socket.MSG_PEEK) == b""
            except BlockingIOError:
                return False
            except ConnectionError:
                return True

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.hushed:
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
