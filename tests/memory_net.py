"""Twisted's TCP in memory, on a virtual clock, to run the real components through scripted faults.

Events of the environment (the peers) change links at their exact virtual time; the program sees a change in
the next iteration of its reactor, or when it peeks. While the process is paused, the environment goes on.
"""
# ruff: noqa: N802, N803

from __future__ import annotations

import socket
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING, Any

from twisted.internet import error, main
from twisted.internet.abstract import FileDescriptor
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from tests.memory_reactor import MemoryReactor

WALL_S = 1.0e9  # Unix time at virtual time 0


class VirtualClock:
    """The clock, in milliseconds, with the events of the environment and the pauses of the process."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()
        self._pauses: list[list[float]] = []

    def at(self, at_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event of the environment, or run it at the next advance if its time is past."""
        heappush(self._events, (at_ms, next(self._number), event))

    def pause(self, at_ms: float, for_ms: float, reads: int) -> None:
        """Pause the process in its ``reads``-th next read of the clock after ``at_ms``, counted from 0."""
        self._pauses.append([at_ms, for_ms, reads])
        self._pauses.sort()

    def next_at(self) -> float | None:
        """The time of the environment's next event; None: there is none."""
        return self._events[0][0] if self._events else None

    def advance(self, to_ms: float) -> None:
        """Move the time forward, and run each event of the environment at its own time."""
        while self._events and self._events[0][0] <= to_ms:
            at, _, event = heappop(self._events)
            self.now = max(self.now, at)
            event()
        self.now = max(self.now, to_ms)

    def monotonic(self) -> float:
        """Monotonic time for the program, in seconds; a scheduled pause takes place in here."""
        if self._pauses and self._pauses[0][0] <= self.now:
            self._pauses[0][2] -= 1
            if self._pauses[0][2] < 0:
                self.advance(self.now + self._pauses.pop(0)[1])
        return self.now / 1000.0

    def time(self) -> float:
        """Unix time, for the program."""
        return WALL_S + self.now / 1000.0


class Link:
    """One TCP connection: the peer's end, and the program's socket."""

    def __init__(self) -> None:
        self.up = self.refused = False  # result of the dial; neither: still pending
        self.dead = False  # cut off: no bytes pass in either direction
        self.closed = False  # by the program
        self.received: Callable[[bytes], None] = lambda data: None
        self.on_read: Callable[[int], None] = lambda total: None
        self.on_close: Callable[[], None] = lambda: None
        self._inbound = bytearray()
        self._ended = self._was_reset = False
        self.written = self._read = 0

    @property
    def open(self) -> bool:
        """Whether bytes that the peer writes reach the program."""
        return self.up and not (self.dead or self.closed or self._ended or self._was_reset)

    def put(self, data: bytes) -> None:
        """The peer writes."""
        if self.open:
            self._inbound += data
            self.written += len(data)

    def end(self) -> None:
        """The peer closes its connection in order."""
        if not self.dead:
            self._ended = True

    def reset(self) -> None:
        """The peer resets the connection."""
        if not self.dead:
            self._was_reset = True
            self._inbound.clear()

    def readable(self) -> bool:
        return bool(self._inbound) or self._ended or self._was_reset

    def recv(self, size: int, flags: int = 0) -> bytes:
        """As a non-blocking socket."""
        if self._was_reset:
            raise ConnectionResetError
        if not self._inbound:
            if self._ended:
                return b""
            raise BlockingIOError
        data = bytes(self._inbound[:size])
        if not flags & socket.MSG_PEEK:
            del self._inbound[:size]
            self._read += len(data)
            self.on_read(self._read)
        return data

    def send(self, data: bytes) -> int:
        """Deliver the program's bytes to the peer at once, unless the link is closed or cut off."""
        if self._was_reset:
            raise ConnectionResetError
        if not (self.dead or self.closed):
            self.received(data)
        return len(data)

    def shutdown(self, how: int) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_close()


class MemoryTransport(FileDescriptor):
    """A TCP connection of the program; buffering and producers are those of Twisted itself."""

    def __init__(self, reactor: MemoryReactor, link: Link, protocol: Protocol) -> None:
        super().__init__(reactor)  # type: ignore[arg-type]
        self.link, self.protocol, self.connected = link, protocol, 1
        self._aborting = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def getHandle(self) -> Link:
        return self.link

    def writeSomeData(self, data: bytes) -> int | BaseException:
        try:
            return self.link.send(bytes(data))
        except OSError:
            return main.CONNECTION_LOST

    def doRead(self) -> BaseException | None:
        if self._aborting or not self.connected:
            return None
        try:
            data = self.link.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError:
            return main.CONNECTION_LOST
        if not data:
            return main.CONNECTION_DONE
        self.protocol.dataReceived(data)
        return None

    def doWrite(self) -> Any:
        return None if self._aborting else super().doWrite()  # type: ignore[no-untyped-call]

    def abortConnection(self) -> None:
        if self.disconnected or self._aborting:
            return
        self._aborting = True
        self.stopReading()  # type: ignore[no-untyped-call]
        self.stopWriting()  # type: ignore[no-untyped-call]
        why = Failure(error.ConnectionAborted())  # type: ignore[no-untyped-call]
        self.reactor.callLater(0, lambda: self.connectionLost(why))

    def connectionLost(self, reason: Failure) -> None:
        if self.disconnected:
            return
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        self.link.close()
        self.protocol.connectionLost(reason)


class MemoryConnector:
    """A connection that is being established."""

    def __init__(self, reactor: MemoryReactor, factory: ClientFactory, link: Link) -> None:
        self._reactor, self._factory, self.link = reactor, factory, link
        self._transport: MemoryTransport | None = None

    def settle(self) -> None:
        """The dial has succeeded or was refused."""
        self._reactor.dials.remove(self)
        if self.link.refused:
            self._fail(error.ConnectionRefusedError())  # type: ignore[no-untyped-call]
            return
        protocol: Any = self._factory.buildProtocol(None)
        assert protocol is not None
        self._transport = MemoryTransport(self._reactor, self.link, protocol)
        self._transport.startReading()  # type: ignore[no-untyped-call]
        protocol.makeConnection(self._transport)

    def _fail(self, why: Exception) -> None:
        self._factory.clientConnectionFailed(self, Failure(why))  # type: ignore[arg-type, no-untyped-call]

    def stopConnecting(self) -> None:
        if self not in self._reactor.dials:
            raise error.NotConnectingError
        self._reactor.dials.remove(self)
        self.link.close()
        self._fail(error.UserError())  # type: ignore[no-untyped-call]

    def disconnect(self) -> None:
        if self in self._reactor.dials:
            self.stopConnecting()
        elif self._transport is not None:
            self._transport.loseConnection()  # type: ignore[no-untyped-call]
