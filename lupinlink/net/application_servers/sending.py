"""A connection to an application server as requests go out on it: heads, bodies as they come, rests."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Protocol

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol as TcpProtocol
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.interface import Status
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import Attempt, ServerPools
from lupinlink.net.application_servers.pool import Pool, PooledConnection
from lupinlink.net.bodies import SMALL_BODY_BYTES, Body
from lupinlink.net.request_types import AttemptResult
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import Timer
from lupinlink.net.twisted_types import READ_BYTES, Transport

STALL_MS = 5000.0  # so long may an application server take nothing of a body
WRITE_BYTES = 64 * 1024
EARLY_READS = 4  # at most, of what a server announces (1xx) before it was asked


class ConnectionOpener(Protocol):
    """What brought a connection up."""

    def made(self, connection: PooledConnection) -> None: ...


@implementer(IPullProducer)
class SendingConnection(TcpProtocol):
    """One connection to an application server: one attempt at a time, idle in its pool between.

    As a pull producer it learns when the kernel has taken a request's last byte: a break before that
    proves that the request never ran, a break after it does not.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, servers: ServerPools, pool: Pool, dial: ConnectionOpener) -> None:
        self._servers, self.pool, self._dial = servers, pool, dial
        self._attempt: Attempt | None = None
        self._parser = http1.ResponseParser(http1.MAX_MESSAGE)
        self._unsent: bytes | None = None
        self._body: Body | None = None  # of the request, while some of it is still to be sent
        self._sent = 0  # bytes of it that have gone out
        self._starved = False  # it has no more at the moment
        self._written = True
        self._beginning = False  # a request is being handed to the kernel by ``carry`` itself
        self._whole_by: Timer | None = None
        self._held_back = False  # by the client, which does not read
        self.idle_since = 0.0
        self.handle = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.idle_since = self._servers.clock.now()
        self._dial.made(self)

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt's request. No byte of one goes out but from here, and this is the last look before.

        Its connection may have been long on its way up: has its server been drained or replaced since, has
        its client gone, is there time left, is the list still relied on?
        """
        may_begin = self.pool.current and attempt.may_begin(self.pool.trip_ms)
        if not may_begin or self._servers.list_is_held():
            self._leave_unbegun(attempt)
            return
        unsent, body = attempt.request()
        # Danger: what discovery has written counts as told though it lies unread. Nothing from here to the
        # write may take long: no look at the clock, no call to the decisions, no turn of the reactor.
        news_cut_short = self._servers.read_pending_updates()
        if news_cut_short or not (self.pool.current and attempt.is_open):
            self._leave_unbegun(attempt)
            return
        self._attempt, attempt.connection = attempt, self
        self._unsent, self._body = unsent, body
        self._written, self._sent, self._starved = False, 0, False
        self._parser.for_head_request = attempt.only_head
        if self._body is not None:
            self._body.on_data = self._more
        if not self._ends_unasked():
            self._write_now()
            self.pool.sent_at = self._servers.clock.now()

    def _ends_unasked(self) -> bool:
        """Whether its server has ended or answered before its request: then no byte of that goes out.

        What is here is read, for it may say more than that. An end is left to the reactor.
        """
        attempt = self._attempt
        for _ in range(EARLY_READS):
            if not (byte := peek(self.transport)):
                return byte is not None
            self.transport.doRead()
            if self._attempt is not attempt:
                return True
        return False

    def _leave_unbegun(self, attempt: Attempt) -> None:
        """End an attempt of which no byte may go out any more; its connection rests again."""
        self._servers.counters["attempts_not_begun"] += 1
        self._rest(reuse=True, used=False)
        attempt.end(AttemptResult(Status.NOT_SENT))

    def _write_now(self) -> None:
        """Hand the request to the kernel in this call; what it does not take now goes as it has room.

        Danger: Twisted by itself writes in the reactor's next turn, after whatever else this one holds. A
        write that fails is left to the reactor: the transport still waits to write, and meets it again.
        """
        self._beginning = True
        try:
            self.transport.registerProducer(self, False)
            self.transport.doWrite()
        finally:
            self._beginning = False

    def resumeProducing(self) -> None:
        """All that was written has gone to the kernel."""
        if self._unsent is not None:
            data, self._unsent = self._unsent, None
            self.transport.write(data)
        elif self._body is not None and self._beginning:
            # Its caller does not hold the attempt yet, which a body may commit or end: from the next turn on.
            self.transport.startWriting()
        elif self._body is not None:
            self._pump()
        else:
            self._written = True
            self.transport.unregisterProducer()

    def _more(self) -> None:
        if self._starved or (self._body is not None and self._body.truncated):
            self._starved = False
            self._pump()

    def _pump(self) -> None:
        """Send on what is here of the request's body."""
        body = self._body
        assert body is not None
        if body.truncated:
            # Its end is never to be written, so it never runs.
            self._finish(AttemptResult(Status.NOT_SENT), reuse=False)
            return
        data = body.read(self._sent, WRITE_BYTES)
        self._sent += len(data)
        last = body.complete and self._sent == body.end
        if last:
            self._body, body.on_data = None, None
        out = data
        if body.length is None:
            out = http1.chunk(data) + (http1.LAST_CHUNK if last else b"")
        self._settle()
        if out:
            self.transport.write(out)
            attempt = self._attempt
            self._whole_by = self._servers.clock.after(STALL_MS, lambda: self._stalled(attempt))
        elif last:
            self.resumeProducing()
        else:
            self._starved = True
        body.mark_sent(self._sent)

    def _stalled(self, attempt: Attempt | None) -> None:
        # Timers that come due together all run: by now it may carry another.
        if attempt is not None and self._attempt is attempt and not self._written:
            self._servers.counters["uploads_stalled"] += 1
            self._finish(AttemptResult(Status.NOT_SENT), reuse=False)

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def drop(self) -> None:
        """Close at once. Twisted closes on its next turn, after other writes: the end must go first."""
        self._attempt = None
        self._settle()
        self._let_body_go()
        with suppress(OSError, AttributeError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def stale(self) -> bool:
        """Whether this idle connection has ended, or brought what nobody asked for: no request may meet it.

        Danger: bytes that came behind the last answer would be taken for the answer to the next request.
        """
        return peek(self.transport) is not None

    def catch_up(self) -> None:
        """Read what is here of an answer already, at most so much as one that is not passed on may hold.

        Danger: what is seen here may still not be given to a read. Nothing may be tried until it is.
        """
        for _ in range(SMALL_BODY_BYTES // READ_BYTES + 1):
            if self._attempt is None or not peek(self.transport):
                break
            self.transport.doRead()

    def _settle(self) -> None:
        if self._whole_by is not None:
            self._whole_by.drop()
            self._whole_by = None

    def _finish(self, end: AttemptResult, reuse: bool) -> None:
        self._settle()
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        attempt.connection = None
        self._rest(reuse)
        attempt.end(end)

    def _rest(self, reuse: bool, used: bool = True) -> None:
        """Back to the pool, or closed."""
        self._go_on()
        if reuse and self.pool.current:
            if used:
                self.idle_since = self._servers.clock.now()
            self.pool.rest(self)
        else:
            self.drop()

    def _go_on(self) -> None:
        if self._held_back:
            self._held_back = False
            self.transport.resumeProducing()

    def _let_body_go(self) -> None:
        """What is still to be sent of a request never will be, from here."""
        body, self._body = self._body, None
        if body is not None:
            body.on_data = None
