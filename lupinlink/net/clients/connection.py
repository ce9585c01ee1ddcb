"""A client's connection, whatever it carries: its progress, and closing."""

from __future__ import annotations

import math

from lupinlink.limits.body_progress import FIRST_HEAD_TIMEOUT_MS, HEAD_TIMEOUT_MS
from lupinlink.limits.delivery_progress import DELIVERY_STALL_MS
from lupinlink.net import http1
from lupinlink.net.clients.buffered_connection import BufferedConnection
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.read_pauses import PauseReason
from lupinlink.net.immediate_write import end_sending_now, write_now
from lupinlink.net.socket_peek import peer_has_ended, unacknowledged_bytes
from lupinlink.net.twisted_types import unsent

MAX_READS = 4  # at most, to find a close behind unread data; other connections wait meanwhile


class ClientConnection(BufferedConnection):
    """One connection of a client: when and how it is closed."""

    def bytes_to_go(self) -> tuple[int, int]:
        """The bytes left of the streamed answer and the request body, and how many of them lack a length."""
        raise NotImplementedError

    def observe_unread(self, now: float) -> None:
        """Look whether the rest of a body may have been written, though it cannot be read at present."""
        raise NotImplementedError

    def _release_all(self) -> None:
        """Drop the open request, its body and its streamed answer."""
        raise NotImplementedError

    def drop_if_left(self) -> None:
        """End an upload whose client has closed its connection, though the close is behind unread data."""
        if self._incoming is not None and peer_has_ended(self.transport):
            self.abort(CloseReason.CLIENT_LEFT)

    def refuse_unfinished(self) -> None:
        """Refuse the request that has not come whole, as memory is short."""
        self._clients.counters["refused_unfinished"] += 1
        self.reject(503, "no memory for this request now")

    def has_left(self) -> bool:
        """Whether its client has closed the connection, as far as is known here.

        A close can be behind unread data. Where the system does not tell of it, that is read first, except
        for a request body, which is read as its buffer has room: without its last byte no request runs.
        """
        if peer_has_ended(self.transport):
            return True
        for _ in range(MAX_READS):
            if (more := self._peek()) is None or self._closing:
                return True
            if not more or self._pauses or self._incoming is not None:
                break
            self.transport.doRead()
        return self._closing

    def is_stuck(self, now: float, stall_ms: float = DELIVERY_STALL_MS) -> bool:
        """Whether its client has received nothing of its answer for too long."""
        return self._not_reading and self._delivery.is_stalled(now, self._unread_by_client(), stall_ms)

    @property
    def not_reading(self) -> bool:
        """Whether it is not reading its answer at present."""
        return self._not_reading

    def is_overdue(self, now: float) -> bool:
        """Whether the request that it is sending makes no progress."""
        if self._incoming is not None:
            return self._incoming.progress.timed_out(now)
        return (
            now - self.since > HEAD_TIMEOUT_MS
            if self.has_requested
            else now - self.connected_at > FIRST_HEAD_TIMEOUT_MS
        )

    def evict(self) -> None:
        """Close it, as its time is up, unless something unread has arrived."""
        if self.phase is Phase.CLOSING:
            self._evict_closing()
        elif self._parser.started():
            self._reject_unfinished()
        else:
            self.close_idle(CloseReason.IDLE if self.has_requested else CloseReason.NO_REQUEST)

    def _evict_closing(self) -> None:
        """Reset it, unless its client is still reading its last answer, the rest of which would be lost."""
        unread_bytes = self._unread_by_client()
        if not unread_bytes:
            self.abort(CloseReason.CLIENT_STAYS)
        elif self._delivery.is_stalled(self._clients.clock.now(), unread_bytes):
            self._clients.counters["answers_unread"] += 1
            self.abort(CloseReason.NOT_READ)
        else:
            self._clients.set_phase(self, Phase.CLOSING, anew=True)

    def _reject_unfinished(self) -> bool:
        """Answer a request that has not arrived whole; False if more of it has, and may be read."""
        if self._pauses.has(PauseReason.MEMORY):
            self.refuse_unfinished()
            return True
        if self.has_unread():
            return False
        self.reject(408, "request did not arrive")
        return True

    def close_idle(self, reason: CloseReason) -> bool:
        """Close it between two requests; False if something unread has arrived.

        Nothing may come between the look and the end of sending, not even a look at the clock: a request
        that arrives in between is lost.
        """
        if self.has_unread():
            return False
        end_sending_now(self.transport)
        self._finish_close(reason)
        return True

    def close_for_room(self) -> bool:
        """Close it to make room: the socket too, once the kernel has accepted everything written.

        False if something unread has arrived.
        """
        if self.phase is Phase.CLOSING:
            closed = not self.has_unread()
        elif self._parser.started():
            closed = self._reject_unfinished()
        else:
            closed = self.close_idle(CloseReason.ROOM)
        if closed:
            # Not an abort: its reset could overtake an answer. The sending direction is closed already.
            self.transport.loseConnection()
        return closed

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection."""
        self._log_close(reason, "reset")
        self.transport.abortConnection()

    def has_undelivered(self) -> bool:
        """Whether its client is owed an answer, or has not received all that was written to it."""
        return self.phase is Phase.OPEN or self._unread_by_client() > 0.0

    def _unread_by_client(self) -> float:
        waiting = unacknowledged_bytes(self.transport)
        if waiting is None:
            return 0.0
        pending = unsent(self.transport)
        if self._closing and waiting and not pending:
            waiting -= 1  # the end of sending counts as a byte, and is often acknowledged late
        return float(waiting + pending)

    def reject(self, status: int, why: str) -> None:
        """Answer an invalid request, and close the connection."""
        self._clients.counters[f"rejected_{status}"] += 1
        text = [("Content-Type", "text/plain")]
        self._write(http1.response(status, text, f"{why}\n".encode(), close=True))
        self.close(CloseReason.REJECTED, f"{status} {why}")

    def close(self, reason: CloseReason, detail: str = "") -> None:
        """Close it in order after its last answer, whatever has arrived: take nothing more.

        Only the sending direction is closed, so that the client can read what was written; what it still
        sends is read and discarded until it closes too. Closing a socket with unread data would reset the
        connection and lose an answer on its way. The periodic sweep aborts connections whose client does not
        close.
        """
        self._closing = True
        self.transport.unregisterProducer()
        end_sending_now(self.transport)
        self._finish_close(reason, detail)

    def _finish_close(self, reason: CloseReason, detail: str = "") -> None:
        """Enter the closing phase, now that the sending direction is closed."""
        if self._parser.buffer and reason is not CloseReason.REJECTED:
            self._log_dropped(reason, bytes(self._parser.buffer), 0.0)
        self._log_close(reason, detail)
        self._closing, self._close_reason = True, reason
        self._clients.set_phase(self, Phase.CLOSING)
        self._delivery.restart(self._clients.clock.now(), math.inf)
        self._parser = http1.RequestParser()  # drops its buffer
        self._memory.holds_received(0)
        self._release_all()
        self.transport.unregisterProducer()
        self._pauses.clear()
        self.transport.resumeProducing()

    def _write(self, data: bytes) -> None:
        """Write data to the client; what the kernel does not take now is counted until it does."""
        write_now(self.transport, data)
        self.count_unsent()

    def count_unsent(self) -> None:
        """Count what the kernel has not taken of the answers."""
        if self._memory.count_unsent(self.transport):
            self._clients.unsent[self] = None
        else:
            self._clients.unsent.pop(self, None)

    def _log_close(self, reason: CloseReason, detail: str) -> None:
        idle_ms = self._clients.clock.now() - self.last_read_at
        self._clients.close_log.closed(reason, detail, self.address, self.last_identity, idle_ms)

    def _log_dropped(self, reason: CloseReason, data: bytes, since_ms: float) -> None:
        self._clients.counters["bytes_dropped"] += len(data)
        self._clients.close_log.dropped(reason, data, since_ms, self._clients.clock.now())
