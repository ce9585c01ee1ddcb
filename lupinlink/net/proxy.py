"""Between sockets and decisions: news becomes the module's events, its actions become I/O.

Nothing here knows a protocol. A user agent's side hands in a Call and is told of one final answer
through UserAgentSide; the application servers' side carries proxy passes. Another protocol needs
its own two sides, not another proxy. No decision is taken here.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.clock import Clock
from lupinlink.interface import MembershipKind, Status
from lupinlink.net.bodies import Body, Flow
from lupinlink.net.counters import Counters
from lupinlink.net.slots import Slots
from lupinlink.settings import Settings

log = logging.getLogger(__name__)
MARGIN_MS = 20.0  # the module's deadline lies this far before the client's: an answer takes time to arrive
GUARD_MS = 10.0  # and this long after the module's, what is still open is ended here
# The time of a request counts from its last byte, which of a body that flows is yet to come: its user agent's
# side ends it when it stops, so the module is told a deadline beyond all that may come.
FLOWING_MS = 1_200_000.0


class Failure(Enum):
    """Why a final answer is 'failed'."""

    NOT_SERVED = "not served"
    TOO_LATE = "no answer in time"
    INTERNAL = "internal error"
    DUPLICATE = "a request of this id is open"


class Refused(Enum):
    """Why a final answer is 'unavailable'; as counted, behind ``refused_``."""

    TABLE_FULL = "table_full"
    MODULE = "module"
    NEVER_RAN = "never_ran"  # the application servers turned it away, and it cannot be sent again from here
    QUOTA = "quota"


@dataclass(slots=True)
class Call:
    """What a user agent asks, in terms that the decisions and the application servers share."""

    identity: str  # no two open calls may share it
    class_index: int
    tenant: int
    expires_ms: float
    is_retry: bool
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: Body
    key: str = ""  # what it is about, where it says so
    # How long it may have waited before this process could read it: 0 read at once, inf not known (it was
    # held for us before this process listened); its time is counted from when its client sent it.
    waited_ms: float = 0.0
    address: str = ""  # of who is connected here: of a front, where one stands before us


@dataclass(slots=True)
class Reply:
    """What an application server answered to a call that it served."""

    headers: list[tuple[str, str]]
    body: bytes  # all of it, or what is here of one that flows
    flow: Flow | None = None
    length: int | None = None  # where the body itself was not asked for


@dataclass(slots=True)
class PassEnd:
    """How a proxy pass ended."""

    status: Status
    reply: Reply | None = None
    report: dict[str, float] | None = None


class UserAgentSide(Protocol):
    """Takes the one final answer of a call."""

    def served(self, reply: Reply) -> None: ...
    def unavailable(self, retry_after_ms: float, over_quota: bool = False) -> None: ...
    def failed(self, why: Failure) -> None: ...


class ProxyPass(Protocol):
    """One attempt that is out; ``ended`` fires once."""

    ended: Deferred[PassEnd]

    def give_up(self, status: Status) -> None: ...
    def end_by(self, at_ms: float) -> None: ...


class ApplicationServerSide(Protocol):
    """Carries proxy passes and probes."""

    def start(self, server: str, call: Call, timeout_ms: float) -> ProxyPass: ...
    def probe(self, server: str) -> Deferred[PassEnd]: ...


@dataclass(slots=True)
class Taken:
    """A request from its receipt until it has its answer and no pass of it is out."""

    call: Call
    side: UserAgentSide | None  # None once nothing is owed any more
    deadline: float
    guard: int = 0
    out: int = 0
    server: str = ""  # of the last pass
    committed: bool = False  # a pass is out that cannot be repeated; the module has let go of the request
    may_have_run: bool = False  # one of its passes did not prove that it never ran
    passes: list[ProxyPass] = field(default_factory=list)


class Proxy:
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
        self._module = Balancer(settings, Random(seed))
        self._clock, self._servers, self._watch, self.counters = clock, servers, watch, counters
        self._settings = settings
        self._requests: Slots[Taken] = Slots(settings.most_held)
        self._identities: set[str] = set()  # of all calls that are open, or have a pass out
        self._events: deque[api.Event] = deque()
        self._busy = False
        # What a fleet file adds; without one none of these is there. ``admits``: the time to tell in ms of a
        # call that is over its quota, None of one that may go on.
        self.admits: Callable[[Call], float | None] | None = None
        self.settled: Callable[[Call], None] | None = None
        self.reported: Callable[[str, Mapping[str, float]], None] | None = None
        self._carry: dict[type, Callable[..., None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Subscribe: self._subscribe,
        }

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        return {"requests_now": len(self._requests), "identities": len(self._identities),
                **self._module.sizes()}  # fmt: skip

    @property
    def open(self) -> int:
        """Requests that still owe an answer."""
        return sum(1 for taken in self._requests if taken.side is not None)

    def take(self, call: Call, side: UserAgentSide) -> int | None:
        """A call is here with its last byte; its handle, or None if it was answered on the spot."""
        if call.identity in self._identities:
            # Sent on, it would be a second copy of the other's request.
            self.counters["duplicates"] += 1
            side.failed(Failure.DUPLICATE)
            return None
        if self._requests.full:
            self._turn_away(side, Refused.TABLE_FULL, 0.0)
            return None
        if self.admits is not None and not self._admitted(call, side):
            return None
        self.counters["requests"] += 1
        now = self._clock.now()
        deadline = now + (self._span(call, call.waited_ms) if call.body.whole else FLOWING_MS)
        handle = self._requests.add(Taken(call, side, deadline))
        self._identities.add(call.identity)
        taken = self._requests.get(handle)
        assert taken is not None
        if call.body.whole:
            self._set_guard(handle, taken)
        else:
            call.body.committed = lambda: self._commit(handle)
        tenant, retry = call.tenant, call.is_retry
        self.tell(api.Arrival(str(handle), call.class_index, tenant, deadline, retry, call.key))
        return handle

    def _admitted(self, call: Call, side: UserAgentSide) -> bool:
        """Whether the fleet's quotas let a call on; who is not let on has its answer."""
        assert self.admits is not None
        try:
            retry_after_ms = self.admits(call)
        except Exception:
            # Let on, it would go past the quota unseen.
            log.exception("quota failed")
            self.counters["internal_errors"] += 1
            self.counters["failed"] += 1
            side.failed(Failure.INTERNAL)
            return False
        if retry_after_ms is not None:
            self._turn_away(side, Refused.QUOTA, retry_after_ms)
        return retry_after_ms is None

    def _turn_away(self, side: UserAgentSide, why: Refused, retry_after_ms: float) -> None:
        """The one place that counts refusals. Trying again is harmless, and the user agent is told so."""
        self.counters["refused"] += 1
        self.counters[f"refused_{why.value}"] += 1
        side.unavailable(retry_after_ms, why is Refused.QUOTA)

    def _span(self, call: Call, waited_ms: float) -> float:
        """How long from now the module has for an answer, in ms; never below 0.

        Of a request that may have waited an unknown while nothing is taken to be left, and so the module
        refuses it at once: a front that has not yet seen this process die hands it what it held, and the
        client's time may have run out meanwhile (herd+mass: held 1.06 s, of 0.668 s).
        """
        if math.isinf(waited_ms):
            return 0.0
        return max(0.0, max(call.expires_ms - MARGIN_MS, call.expires_ms / 2.0) - waited_ms)

    def _set_guard(self, handle: int, taken: Taken) -> None:
        at = taken.deadline + GUARD_MS
        taken.guard = self._clock.at(at, lambda: self.end(handle, Failure.TOO_LATE))

    def completed(self, handle: int) -> None:
        """The last byte of a body that flows is here: its time counts from now on."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            taken.deadline = self._clock.now() + self._span(taken.call, 0.0)  # the last byte is just here
            self._set_guard(handle, taken)
            if taken.out:
                taken.passes[-1].end_by(taken.deadline)

    def _commit(self, handle: int) -> None:
        """Bytes that a repeat would need are gone: the pass that is out is the last, and the shell's alone.

        To the module it was not sent: how long an upload takes says nothing of its server's delay.
        """
        taken = self._requests.get(handle)
        if taken is not None and not taken.committed:
            taken.committed = True
            self.counters["passes_committed"] += 1
            index = len(taken.passes) - 1
            self.tell(api.Outcome(str(handle), Status.NOT_SENT, 0.0, index, True, taken.server, None))

    def gone(self, handle: int) -> None:
        """The user agent has left."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            self.counters["clients_gone"] += 1
            self._settle(taken)
            self._let_go(handle, taken)

    def _let_go(self, handle: int, taken: Taken) -> None:
        """Nobody waits for it any more."""
        self.tell(api.ClientGone(str(handle)))
        if taken.committed:
            taken.passes[-1].give_up(Status.CANCELLED)
        self._release(handle)

    def end(self, handle: int, why: Failure) -> None:
        """Answer what the module did not, so that no request is lost to a fault or a stop."""
        taken = self._requests.get(handle)
        if taken is not None and taken.side is not None:
            log.warning("request ended without the module", extra={"kv": {"why": why.value}})
            self._answer_failed(taken, why)
            self._let_go(handle, taken)

    def end_all(self) -> None:
        """The program must stop: every open request gets a whole answer now."""
        for handle in self._requests.handles():
            self.end(handle, Failure.TOO_LATE)

    def news(self, kind: MembershipKind, endpoints: list[api.Endpoint]) -> None:
        """The farm has changed, or asking for it failed."""
        self.tell(api.Membership(kind, endpoints))

    def tell(self, event: api.Event) -> None:
        """Give the module an event and carry out its actions; what they cause waits for its turn."""
        self._events.append(event)
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
                    self.end(int(action.request_id), Failure.INTERNAL)
        if broken and isinstance(event, api.Arrival | api.Outcome):
            self.end(int(event.request_id), Failure.INTERNAL)

    def _settle(self, taken: Taken) -> UserAgentSide | None:
        """Nothing is owed for this request from here on."""
        side, taken.side = taken.side, None
        self._clock.drop(taken.guard)
        if side is not None and self.settled is not None:
            self._tell_settled(taken.call)
        return side

    def _tell_settled(self, call: Call) -> None:
        assert self.settled is not None
        try:
            self.settled(call)
        except Exception:  # the answer goes out whatever the fleet's shell makes of it
            log.exception("settling failed")
            self.counters["internal_errors"] += 1

    def _release(self, handle: int) -> None:
        taken = self._requests.get(handle)
        if taken is not None and taken.side is None and not taken.out:
            self._requests.remove(handle)
            self._identities.discard(taken.call.identity)
            taken.call.body.drop()

    def _answer_failed(self, taken: Taken, why: Failure) -> None:
        side = self._settle(taken)
        if side is not None:
            self.counters["failed"] += 1
            side.failed(why)

    def _send(self, action: api.Send) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        if taken is None:
            return
        now = self._clock.now()
        left = taken.deadline - now
        timeout = left if action.timeout_ms == 0.0 else min(action.timeout_ms, left)
        self.counters["passes"] += 1
        index = len(taken.passes)
        taken.server = action.endpoint
        proxy_pass = self._servers.start(action.endpoint, taken.call, timeout)
        taken.passes.append(proxy_pass)
        taken.out += 1
        proxy_pass.ended.addCallback(self._pass_ended, handle, index, action.endpoint, now)
        proxy_pass.ended.addErrback(self._pass_broken, handle)

    def _pass_ended(self, end: PassEnd, handle: int, index: int, server: str, sent_at: float) -> None:
        self.counters[f"passes_{end.status.name.lower()}"] += 1
        if self.reported is not None and end.report:
            self.reported(server, end.report)
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
        self.tell(api.Outcome(str(handle), end.status, took, index, closed, server, end.report))
        self._release(handle)

    def _end_committed(self, taken: Taken) -> None:
        """The one pass of a request that the module has let go of served nobody.

        Where no pass of it can have run, trying again is harmless, and its user agent is told so: the
        application server has turned it away, not we.
        """
        if taken.may_have_run:  # or it was rejected: nobody will take it
            self._answer_failed(taken, Failure.NOT_SERVED)
            return
        cls = self._settings.classes[taken.call.class_index]
        side = self._settle(taken)
        if side is not None:
            self._turn_away(side, Refused.NEVER_RAN, min(self._settings.max_retry_after_ms, cls.aim_ms / 2.0))

    def _pass_broken(self, failure: object, handle: int) -> None:
        log.error("proxy pass failed inside", extra={"kv": {"why": str(failure)}})
        self.counters["internal_errors"] += 1
        self.end(handle, Failure.INTERNAL)

    def _cancel(self, action: api.Cancel) -> None:
        taken = self._requests.get(int(action.request_id))
        if taken is not None and 0 <= action.attempt < len(taken.passes):
            taken.passes[action.attempt].give_up(Status.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        side = self._settle(taken) if taken is not None else None
        if side is not None:
            self._turn_away(side, Refused.MODULE, action.retry_after_ms)
        self._release(handle)

    def _fail(self, action: api.Fail) -> None:
        handle = int(action.request_id)
        taken = self._requests.get(handle)
        if taken is not None:
            late = self._clock.now() >= taken.deadline
            self._answer_failed(taken, Failure.TOO_LATE if late else Failure.NOT_SERVED)
        self._release(handle)

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        self._clock.after(action.delay_ms, lambda: self.tell(api.TimerFired(token)))

    def _probe(self, action: api.Probe) -> None:
        self.counters["probes"] += 1
        sent_at, server = self._clock.now(), action.endpoint

        def probed(end: PassEnd) -> None:
            if self.reported is not None and end.report:
                self.reported(server, end.report)
            self.tell(api.ProbeResult(server, end.status, self._clock.now() - sent_at, end.report))

        self._servers.probe(server).addCallback(probed)

    def _subscribe(self, action: api.Subscribe) -> None:
        self._watch()
