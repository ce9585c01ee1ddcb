"""The sending half of a connection to an application server: heads and streamed bodies."""

from __future__ import annotations

import logging

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.interface import Status
from lupinlink.limits.memory_sizes import sizes_at
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import Attempt, Carrier, Progress, ServerPools
from lupinlink.net.application_servers.kept_connection import ConnectionOpener, KeptConnection
from lupinlink.net.application_servers.pool import Pool
from lupinlink.net.bodies import DiscardedBytesError
from lupinlink.net.request_types import AttemptResult, EndReason
from lupinlink.net.socket_peek import peek, unacknowledged_bytes
from lupinlink.net.twisted_types import unsent

log = logging.getLogger("lupinlink.net.application_servers")
UPLOAD_STALL_MS = 5000.0  # time-out for an application server to accept more of a body
EARLY_READS = 4  # reads of data, such as 1xx answers, that a server may send before its request


@implementer(IPullProducer)
class SendingConnection(KeptConnection):
    """The sending half of a connection.

    As a pull producer it learns when the kernel has accepted the last byte of a request: if the connection
    breaks before that, the request certainly never ran; after that it may have.
    """

    def __init__(self, servers: ServerPools, pool: Pool, dial: ConnectionOpener) -> None:
        super().__init__(servers, pool, dial)
        self._unsent: bytes | None = None
        self._sent = 0  # bytes of the body that were sent
        self._awaiting_body = False  # all that was received of the body is sent
        self._written = True
        self._beginning = False  # ``carry`` is handing a request to the kernel

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt's request, after a last check that it may be sent.

        Establishing the connection may have taken long: since then the server may have been drained or
        replaced, the client may have left, the time may be up, or the list may not be trusted any more.
        """
        may_begin = self.pool.current and attempt.may_begin(self.pool.round_trip_ms)
        if not may_begin or self._servers.list_is_held():
            self._drop_unsent(attempt)
            return
        unsent, body = attempt.request()
        # Updates that discovery has written count as notified even while they are unread here. So they are
        # read now, and nothing between this and the write may take long: no call to the clock or to the
        # decision module, no return to the reactor.
        update_cut_short = self._servers.read_pending_updates()
        if update_cut_short or not (self.pool.current and attempt.is_open):
            self._drop_unsent(attempt)
            return
        self._attempt, attempt.connection = attempt, self
        rested_ms = self._servers.clock.now() - self.idle_since
        attempt.sent_on(Carrier(self.handle, self.requests_carried, rested_ms), self.pool.round_trip_ms)
        self.requests_carried, self.last_identity = self.requests_carried + 1, attempt.identity
        self._unsent, self._body = unsent, body
        self._sending.set(len(unsent))
        self._written, self._sent, self._awaiting_body = False, 0, False
        self._body_dropped = False
        self._parser.for_head_request = attempt.only_head
        if self._body is not None:
            self._body.on_data = self._body_has_more
        if not self._server_spoke_first():
            self._write_now()
            self.pool.sent_at = self.sent_at = self._servers.clock.now()

    def has_arrived(self) -> bool:
        """Whether the server's machine has received all of the request that it carries."""
        return self._written and not unsent(self.transport) and not unacknowledged_bytes(self.transport)

    def progress(self) -> Progress:
        """How far the attempt that it carries has come."""
        begun = self._parser.started()
        return Progress(self._written, begun, self._parser.body_received if begun else 0)

    def stream_now(self) -> bool:
        """Stream what has come of an answer that is known to be long; False if there is none."""
        raise NotImplementedError

    def _server_spoke_first(self) -> bool:
        """Whether the server closed the connection or answered before its request, which is then not sent.

        Data is read, as it may tell why. A close is left to the reactor.
        """
        attempt = self._attempt
        for _ in range(EARLY_READS):
            if not (byte := peek(self.transport)):
                return byte is not None
            self.transport.doRead()
            if self._attempt is not attempt:
                return True
        return False

    def _drop_unsent(self, attempt: Attempt) -> None:
        """End an attempt that may not be sent any more; its connection returns to the pool."""
        self._servers.counters["attempts_not_begun"] += 1
        self._release(None, used=False)
        attempt.end(AttemptResult(Status.NOT_SENT, why=EndReason.NOT_BEGUN))

    def _write_now(self) -> None:
        """Hand the request to the kernel within this call; what it does not accept is written later.

        Twisted on its own writes in the next iteration of the event loop, after everything else in this one,
        by when the checks may be outdated. A failed write is left to the reactor, which retries and reports
        it.
        """
        self._beginning = True
        try:
            self.transport.registerProducer(self, False)
            self.transport.doWrite()
        finally:
            self._beginning = False

    def resumeProducing(self) -> None:
        """Everything written so far is with the kernel."""
        if self._unsent is not None:
            data, self._unsent = self._unsent, None
            self.transport.write(data)
            return
        self._sending.set(0)
        if self._body is not None and self._beginning:
            # Not in this call: the body may commit or end the attempt, which start() has not returned yet.
            self.transport.startWriting()
        elif self._body is not None:
            self._send_body()
        else:
            self._written = True
            self.transport.unregisterProducer()

    def _body_has_more(self) -> None:
        if self._awaiting_body or (self._body is not None and self._body.truncated):
            self._awaiting_body = False
            self._send_body()

    def _send_body(self) -> None:
        """Send what has been received of the request's body."""
        body = self._body
        assert body is not None
        if body.truncated:
            # The request is never completed, so it never runs.
            self._finish(AttemptResult(Status.NOT_SENT, why=EndReason.BODY_CUT), EndReason.BODY_CUT)
            return
        try:
            data = body.read(self._sent, sizes_at(self._servers.account.level).write)
        except DiscardedBytesError as exc:
            self._finish_without_body(exc)
            return
        self._sent += len(data)
        last = body.complete and self._sent == body.end
        if last:
            self._body, body.on_data = None, None
        out = data
        if body.length is None:
            out = http1.chunk(data) + (http1.LAST_CHUNK if last else b"")
        self._cancel_progress_timer()
        if out:
            self._sending.set(len(out))
            self.transport.write(out)
            attempt = self._attempt
            self._progress_timer = self._servers.clock.after(UPLOAD_STALL_MS, lambda: self._stalled(attempt))
        elif last:
            self.resumeProducing()
        else:
            self._awaiting_body = True
        body.mark_sent(self._sent)

    def _finish_without_body(self, error: DiscardedBytesError) -> None:
        """End an attempt that needs bytes which are not here any more: it can never run."""
        log.error("request body dropped", extra={"kv": {"id": self.last_identity, "why": error}})
        self._servers.counters["internal_errors"] += 1
        self._finish(AttemptResult(Status.NOT_SENT, why=EndReason.BODY_DROPPED), EndReason.BODY_DROPPED)

    def _stalled(self, attempt: Attempt | None) -> None:
        # Timers that are due together all run, even if one is dropped: the connection may carry another
        # attempt.
        if attempt is not None and self._attempt is attempt and not self._written:
            self._servers.counters["uploads_stalled"] += 1
            why = EndReason.UPLOAD_STALLED
            self._finish(AttemptResult(Status.NOT_SENT, why=why), why)

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def _finish(self, end: AttemptResult, why_not_kept: EndReason | None) -> None:
        """End the attempt; its connection returns to the pool, or is closed for this reason."""
        self._cancel_progress_timer()
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        attempt.connection = None
        self._release(why_not_kept)
        attempt.end(end)
