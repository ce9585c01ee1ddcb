"""Between sockets and decisions: news becomes the module's events, its actions become I/O.

Nothing here knows a protocol. A client's side hands in a Call and is told of one final answer
through ClientSide; the application servers' side carries attempts. Another protocol needs
its own two sides, not another proxy. No decision is taken here.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.clock import Clock
from lupinlink.interface import MembershipKind, Status
from lupinlink.net.counters import Counters
from lupinlink.net.open_requests import OpenRequest, OpenRequests
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


class Proxy(OpenRequests):
    """One node's decisions on real sockets."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        servers: ApplicationServerSide,
        watch: Callable[[], None],
        counters: Counters,
    ) -> None:
        super().__init__(settings, clock, counters)
        self._module = Balancer(settings, Random(seed))
        self._servers, self._watch = servers, watch
        self._events: deque[api.Event] = deque()
        self._busy = False
        # A fleet file's: told of the load reports that servers send along, and how each attempt ended.
        self.on_load_report: Callable[[str, Mapping[str, float]], None] | None = None
        self.on_attempt_ended: Callable[[str, Status], None] | None = None
        self.on_trust_changed: Callable[[api.ListTrustChanged], None] = lambda change: None
        self._carry: dict[type, Callable[..., None]] = {
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
                **self._module.sizes()}  # fmt: skip

    def membership_changed(self, kind: MembershipKind, endpoints: list[api.Endpoint]) -> None:
        """The list of backends has changed, or asking for it failed."""
        self.handle(api.Membership(kind, endpoints))

    def handle_soon(self, event: api.Event) -> None:
        """As ``tell``, from the middle of a read: told before any other event, within a tick at the latest.

        Danger: told at once, the module would send by this news while more of what was read lies unheard.
        """
        self._events.append(event)
        if not self._busy:
            self._clock.after(0.0, self._run)

    def handle(self, event: api.Event) -> None:
        """Give the module an event and carry out its actions; what they cause waits for its turn."""
        self._events.append(event)
        self._run()

    def list_is_held(self) -> bool:
        """Whether no request may be written just now, by the module's word."""
        return self._module.discovery.holds(self._clock.now())

    def _run(self) -> None:
        """Give the module the events that wait."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: api.Event) -> None:
        broken = False
        try:
            actions = self._module.handle(self._clock.now(), event)
        except Exception:
            # What the module had decided before it broke still holds: without its timers it would stop.
            log.exception("decision failed", extra={"kv": {"event": type(event).__name__}})
            self.counters["internal_errors"] += 1
            actions, broken = self._module.actions, True
        for action in actions:
            try:
                self._carry[type(action)](action)
            except Exception:
                log.exception("action failed", extra={"kv": {"action": type(action).__name__}})
                self.counters["internal_errors"] += 1
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self.end(int(action.request_id), FailureReason.INTERNAL)
        if broken and isinstance(event, api.Arrival | api.Outcome):
            self.end(int(event.request_id), FailureReason.INTERNAL)

    def _send(self, action: api.Send) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        if taken is None:
            return
        now = self._clock.now()
        left = taken.deadline - now
        timeout = left if action.timeout_ms == 0.0 else min(action.timeout_ms, left)
        self.counters["attempts"] += 1
        if log.isEnabledFor(logging.DEBUG):
            log.debug("attempt", extra={"kv": {"id": taken.call.identity, "server": action.endpoint}})
        index = len(taken.attempts)
        taken.server = action.endpoint
        taken.out += 1  # before: it may be seen just there that its client has left
        try:
            attempt = self._servers.start(
                action.endpoint, taken.call, timeout, action.begin_by, lambda: self._wanted(handle)
            )
        except Exception:
            taken.out -= 1
            raise
        taken.attempts.append(attempt)
        attempt.ended.addCallback(self._attempt_ended, handle, index, action.endpoint, now)
        attempt.ended.addErrback(self._attempt_broken, handle)

    def _wanted(self, handle: int) -> bool:
        """Whether its client still waits; an end that waits unread is one all the same."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None and taken.side.has_left():
            self.client_left(handle)
        return taken is not None and taken.side is not None

    def _attempt_ended(self, end: AttemptResult, handle: int, i: int, server: str, sent_at: float) -> None:
        self.counters[f"attempts_{end.status.name.lower()}"] += 1
        if self.on_load_report is not None and end.report:
            self.on_load_report(server, end.report)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(server, end.status)
        taken = self._requests.get(handle)
        if taken is None:
            return
        taken.out -= 1
        taken.may_have_run = taken.may_have_run or end.status not in api.NEVER_RAN
        if end.reply is not None:
            side = self._settle(taken)
            if side is not None:
                self.counters["served"] += 1
                side.served(end.reply)
            elif end.reply.flow is not None:
                end.reply.flow.stop()
        elif taken.committed:
            self._end_committed(taken)
        if taken.committed:
            self._release(handle)
            return
        took = self._clock.now() - sent_at
        closed = taken.side is None
        self.handle(api.Outcome(str(handle), end.status, took, i, closed, server, end.report))
        self._release(handle)

    def _end_committed(self, taken: OpenRequest) -> None:
        """Answer a request whose committed attempt brought no reply.

        If none of its attempts can have run, the answer says that a retry is safe.
        """
        if taken.may_have_run:  # or it was rejected: nobody will take it
            self._answer_failed(taken, FailureReason.NOT_SERVED)
            return
        cls = self._settings.classes[taken.call.class_index]
        side = self._settle(taken)
        if side is not None:
            self._turn_away(
                side,
                RefusalReason.NEVER_RAN,
                min(self._settings.max_retry_after_ms, cls.target_latency_ms / 2.0),
            )

    def _attempt_broken(self, failure: object, handle: int) -> None:
        log.error("attempt failed inside", extra={"kv": {"why": str(failure)}})
        self.counters["internal_errors"] += 1
        self.end(handle, FailureReason.INTERNAL)

    def _cancel(self, action: api.Cancel) -> None:
        taken = self._requests.get(int(action.request_id))
        if taken is not None and 0 <= action.attempt < len(taken.attempts):
            taken.attempts[action.attempt].give_up(Status.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        side = self._settle(taken) if taken is not None else None
        if side is not None:
            self.counters[f"refused_for_{action.cause.value}"] += 1
            self._turn_away(side, RefusalReason.MODULE, action.retry_after_ms)
        self._release(handle)

    def _fail(self, action: api.Fail) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        if taken is not None:
            late = self._clock.now() >= taken.deadline
            self._answer_failed(taken, FailureReason.TOO_LATE if late else FailureReason.NOT_SERVED)
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
        self._watch()

    def _trust_changed(self, action: api.ListTrustChanged) -> None:
        self.on_trust_changed(action)
