"""Connects the decision module to the network: what happens becomes its events, its actions become I/O.

Takes no decision and knows no protocol. A client side submits a ClientRequest and gets one final answer
through Responder; an application server side carries attempts. Another protocol adds its own two sides.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from lupinlink import interface as api
from lupinlink.clock import Clock
from lupinlink.interface import Status
from lupinlink.net.counters import Counters
from lupinlink.net.decision_events import DecisionEvents
from lupinlink.net.open_request import OpenRequest
from lupinlink.net.request_types import (
    ApplicationServerSide,
    AttemptResult,
    ClientRequest,
    FailureReason,
    OpenAttempt,
    RefusalReason,
    Reply,
    Responder,
)
from lupinlink.settings import Settings

__all__ = ["AttemptResult", "ClientRequest", "FailureReason", "OpenAttempt", "Proxy", "RefusalReason",
           "Reply", "Responder"]  # fmt: skip
log = logging.getLogger(__name__)


class Proxy(DecisionEvents):
    """One node's decisions on real sockets."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        servers: ApplicationServerSide,
        subscribe_to_list: Callable[[], None],
        counters: Counters,
    ) -> None:
        super().__init__(settings, seed, clock, counters)
        self._servers, self._subscribe_to_list = servers, subscribe_to_list
        # Set by the fleet extension: called with each load report of a server, and with how attempts ended.
        self.on_load_report: Callable[[str, Mapping[str, float]], None] | None = None
        self.on_attempt_ended: Callable[[str, Status], None] | None = None
        self.on_trust_changed: Callable[[api.ListTrustChanged], None] = lambda change: None
        self._action_handlers = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Subscribe: self._subscribe,
            api.ListTrustChanged: self._trust_changed,
        }

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        return {"requests_now": len(self._requests), "identities": len(self._identities),
                "identities_kept": len(self.sent),
                **self._module.sizes()}  # fmt: skip

    def list_is_held(self) -> bool:
        """Whether the module holds requests at present, as it does not trust its list of backends."""
        return self._module.discovery.holds(self._clock.now())

    def _send(self, action: api.Send) -> None:
        handle = int(action.request_id)
        entry = self._requests.get(handle)
        if entry is None:
            return
        now = self._clock.now()
        left = entry.deadline - now
        timeout = left if action.timeout_ms == 0.0 else min(action.timeout_ms, left)
        self.counters["attempts"] += 1
        index = len(entry.attempts)
        if not index:
            self.sent.sending(entry.request)
        self.request_log.attempt_began(entry.request, index, action.endpoint)
        entry.server = action.endpoint
        entry.attempts_in_flight += 1  # before start(), which may find out that the client has left
        try:
            attempt = self._servers.start(
                action.endpoint, entry.request, timeout, action.arrive_by, lambda: self._wanted(handle)
            )
        except Exception:
            entry.attempts_in_flight -= 1
            raise
        entry.attempts.append(attempt)
        arrived = api.AnswerData(str(handle), index)
        attempt.on_answer_data = lambda: self.handle_soon(arrived)
        attempt.ended.addCallback(self._attempt_ended, handle, index, action.endpoint, now)
        attempt.ended.addErrback(self._attempt_broken, handle)

    def _wanted(self, handle: int) -> bool:
        """Whether the client still waits; one that closed its connection does not, even if that is unread."""
        entry = self._requests.get(handle)
        if entry is not None and entry.responder is not None and entry.responder.has_left():
            self.client_left(handle)
        return entry is not None and entry.responder is not None

    def _attempt_ended(self, end: AttemptResult, handle: int, i: int, server: str, sent_at: float) -> None:
        self.counters[f"attempts_{end.status.name.lower()}"] += 1
        if self.on_load_report is not None and end.report:
            self.on_load_report(server, end.report)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(server, end.status)
        entry = self._requests.get(handle)
        if entry is None:
            return
        entry.attempts_in_flight -= 1
        entry.last_end = end.why
        entry.may_have_run = entry.may_have_run or end.status not in api.NEVER_RAN
        if end.reply is not None:
            responder = self._take_responder(entry)
            if responder is not None:
                self.counters["served"] += 1
                responder.served(end.reply)
            elif end.reply.stream is not None:
                end.reply.stream.stop()
        elif entry.committed:
            self._end_committed(entry)
        if entry.committed:
            self._release(handle)
            return
        took = self._clock.now() - sent_at
        closed = entry.responder is None
        self.handle(api.Outcome(str(handle), end.status, took, i, closed, server, end.report))
        self._release(handle)

    def _end_committed(self, entry: OpenRequest) -> None:
        """Answer a request whose committed attempt brought no reply.

        If none of its attempts can have run, the answer says that a retry is safe.
        """
        if entry.may_have_run:  # or was rejected as a bad request, which a retry would not change
            self._answer_failed(entry, FailureReason.NOT_SERVED)
            return
        cls = self._settings.classes[entry.request.class_index]
        responder = self._take_responder(entry)
        if responder is not None:
            wait_ms = min(self._settings.max_retry_after_ms, cls.target_latency_ms / 2.0)
            self._answer_refused(entry.request, responder, RefusalReason.NEVER_RAN, wait_ms)

    def _attempt_broken(self, failure: object, handle: int) -> None:
        log.error("attempt failed inside", extra={"kv": {"why": str(failure)}})
        self.counters["internal_errors"] += 1
        self.end(handle, FailureReason.INTERNAL)

    def _cancel(self, action: api.Cancel) -> None:
        entry = self._requests.get(int(action.request_id))
        if entry is not None and 0 <= action.attempt < len(entry.attempts):
            entry.attempts[action.attempt].give_up(Status.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        handle = int(action.request_id)
        entry = self._requests.get(handle)
        responder = self._take_responder(entry) if entry is not None else None
        if entry is not None and responder is not None:
            cause = action.cause.value
            self.counters[f"refused_for_{cause}"] += 1
            self._answer_refused(entry.request, responder, RefusalReason.MODULE, action.retry_after_ms, cause)
        self._release(handle)

    def _fail(self, action: api.Fail) -> None:
        handle = int(action.request_id)
        entry = self._requests.get(handle)
        if entry is not None:
            late = self._clock.now() >= entry.deadline
            self._answer_failed(entry, FailureReason.TOO_LATE if late else FailureReason.NOT_SERVED)
        self._release(handle)

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        self._clock.after(action.delay_ms, lambda: self.handle(api.TimerFired(token)))

    def _probe(self, action: api.Probe) -> None:
        self.counters["probes"] += 1
        sent_at, server = self._clock.now(), action.endpoint

        def probed(end: AttemptResult) -> None:
            if self.on_load_report is not None and end.report:
                self.on_load_report(server, end.report)
            self.handle(api.ProbeResult(server, end.status, self._clock.now() - sent_at, end.report))

        self._servers.probe(server).addCallback(probed)

    def _subscribe(self, action: api.Subscribe) -> None:
        self._subscribe_to_list()

    def _trust_changed(self, action: api.ListTrustChanged) -> None:
        self.on_trust_changed(action)
