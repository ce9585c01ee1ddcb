"""A client's connection as such: whether it gets on, what of it is read, and how it ends."""

from __future__ import annotations

import fcntl
import math
import sys
import termios
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.protocol import Protocol as Connection

from lupinlink.limits.body_progress import FIRST_HEAD_TIMEOUT_MS, HEAD_TIMEOUT_MS, BodyProgress
from lupinlink.limits.idle_reuse import IdlePeriod
from lupinlink.net import http1
from lupinlink.net.bodies import BodyBudget
from lupinlink.net.clients.phases import Phase
from lupinlink.net.counters import Counters
from lupinlink.net.proxy import Proxy
from lupinlink.net.request_types import ClientRequest
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import READ_BYTES, Transport, unsent

LOOKS = 4  # reads at most to find a client's end behind what it sent ahead; others wait meanwhile
UNREAD_MS = 20000.0  # so long may a client read nothing of an answer that is passed on to it


@dataclass(slots=True)
class IncomingRequest:
    """A request whose body is on its way."""

    call: ClientRequest
    progress: BodyProgress


class ConnectionOwner(Protocol):
    """What holds all connections, as one of them sees it."""

    proxy: Proxy
    clock: ReactorClock
    counters: Counters
    budget: BodyBudget  # for all bodies on their way in
    streaming: dict[ClientConnection, None]  # answers are being passed on to these
    uploading: dict[ClientConnection, None]  # their requests are with the decisions before their end

    @property
    def ready(self) -> bool:
        """Whether a front should send clients here."""

    def read(self, message: http1.Message, path: str) -> ClientRequest:
        """A request in the terms of the decisions; raises MessageError for what cannot be put so."""

    def enter(self, client: ClientConnection, phase: Phase | None, anew: bool = False) -> None:
        """A connection's phase begins, or begins ``anew``; None: it has ended."""

    def keeps(self, client: ClientConnection) -> bool:
        """Whether a connection that has its answer stays."""

    def lost(self, client: ClientConnection) -> None:
        """A connection has ended."""


class ClientConnection(Connection):
    """One connection, whatever is said on it."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, clients: ConnectionOwner) -> None:
        self._clients = clients
        self._parser = http1.RequestParser(http1.MAX_MESSAGE)
        self._intake: IncomingRequest | None = None
        self._deaf = self._not_reading = False
        self._unread: set[str] = set()  # why it is not read
        self._left = math.inf  # bytes still to be read by a peer that is to go, at the last look
        self.not_reading_since = 0.0
        self.phase: Phase | None = None
        self.since = 0.0  # when the phase began
        self.made_at = self.heard_at = clients.clock.now()
        self.asked = False  # a whole request was here
        self.address = ""
        self.idle_period: IdlePeriod | None = None  # while it stands between two requests
        self.handle = 0
        self.held_ms = 0.0  # how long its first request may have waited unread; inf: not known

    def bytes_to_go(self) -> tuple[int, int]:
        """Bytes still to go of a long answer or of a body that comes, and how many of both do not tell."""
        raise NotImplementedError

    def _drop_all(self) -> None:
        """Nothing more is taken or passed on here."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)

    def _look(self) -> bool | None:
        """Whether something has come that was not read yet; None: the client's end, or a break, is next."""
        byte = peek(self.transport)
        return None if byte == b"" else byte is not None

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        return bool(self._look())

    def has_left(self) -> bool:
        """Whether its client has closed, as far as can be seen now.

        Danger: its end may be here behind bytes that were not read yet. So these are read first, but for a
        body on its way in: it goes its own way, and without its last byte its request never runs.
        """
        for _ in range(LOOKS):
            if (more := self._look()) is None or self._deaf:
                return True
            if not more or self._unread or self._intake is not None:
                break
            self.transport.doRead()
        return self._deaf

    @property
    def begun(self) -> bool:
        """Whether a part of a request is here."""
        return self._parser.started()

    def stuck(self, now: float) -> bool:
        """Whether it does not read the answer that is passed on to it."""
        return self._not_reading and now - self.not_reading_since > UNREAD_MS

    @property
    def not_reading(self) -> bool:
        """Whether it does not read at the moment."""
        return self._not_reading

    def late(self, now: float) -> bool:
        """Whether the request that it is sending does not get on."""
        if self._intake is not None:
            return self._intake.progress.timed_out(now)
        return (
            now - self.since > HEAD_TIMEOUT_MS if self.asked else now - self.made_at > FIRST_HEAD_TIMEOUT_MS
        )

    def leave(self, overdue: bool) -> None:
        """Its time is up, or others need the room."""
        if self.phase is Phase.CLOSING and overdue:
            # Closing at once would take what a slow reader has still to read along.
            before, self._left = self._left, self._still_to_read()
            if not 0 < self._left < before:
                self.transport.abortConnection()
            else:
                self._clients.enter(self, Phase.CLOSING, anew=True)
        elif self.phase is Phase.CLOSING:
            # No reset, which could overtake the answer: our side has ended already, now the other does.
            self.transport.loseConnection()
        elif self._parser.started():
            self.reject(408, "request did not arrive")
        else:
            self.close()

    def abort(self) -> None:
        """End it at once."""
        self.transport.abortConnection()

    def _still_to_read(self) -> float:
        with suppress(OSError, AttributeError):
            waiting = fcntl.ioctl(self.transport.getHandle(), termios.TIOCOUTQ, b"\0" * 4)
            return float(int.from_bytes(waiting, sys.byteorder) + unsent(self.transport))
        return 0.0

    def reject(self, status: int, why: str) -> None:
        """Answer what is no proper request, and take nothing more from this connection."""
        self._clients.counters[f"rejected_{status}"] += 1
        text = [("Content-Type", "text/plain")]
        self.transport.write(http1.response(status, text, f"{why}\n".encode(), close=True))
        self.close()

    def close(self) -> None:
        """Take nothing more; what was written goes out. The one orderly end of a connection.

        Only our side ends, and what still comes is read and dropped until the client's does: a close over
        unread bytes resets the connection, and takes along an answer that is still on its way. The sweep
        aborts what does not get there.
        """
        self._deaf = True
        self._clients.enter(self, Phase.CLOSING)
        self._parser = http1.RequestParser()  # what it held is dropped
        self._drop_all()
        self.transport.unregisterProducer()
        self._unread.clear()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def make_way(self) -> None:
        """Others need its place: the socket goes as well, once what was written has gone to the kernel."""
        self.leave(overdue=False)
        self.transport.loseConnection()

    def _read_on(self, why: str, on: bool) -> None:
        """Read it, or leave it unread for that reason until ``on``."""
        before = bool(self._unread)
        if on:
            self._unread.discard(why)
        else:
            self._unread.add(why)
        if before != bool(self._unread):
            if self._unread:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()
