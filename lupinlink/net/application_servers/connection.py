"""Receives the answers of an application server: whole, or streamed to the client."""

from __future__ import annotations

import logging

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from lupinlink.interface import Status
from lupinlink.limits.memory_sizes import sizes_at
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import ServerPools
from lupinlink.net.application_servers.kept_connection import ConnectionOpener
from lupinlink.net.application_servers.outcomes import forwarded_headers, outcome, read_report
from lupinlink.net.application_servers.pool import Pool
from lupinlink.net.application_servers.sending import SendingConnection
from lupinlink.net.application_servers.streaming import MIN_STREAMED_BYTES, is_streamable
from lupinlink.net.bodies import ResponseStream
from lupinlink.net.request_types import AttemptResult, EndReason, Reply
from lupinlink.net.socket_peek import peek

log = logging.getLogger("lupinlink.net.application_servers")
STREAM_STALL_MS = 15000.0  # time-out for more data of an answer that is being streamed
STREAM_CHECK_MS = 1000.0


class Connection(SendingConnection):
    """A connection to an application server, in both directions."""

    def __init__(self, servers: ServerPools, pool: Pool, dial: ConnectionOpener) -> None:
        super().__init__(servers, pool, dial)
        self._stream: ResponseStream | None = None  # the answer that is being streamed
        self._last_data_at = 0.0

    def dataReceived(self, data: bytes) -> None:
        if self._attempt is None and self._stream is None:
            self.pool.forget(self)
            self._idle_bytes(data)
            return
        self._receive(data)
        if self._attempt is not None or self._stream is not None:
            self._collected.set(self._parser.held())

    def _receive(self, data: bytes) -> None:
        """Read more of the answer, and pass on what has come of it."""
        self._parser.feed(data)
        try:
            message = self._parser.next()
            while message is not None and message.status < 200:
                message = self._parser.next()
        except http1.MessageError as exc:
            self._servers.counters["broken_answers"] += 1
            kv = {"server": self.pool.name, "why": exc, "id": self.last_identity, "connection": self.handle,
                  "reused": self.requests_carried - 1}  # fmt: skip
            log.warning("broken answer", extra={"kv": kv})
            if self._stream is not None:
                self._end_stream(None, EndReason.BROKEN_ANSWER)
            else:
                status = Status.RESET if self._written else Status.NOT_SENT
                why = EndReason.BROKEN_ANSWER
                self._finish(AttemptResult(status, why=why), why)
            return
        if self._stream is not None:
            self._stream_more(message)
        elif not self._written:
            self._answered_early(message)
        elif message is not None:
            self._finish_with(message, self._why_not_kept(message))
        elif self._parser.started():
            self._answer_goes_on()

    def _answer_goes_on(self) -> None:
        """Stream an answer that is long enough, else wait for more until its request's time is up."""
        assert self._attempt is not None
        head = self._parser.head
        if head is not None and (head.status != 200 or self._is_doubtful(Status.OK)):
            self._parser.take_body()  # nobody is passed it on, however long it is
            self._body_dropped = True
        if self._is_streamable(MIN_STREAMED_BYTES):
            self._start_stream()
        else:
            self._attempt.answer_goes_on()

    def set_read_size(self) -> None:
        """Read as much at a time as the level of memory pressure allows."""
        sizes = sizes_at(self._servers.account.level)
        self.transport.bufferSize = sizes.read if self._stream is None else sizes.stream_read

    def stream_now(self) -> bool:
        """Stream what has come of an answer that is known to be long; False if there is none.

        The first bytes of a long answer count, and no retry is left at the end of its request's time.
        """
        if not self._written or not self._is_streamable(0):
            return False
        self._start_stream()
        return True

    def _answered_early(self, message: http1.Message | None) -> None:
        """Handle an answer that arrives before its request is written.

        The rest of the request is not sent, so it never runs; the attempt counts as not sent, unless the
        server says that it refused it as overloaded. Informational answers (1xx) are ignored.
        """
        if message is None and not self._parser.started():
            return
        self._servers.counters["early_answers"] += 1
        closes_idle = message is not None and message.status == http1.REQUEST_TIMEOUT
        if self._is_reused and self._unsent is not None and not closes_idle:
            self._note_unrequested(b"", self._servers.clock.now() - self.idle_since)
        end = outcome(message) if message is not None else AttemptResult(Status.NOT_SENT)
        if end.status != Status.OVERLOADED:
            end = AttemptResult(Status.NOT_SENT)
        end.why = EndReason.ANSWERED_EARLY
        self._finish(end, EndReason.ANSWERED_EARLY)

    def _finish_with(self, message: http1.Message, why_not_kept: EndReason | None) -> None:
        """End the attempt with a whole answer, unless that may have been made for another request."""
        end = outcome(message)
        if self._is_doubtful(end.status):
            self._servers.counters["answers_not_believed"] += 1
            why_not_kept = EndReason.ANSWER_IN_DOUBT
            end = AttemptResult(Status.RESET, why=why_not_kept)
        elif self._parser.for_head_request and end.reply is not None:
            length = message.get("content-length")
            end.reply.length = int(length.partition(",")[0]) if length is not None else None
        if end.status == Status.OK:
            self.pool.record_answer(self._servers.clock.now() - self.sent_at)
        self._finish(end, why_not_kept)

    def _is_doubtful(self, status: Status) -> bool:
        """Whether an answer may have been made for an earlier request: bytes came too late for the rest.

        If only other servers sent them, doubt is cast on no more than the claim that a request never ran.
        """
        if not self._is_reused:
            return False
        if self._body_dropped and status == Status.OK:
            return True
        now = self._servers.clock.now()
        if status == Status.OVERLOADED:
            return not self._servers.reuse.is_allowed(now)
        return now < self.pool.late_bytes.uncovered_until_ms

    def _why_not_kept(self, message: http1.Message) -> EndReason | None:
        """Why the connection has to be closed after this answer, if it has to."""
        if self._parser.buffer:
            self._note_unrequested(bytes(self._parser.buffer), 0.0)
            return EndReason.UNREQUESTED_BYTES
        return None if message.keeps_open() else EndReason.NOT_KEPT

    def _is_streamable(self, least_bytes: int) -> bool:
        """Whether the answer is known to be long enough to be streamed.

        ``least_bytes``: of its body that have to be here, if its length is declared.
        """
        collected = sizes_at(self._servers.account.level).collected
        return is_streamable(self._parser, least_bytes, collected) and not self._is_doubtful(Status.OK)

    def _start_stream(self) -> None:
        """Start to stream the answer. This ends its attempt, while the connection stays busy."""
        head, attempt = self._parser.head, self._attempt
        assert head is not None and attempt is not None
        self._servers.counters["flows"] += 1
        self._stream = stream = ResponseStream(
            self._parser.length, self._pause, self._resume, self._abort_stream
        )
        self._attempt, attempt.connection = None, None
        self._last_data_at = self._servers.clock.now()
        self._progress_timer = self._servers.clock.after(STREAM_CHECK_MS, lambda: self._check_stream(stream))
        self.set_read_size()
        report = read_report(head.get("endpoint-load-metrics"))
        reply = Reply(forwarded_headers(head), self._parser.take_body(), self._stream)
        attempt.end(AttemptResult(Status.OK, reply, report))

    def _stream_more(self, message: http1.Message | None) -> None:
        """Pass on more of the streamed answer, or its end."""
        assert self._stream is not None
        self._last_data_at = self._servers.clock.now()
        if message is not None:
            self._end_stream(message, self._why_not_kept(message))
        else:
            self._stream.on_data(self._parser.take_body())

    def _end_stream(self, message: http1.Message | None, why_not_kept: EndReason | None) -> None:
        """End the streamed answer. ``message``: holds its last bytes; None: it was cut off."""
        stream, self._stream = self._stream, None
        assert stream is not None
        self._cancel_progress_timer()
        self.set_read_size()
        self._release(why_not_kept)
        if message is None:
            self._servers.counters["flows_broken"] += 1
            stream.on_error()
        else:
            stream.on_data(message.body)
            stream.on_end()

    def _check_stream(self, stream: ResponseStream) -> None:
        if self._stream is not stream:
            return
        self._progress_timer = None
        now = self._servers.clock.now()
        if self._paused:
            self._last_data_at = now
        if now - self._last_data_at > STREAM_STALL_MS and peek(self.transport) is None:
            self._end_stream(None, EndReason.ANSWER_STALLED)
        else:
            self._progress_timer = self._servers.clock.after(
                STREAM_CHECK_MS, lambda: self._check_stream(stream)
            )

    def _pause(self) -> None:
        if self._stream is not None and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _abort_stream(self) -> None:
        """Close the connection, as the client has left."""
        if self._stream is not None:
            self._stream = None
            self.drop(EndReason.CLIENT_LEFT)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool.forget(self)
        self._servers.connections.remove(self.handle)
        self._cancel_progress_timer()
        self._detach_body()
        self._hold_nothing()
        busy = self._attempt is not None or self._stream is not None
        self._note_close(EndReason.CONNECTION_LOST if busy else EndReason.CLOSED_IDLE)
        self._end_reservation()
        # An answer without a length is complete only if its close was announced and orderly.
        message = self._parser.eof() if isinstance(reason.value, ConnectionDone) else None
        if message is not None and message.keeps_open():
            message = None
        if self._stream is not None:
            self._end_stream(message, EndReason.CONNECTION_LOST)
        elif self._attempt is not None:
            end = outcome(message) if message is not None and self._written else None
            if end is None or self._is_doubtful(end.status):
                status = Status.RESET if self._written else Status.UNREACHABLE
                end = AttemptResult(status, why=EndReason.CONNECTION_LOST)
            attempt, self._attempt = self._attempt, None
            attempt.connection = None
            attempt.end(end)
