"""The requests that are open: taken in once, answered once, let go once no attempt of them is out."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lupinlink import interface as api
from lupinlink.clock import Clock
from lupinlink.interface import Status
from lupinlink.net.counters import Counters
from lupinlink.net.request_types import ClientRequest, FailureReason, OpenAttempt, RefusalReason, Responder
from lupinlink.net.slots import Slots
from lupinlink.settings import Settings

log = logging.getLogger("lupinlink.net.proxy")  # one source in the log for both halves
MARGIN_MS = 20.0  # the module's deadline lies this far before the client's: an answer takes time to arrive
GUARD_MS = 10.0  # and this long after the module's, what is still open is ended here
# The time of a request counts from its last byte, which of a body that flows is yet to come: its client's
# side ends it when it stops, so the module is told a deadline beyond all that may come.
FLOWING_MS = 1_200_000.0


@dataclass(slots=True)
class OpenRequest:
    """A request from its receipt until it has its answer and no attempt of it is out."""

    call: ClientRequest
    side: Responder | None  # None once nothing is owed any more
    deadline: float
    guard: int = 0
    out: int = 0
    server: str = ""  # of the last attempt
    committed: bool = False  # an attempt is out that cannot be repeated; the module has let go of the request
    may_have_run: bool = False  # one of its attempts did not prove that it never ran
    attempts: list[OpenAttempt] = field(default_factory=list)


class OpenRequests:
    """The table of them. Each gets one final answer, whatever the decisions make of it."""

    def __init__(self, settings: Settings, clock: Clock, counters: Counters) -> None:
        self.counters = counters
        self._settings, self._clock = settings, clock
        self._requests: Slots[OpenRequest] = Slots(settings.max_open_requests)
        self._identities: set[str] = set()  # of all calls that are open, or have an attempt out
        # What a fleet file adds; without one neither is there. ``admits``: the time to tell in ms of a call
        # that is over its quota, None of one that may go on; ``settled``: nothing is owed for it any more.
        self.quota_check: Callable[[ClientRequest], float | None] | None = None
        self.on_settled: Callable[[ClientRequest], None] | None = None

    def handle(self, event: api.Event) -> None:
        """Give the decisions an event and carry out what they decide."""
        raise NotImplementedError

    @property
    def open(self) -> int:
        """Requests that still owe an answer."""
        return sum(1 for taken in self._requests if taken.side is not None)

    def submit(self, call: ClientRequest, side: Responder) -> int | None:
        """A call is here with its last byte; its handle, or None if it was answered on the spot."""
        if call.identity in self._identities:
            # Sent on, it would be a second copy of the other's request.
            self.counters["duplicates"] += 1
            side.failed(FailureReason.DUPLICATE)
            return None
        if self._requests.full:
            self._turn_away(side, RefusalReason.TABLE_FULL, 0.0)
            return None
        if self.quota_check is not None and not self._admitted(call, side):
            return None
        self.counters["requests"] += 1
        now = self._clock.now()
        deadline = now + (self._span(call, call.waited_ms) if call.body.whole else FLOWING_MS)
        handle = self._requests.add(OpenRequest(call, side, deadline))
        self._identities.add(call.identity)
        taken = self._requests.get(handle)
        assert taken is not None
        if call.body.whole:
            self._set_guard(handle, taken)
        else:
            call.body.committed = lambda: self._commit(handle)
        tenant, retry = call.tenant, call.is_retry
        self.handle(api.Arrival(str(handle), call.class_index, tenant, deadline, retry, call.key))
        return handle

    def _admitted(self, call: ClientRequest, side: Responder) -> bool:
        """Whether the fleet's quotas let a call on; who is not let on has its answer."""
        assert self.quota_check is not None
        try:
            retry_after_ms = self.quota_check(call)
        except Exception:
            # Let on, it would go past the quota unseen.
            log.exception("quota failed")
            self.counters["internal_errors"] += 1
            self.counters["failed"] += 1
            side.failed(FailureReason.INTERNAL)
            return False
        if retry_after_ms is not None:
            self._turn_away(side, RefusalReason.QUOTA, retry_after_ms)
        return retry_after_ms is None

    def _turn_away(self, side: Responder, why: RefusalReason, retry_after_ms: float) -> None:
        """The one place that counts refusals. Trying again is harmless, and the client is told so."""
        self.counters["refused"] += 1
        self.counters[f"refused_{why.value}"] += 1
        side.refused(retry_after_ms, why is RefusalReason.QUOTA)

    def _span(self, call: ClientRequest, waited_ms: float) -> float:
        """How long from now the module has for an answer, in ms; never below 0.

        Of a request that may have waited an unknown while nothing is taken to be left, and so the module
        refuses it at once: a front that has not yet seen this process die hands it what it held, and the
        client's time may have run out meanwhile (herd+mass: held 1.06 s, of 0.668 s).
        """
        if math.isinf(waited_ms):
            return 0.0
        return max(0.0, max(call.expires_ms - MARGIN_MS, call.expires_ms / 2.0) - waited_ms)

    def _set_guard(self, handle: int, taken: OpenRequest) -> None:
        at = taken.deadline + GUARD_MS
        taken.guard = self._clock.at(at, lambda: self.end(handle, FailureReason.TOO_LATE))

    def body_completed(self, handle: int) -> None:
        """The last byte of a body that flows is here: its time counts from now on."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            taken.deadline = self._clock.now() + self._span(taken.call, 0.0)  # the last byte is just here
            self._set_guard(handle, taken)
            if taken.out:
                taken.attempts[-1].set_deadline(taken.deadline)

    def _commit(self, handle: int) -> None:
        """Bytes that a repeat would need are gone: the attempt that is out is the last, the shell's alone.

        To the module it was not sent: how long an upload takes says nothing of its server's delay.
        """
        taken = self._requests.get(handle)
        if taken is not None and not taken.committed:
            taken.committed = True
            self.counters["attempts_committed"] += 1
            index = len(taken.attempts) - 1
            self.handle(api.Outcome(str(handle), Status.NOT_SENT, 0.0, index, True, taken.server, None))

    def client_left(self, handle: int) -> None:
        """The client has left."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            self.counters["clients_gone"] += 1
            self._settle(taken)
            self._let_go(handle, taken)

    def _let_go(self, handle: int, taken: OpenRequest) -> None:
        """Nobody waits for it any more."""
        self.handle(api.ClientGone(str(handle)))
        if taken.committed:
            taken.attempts[-1].give_up(Status.CANCELLED)
        self._release(handle)

    def end(self, handle: int, why: FailureReason) -> None:
        """Answer what the module did not, so that no request is lost to a fault or a stop."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            log.warning("request ended without the module", extra={"kv": {"why": why.value}})
            self._answer_failed(taken, why)
            self._let_go(handle, taken)

    def end_all(self) -> None:
        """The program must stop: every open request gets a whole answer now."""
        for handle in self._requests.handles():
            self.end(handle, FailureReason.TOO_LATE)

    def _settle(self, taken: OpenRequest) -> Responder | None:
        """Nothing is owed for this request from here on."""
        side, taken.side = taken.side, None
        self._clock.drop(taken.guard)
        if side is not None and self.on_settled is not None:
            self._tell_settled(taken.call)
        return side

    def _tell_settled(self, call: ClientRequest) -> None:
        assert self.on_settled is not None
        try:
            self.on_settled(call)
        except Exception:  # the answer goes out whatever the fleet's shell makes of it
            log.exception("settling failed")
            self.counters["internal_errors"] += 1

    def _release(self, handle: int) -> None:
        """Nothing is owed any more: what has not begun to be sent never is, cancelling allowed or not."""
        taken = self._requests.get(handle)
        if taken is None or taken.side is not None:
            return
        for attempt in taken.attempts:
            attempt.cancel_if_unsent()  # the last to end releases it
        if not taken.out and self._requests.remove(handle) is not None:
            self._identities.discard(taken.call.identity)
            taken.call.body.drop()

    def _answer_failed(self, taken: OpenRequest, why: FailureReason) -> None:
        side = self._settle(taken)
        if side is not None:
            self.counters["failed"] += 1
            side.failed(why)
