"""A connection to an application server that is kept between requests: return to the pool, and close."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from twisted.internet.protocol import Protocol as TcpProtocol

from lupinlink.limits.connection_reuse import MAX_LONG_RESTING, REST_MS
from lupinlink.limits.memory_account import Holding, MemoryKind
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import Attempt, ServerPools
from lupinlink.net.application_servers.pool import Pool, PooledConnection
from lupinlink.net.bodies import SMALL_BODY_BYTES, Body
from lupinlink.net.request_types import EndReason
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import Timer
from lupinlink.net.twisted_types import Transport

log = logging.getLogger("lupinlink.net.application_servers")
LOGGED_BYTES = 24  # of unrequested ones
IDLE_TIMEOUT_ANSWERS = tuple(b"HTTP/1.%d %d " % (minor, http1.REQUEST_TIMEOUT) for minor in (0, 1))


class ConnectionOpener(Protocol):
    """Is notified when the connection that it opened is established."""

    def connected(self, connection: PooledConnection) -> None: ...


class KeptConnection(TcpProtocol):
    """A connection that carries one attempt at a time and is idle in its pool otherwise."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, servers: ServerPools, pool: Pool, dial: ConnectionOpener) -> None:
        self._servers, self.pool, self._dial = servers, pool, dial
        self._attempt: Attempt | None = None
        self._parser = http1.ResponseParser(http1.MAX_MESSAGE)
        self._body: Body | None = None  # of the request, while some of it is still to be sent
        self._progress_timer: Timer | None = None
        self._paused = False  # not read, as the client does not read its streamed answer
        self._body_dropped = False  # of the answer that is arriving: it is of no use
        self._collected = Holding(servers.account, MemoryKind.COLLECTED)
        self._sending = Holding(servers.account, MemoryKind.SENDING)
        self._closed = False  # the reason of its close is logged
        self.on_closed: Callable[[], None] | None = None  # called when it ends while it is reserved
        self.requests_carried = 0
        self.last_identity = ""  # of the last request that it carried
        self.sent_at = 0.0  # when the last request was written
        self.idle_since = 0.0
        self.handle = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.set_read_size()
        self.idle_since = self._servers.clock.now()
        self._dial.connected(self)

    def set_read_size(self) -> None:
        """Read as much at a time as the level of memory pressure allows."""
        raise NotImplementedError

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt's request, after a last check that it may be sent."""
        raise NotImplementedError

    def drop(self, why: EndReason) -> None:
        """Close at once: Twisted alone would close it in the next loop iteration, after other writes."""
        self._attempt = None
        self._cancel_progress_timer()
        self._detach_body()
        self._hold_nothing()
        self._note_close(why)
        with suppress(OSError, AttributeError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()
        self._end_reservation()

    def _note_close(self, why: EndReason) -> None:
        """Count and log why it is closed; only the first reason counts."""
        if self._closed:
            return
        self._closed = True
        self._servers.counters[f"server_closes_{why.name.lower()}"] += 1
        if log.isEnabledFor(logging.DEBUG):
            kv = {"server": self.pool.name, "connection": self.handle, "why": why.value,
                  "requests": self.requests_carried, "last": self.last_identity}  # fmt: skip
            log.debug("connection closed", extra={"kv": kv})

    def _end_reservation(self) -> None:
        """Tell who has reserved it that it has ended."""
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    @property
    def _is_reused(self) -> bool:
        """Whether the request that it carries, or carried last, was not its first."""
        return self.requests_carried > 1

    def _idle_bytes(self, data: bytes) -> None:
        """Close it, as bytes have come while no request was out."""
        if not self.requests_carried or data.startswith(IDLE_TIMEOUT_ANSWERS):
            return self.drop(EndReason.CLOSED_IDLE)
        self._note_unrequested(data, self._servers.clock.now() - self.idle_since)
        self.drop(EndReason.UNREQUESTED_BYTES)

    def _note_unrequested(self, data: bytes, after_ms: float) -> None:
        """Log bytes that are not the answer to a request; they change how connections are used again.

        The last request is named: if the connection was reused for it, what was passed on as its answer may
        have been made for the request before, and these bytes may be its own.
        """
        now = self._servers.clock.now()
        self._servers.reuse.note_unrequested(self.pool.late_bytes, after_ms, now)
        if not self._servers.reuse.is_allowed(now):
            self._servers.close_idle(EndReason.ONE_REQUEST_ONLY)
        self._servers.counters["unrequested_bytes"] += 1
        self._servers.counters["answers_in_doubt"] += self._is_reused
        if (count := self._servers.unrequested_lines.take(now)) == 0:
            return
        kv = {"server": self.pool.name, "connection": self.handle, "last": self.last_identity,
              "reused": self.requests_carried - 1, "after_ms": round(after_ms, 1),
              "bytes": len(data), "begin": repr(data[:LOGGED_BYTES]), "count": count}  # fmt: skip
        log.warning("unrequested bytes", extra={"kv": kv})

    def usable(self) -> bool:
        """Whether this idle connection may be used: it was not closed, and no unrequested bytes have arrived.

        If it may not, it is closed here.
        """
        waiting = peek(self.transport)
        if waiting:
            self.transport.doRead()  # as no attempt is out on it, this closes it
        if waiting is not None and not self._closed:
            self.drop(EndReason.CLOSED_IDLE)
        return waiting is None

    def read_pending(self) -> None:
        """Read what has arrived of an answer, at most as much as an answer that is not streamed can have.

        Bytes that are seen in the socket may not be returned by a read yet, so the number of tries is
        limited.
        """
        for _ in range(SMALL_BODY_BYTES // self.transport.bufferSize + 1):
            if self._attempt is None or not peek(self.transport):
                break
            self.transport.doRead()

    def _release(self, why_not_kept: EndReason | None, used: bool = True) -> None:
        """Return the connection to the pool, or close it for this reason."""
        self._resume()
        self._hold_nothing()
        now = self._servers.clock.now()
        if used and why_not_kept is None and not self._may_be_kept(now):
            why_not_kept = EndReason.ONE_REQUEST_ONLY
        if why_not_kept is None and self.pool.current:
            if used:
                self.idle_since = now
            self.pool.rest(self)
        else:
            self.drop(why_not_kept or EndReason.NOT_IN_SERVICE)

    def _hold_nothing(self) -> None:
        """Nothing of a request or an answer is held any more."""
        self._collected.set(0)
        self._sending.set(0)

    def _may_be_kept(self, now: float) -> bool:
        """Whether it may be of use again; connections that rest for long are kept in a limited number."""
        must_rest_longer = self.pool.late_bytes.rest_ms(now) > REST_MS
        too_many = must_rest_longer and len(self.pool.idle) >= MAX_LONG_RESTING
        return self._servers.reuse.is_allowed(now) and not too_many

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _cancel_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.drop()
            self._progress_timer = None

    def _detach_body(self) -> None:
        """Stop sending the request's body."""
        body, self._body = self._body, None
        if body is not None:
            body.on_data = None
