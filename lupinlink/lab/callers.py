"""Clients on loopback: a pool of connections to each proxy, one request at a time on each."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

from lupinlink.net import http1

# What a connect fails with for want of something on this machine, not at the other side.
LACKING = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN}
)


@dataclass(slots=True)
class Answer:
    """What came back; ``status`` 0: nothing whole did. ``written``: whether the request had gone out."""

    status: int
    body: bytes = b""
    retry_after_ms: float = 0.0
    written: bool = True


class Line(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._parser = http1.ResponseParser()
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.used = False  # it has carried a request before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            message = self._parser.next()
        except http1.MessageError:
            message = None
            self.close()
        if message is None or self.call is None:
            return
        call, self.call = self.call, None
        self.used = True
        if message.keeps_open():
            self._pool.rest(self)
        else:
            self.close()
        seconds = message.get("retry-after")
        call.end(Answer(message.status, message.body, float(seconds) * 1000.0 if seconds else 0.0))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.lost(self)
        call, self.call = self.call, None
        if call is not None:
            if self.used and not self._parser.started() and not call.again:
                # It crossed the proxy's closing of a connection at rest: once more, on a new one.
                call.again = True
                self._pool.resent += 1
                self._pool.send(call, fresh=True)
            else:
                call.end(Answer(0))


class Call:
    """One request on its way."""

    __slots__ = ("again", "data", "done", "line", "name", "over", "sent_at")

    def __init__(self, name: str, data: bytes, done: Callable[[Answer], None]) -> None:
        self.name, self.data, self.done = name, data, done
        self.again = self.over = False
        self.line: Line | None = None
        self.sent_at = 0.0

    def end(self, answer: Answer) -> None:
        if not self.over:
            self.over = True
            self.done(answer)

    def leave(self) -> None:
        """The client goes away: its connection is closed, nothing more is told."""
        self.over = True
        if self.line is not None and self.line.call is self:
            self.line.call = None
            self.line.close()


class Silent(asyncio.Protocol):
    """A connection that says nothing; ``lost`` is told when it is closed."""

    def __init__(self, lost: Callable[[Silent], None]) -> None:
        self._lost = lost
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost(self)


class Flood:
    """So many silent connections over all proxies; one that is closed is opened again a little later."""

    AGAIN_S = 0.25

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: list[tuple[str, int]], count: int) -> None:
        self._loop, self._addresses = loop, addresses
        self._open: dict[Silent, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._over = False
        self.dialled = 0
        for i in range(count):
            self._dial(i % len(addresses))

    def _dial(self, proxy: int) -> None:
        if not self._over:
            self.dialled += 1
            task = self._loop.create_task(self._connect(proxy))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, proxy: int) -> None:
        try:
            _, silent = await self._loop.create_connection(
                lambda: Silent(self._lost), *self._addresses[proxy]
            )
        except OSError:
            self._loop.call_later(self.AGAIN_S, self._dial, proxy)
            return
        self._open[silent] = proxy

    def _lost(self, silent: Silent) -> None:
        proxy = self._open.pop(silent, 0)
        self._loop.call_later(self.AGAIN_S, self._dial, proxy)

    def end(self) -> None:
        """Close them all."""
        self._over = True
        for task in self._tasks:
            task.cancel()
        for silent in list(self._open):
            if silent.transport is not None:
                silent.transport.abort()


class Pool:
    """Connections to one proxy. ``wrote`` is told when a request has gone out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        most: int,
        wrote: Callable[[Call], None] | None = None,
        once: Callable[[], bool] = lambda: False,
        rest_s: float = 0.0,
        lacking: Callable[[OSError], None] = lambda exc: None,
    ) -> None:
        """``once``: drawn for each answer, whether its connection is never asked again but left to rest.

        ``lacking`` is told where it is this machine that has no descriptor or port left to connect with.
        """
        self._lacking = lacking
        self._loop, self._host, self._port, self.most = loop, host, port, most
        self._wrote, self._once, self._rest_s = wrote, once, rest_s
        self._idle: list[Line] = []
        self.open = 0
        self.dialled = 0
        self.resent = 0  # crossed the close of a connection at rest
        self.turned_away = 0  # found no connection to go out on
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def rests(self) -> bool:
        """Whether a connection waits for a request."""
        return bool(self._idle)

    def send(self, call: Call, fresh: bool = False) -> None:
        """Send on a connection at rest, or on a new one."""
        while self._idle and not fresh:
            line = self._idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                self._go(line, call)
                return
        if self.open >= self.most:
            self.turned_away += 1
            self._loop.call_soon(call.end, Answer(0, written=False))
            return
        self.open += 1
        self.dialled += 1
        task = self._loop.create_task(self._dial(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, call: Call) -> None:
        try:
            _, line = await self._loop.create_connection(lambda: Line(self), self._host, self._port)
        except OSError as exc:
            if exc.errno in LACKING:
                self._lacking(exc)
            self.open -= 1
            call.end(Answer(0, written=False))
            return
        if call.over:
            self.rest(line)
        else:
            self._go(line, call)

    def _go(self, line: Line, call: Call) -> None:
        line.call, call.line = call, line
        assert line.transport is not None
        call.sent_at = self._loop.time() * 1000.0
        # Told before it is done: whoever sees what comes of it must not seem to have seen it first.
        if self._wrote is not None:
            self._wrote(call)
        line.transport.write(call.data)

    def rest(self, line: Line) -> None:
        if self._once():
            self._loop.call_later(self._rest_s, line.close)
        else:
            self._idle.append(line)

    def lost(self, line: Line) -> None:
        self.open -= 1
        if line in self._idle:
            self._idle.remove(line)

    def close(self) -> None:
        for line in list(self._idle):
            line.close()
        self._idle.clear()
        for task in self._tasks:
            task.cancel()
