"""Answers of an application server as they come: whole, or passed on; and how a connection's end is read."""

from __future__ import annotations

import logging

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from lupinlink.interface import Status
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import Attempt, ServerPools
from lupinlink.net.application_servers.outcomes import kept, outcome, read_report
from lupinlink.net.application_servers.pool import Pool
from lupinlink.net.application_servers.sending import ConnectionOpener, SendingConnection
from lupinlink.net.bodies import SMALL_BODY_BYTES, ResponseStream
from lupinlink.net.request_types import AttemptResult, Reply
from lupinlink.net.twisted_types import READ_BYTES

log = logging.getLogger("lupinlink.net.application_servers")
WHOLE_MS = 300.0  # once an answer has begun, so long may nothing more of it come
# An answer that says it is longer than a small one is passed on once so much is here: a wrong length on a
# small one shows before, and can still be made up for elsewhere. One that does not say is likely to be long
# once it is longer than most.
FIRST_BYTES, UNTOLD_BYTES = 2 * 1024, 16 * 1024
FLOW_STILL_MS = 15000.0  # so long may an answer that is being passed on bring nothing more
FLOW_LOOK_MS = 1000.0
FLOW_READ_BYTES = 64 * 1024


class Connection(SendingConnection):
    """Both directions of it."""

    def __init__(self, servers: ServerPools, pool: Pool, dial: ConnectionOpener) -> None:
        super().__init__(servers, pool, dial)
        self._flow: ResponseStream | None = None  # the answer that is being passed on as it comes
        self._heard_at = 0.0

    def dataReceived(self, data: bytes) -> None:
        if self._attempt is None and self._flow is None:
            self.pool.forget(self)
            self.transport.abortConnection()  # nothing was asked
            return
        self._parser.feed(data)
        try:
            message = self._parser.next()
            while message is not None and message.status < 200:
                message = self._parser.next()
        except http1.MessageError as exc:
            self._servers.counters["broken_answers"] += 1
            log.warning("broken answer", extra={"kv": {"server": self.pool.name, "why": exc}})
            if self._flow is not None:
                self._end_flow(None)
            else:
                self._finish(AttemptResult(Status.RESET if self._written else Status.NOT_SENT), reuse=False)
            return
        if self._flow is not None:
            self._flowed(message)
        elif not self._written:
            self._early(message)
        elif message is not None:
            end = outcome(message)
            if self._parser.for_head_request and end.reply is not None:
                length = message.get("content-length")
                end.reply.length = int(length.partition(",")[0]) if length is not None else None
            self._finish(end, reuse=not self._parser.buffer and message.keeps_open())
        elif self._parser.started():
            self._settle()
            if self._ripe():
                self._begin_flow()
            else:
                attempt = self._attempt
                self._whole_by = self._servers.clock.after(WHOLE_MS, lambda: self._unfinished(attempt))

    def _early(self, message: http1.Message | None) -> None:
        """No answer precedes its request; nor can that one run now, with its end never to be written.

        Only that it was turned away unseen says more than that. What is announced (1xx) changes nothing.
        """
        if message is None and not self._parser.started():
            return
        self._servers.counters["early_answers"] += 1
        end = outcome(message) if message is not None else AttemptResult(Status.NOT_SENT)
        self._finish(end if end.status == Status.OVERLOADED else AttemptResult(Status.NOT_SENT), reuse=False)

    def _ripe(self) -> bool:
        """Whether an answer is seen to be a long one that is worth passing on."""
        head, length = self._parser.head, self._parser.length
        if head is None or head.status != 200:
            return False
        if length is None:
            return self._parser.body_received > UNTOLD_BYTES
        return length > SMALL_BODY_BYTES and self._parser.body_received >= FIRST_BYTES

    def _begin_flow(self) -> None:
        """Pass the answer on as it comes. For its attempt that is the end; the connection stays busy."""
        head, attempt = self._parser.head, self._attempt
        assert head is not None and attempt is not None
        self._servers.counters["flows"] += 1
        self._flow = flow = ResponseStream(
            self._parser.length, self._hold_back, self._go_on, self._abandon_flow
        )
        self._attempt, attempt.connection = None, None
        self._heard_at = self._servers.clock.now()
        self._whole_by = self._servers.clock.after(FLOW_LOOK_MS, lambda: self._look_at_flow(flow))
        self.transport.bufferSize = FLOW_READ_BYTES
        report = read_report(head.get("endpoint-load-metrics"))
        attempt.end(AttemptResult(Status.OK, Reply(kept(head), self._parser.take_body(), self._flow), report))

    def _flowed(self, message: http1.Message | None) -> None:
        """More of the answer that is being passed on, or its end."""
        assert self._flow is not None
        self._heard_at = self._servers.clock.now()
        if message is not None:
            self._end_flow(message, reuse=not self._parser.buffer and message.keeps_open())
        else:
            self._flow.on_data(self._parser.take_body())

    def _end_flow(self, message: http1.Message | None, reuse: bool = False) -> None:
        """``message``: holds the last bytes; None: it broke off."""
        flow, self._flow = self._flow, None
        assert flow is not None
        self._settle()
        self.transport.bufferSize = READ_BYTES
        self._rest(reuse)
        if message is None:
            self._servers.counters["flows_broken"] += 1
            flow.on_error()
        else:
            flow.on_data(message.body)
            flow.on_end()

    def _look_at_flow(self, flow: ResponseStream) -> None:
        if self._flow is not flow:
            return
        self._whole_by = None
        now = self._servers.clock.now()
        if self._held_back:
            self._heard_at = now
        if now - self._heard_at > FLOW_STILL_MS:
            self._end_flow(None)
        else:
            self._whole_by = self._servers.clock.after(FLOW_LOOK_MS, lambda: self._look_at_flow(flow))

    def _hold_back(self) -> None:
        if self._flow is not None and not self._held_back:
            self._held_back = True
            self.transport.pauseProducing()

    def _abandon_flow(self) -> None:
        """The client has gone."""
        if self._flow is not None:
            self._flow = None
            self.drop()

    def _unfinished(self, attempt: Attempt | None) -> None:
        if attempt is not None and self._attempt is attempt:
            self._servers.counters["unfinished_answers"] += 1
            self._finish(AttemptResult(Status.RESET), reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool.forget(self)
        self._servers.connections.remove(self.handle)
        self._settle()
        self._let_body_go()
        # Without a length, only an orderly end that was announced shows that the answer is whole.
        message = self._parser.eof() if isinstance(reason.value, ConnectionDone) else None
        if message is not None and message.keeps_open():
            message = None
        if self._flow is not None:
            self._end_flow(message)
        elif self._attempt is not None:
            if message is not None and self._written:
                end = outcome(message)
            else:
                end = AttemptResult(Status.RESET if self._written else Status.UNREACHABLE)
            attempt, self._attempt = self._attempt, None
            attempt.connection = None
            attempt.end(end)
