"""What becomes of each request: admitted, sent, tried again, called off or turned away."""

import math
from random import Random

from lupinlink.brain.choice import LATENCY, OVERDUE_GAIN
from lupinlink.brain.discovery import DiscoverySchedule
from lupinlink.brain.discovery_times import ENDED_TOLD_MS
from lupinlink.brain.health import MAX_EJECTED
from lupinlink.brain.learning import Learning
from lupinlink.brain.repeats import begin_by, may_follow, may_refuse
from lupinlink.interface import (
    Attempt,
    Cancel,
    DiscoveryCallAnswered,
    DiscoveryCallFailed,
    DiscoveryCallLate,
    DiscoveryCallReached,
    DiscoveryEvent,
    DiscoveryMoved,
    DiscoveryPartial,
    DiscoveryWatchEnded,
    Effect,
    Fail,
    ListTrust,
    ListTrustChanged,
    Membership,
    MembershipKind,
    Outcome,
    ProcessStarted,
    RefusalCause,
    Refuse,
    Request,
    Server,
    Settings,
    Status,
)

RETRY_RATIO, RETRY_BURST, RETRY_AFTER = 0.2, 20.0, 0.5  # tokens an arrival, their most; advice in aims
OVERDUE_DEVS, OVERDUE_LEAST = 2.0, 0.5  # later than so many deviations, and so many aims, is news
OVERDUE_AGAIN, LOST_DEVS, SILENT_MOST = 1.5, 20.0, 3  # so many times the age again; lost beyond; it hangs
PARK_MS, ANSWER_MARGIN_MS = 50.0, 15.0  # a request with no server looks again; answered this long before end


class Balancer(Learning):
    """One node's decisions: takes events, returns actions. Clock and random source are the caller's."""

    retry_tokens = RETRY_BURST / 2

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.discovery = DiscoverySchedule(settings, rng)
        self.trust = ListTrust.CONFIRMED  # as last logged
        self.wakes_at = math.inf  # for the next call to discovery

    def started(self, now: float) -> None:
        """Danger: nodes started together must not revise, nor call discovery, in step."""
        self.period.start = now
        self.after(self.rng.uniform(0.2, 1.0) * self.span, self.end_period)
        if self.settings.subscribe:
            self.discovery.started(now)
            self.plan_call(now)

    def list_news(self, event: Membership, now: float) -> None:
        """Act at once on what changed."""
        self.split.due_at = now
        if event.kind == MembershipKind.FAILED:
            self.discovery_news(self.ended_on_the_simulator(now), now)
        elif event.kind != MembershipKind.CACHED and event.current:
            self.discovery.confirmed(now)
        self.note_trust(now)

    def ended_on_the_simulator(self, now: float) -> DiscoveryEvent:
        """Its one event for both: a subscription that dropped, or else a call that failed."""
        if self.discovery.watching:
            return DiscoveryWatchEnded(heard_at=now, silent=False, may_have_news=False)
        return DiscoveryCallFailed(reached=False, answered=False, took_ms=0.0)

    def discovery_news(self, event: DiscoveryEvent, now: float) -> None:
        """Hand it to the schedule, which may plan the next call."""
        match event:
            case DiscoveryMoved():
                self.discovery.moved(now)
            case ProcessStarted():
                self.discovery.restarted(now)
                self.after(self.discovery.times.hold_most_ms, self.note_trust)  # though no request may come
            case DiscoveryCallLate():
                self.discovery.call_late(now)
            case DiscoveryCallReached():
                self.discovery.call_reached(now, event)
                if self.settings.subscribe:
                    self.after(self.discovery.times.pending_hold_after_ms, self.note_trust)
            case DiscoveryCallAnswered():
                self.discovery.call_answered(now)
            case DiscoveryPartial():
                self.discovery.partial(now, event.partial)
            case DiscoveryCallFailed():
                self.discovery.call_failed(now, event)
            case DiscoveryWatchEnded(former=True):
                self.discovery.former_watch_ended(event.heard_at)
            case DiscoveryWatchEnded():
                self.discovery.watch_ended(now, event)
                if self.settings.subscribe and event.may_have_news:
                    self.after(ENDED_TOLD_MS + self.discovery.times.pending_hold_after_ms, self.note_trust)
        self.note_trust(now)
        self.plan_call(now)

    def note_trust(self, now: float) -> None:
        """Have each change of it logged: after an outage staff have to see when requests were held."""
        trust = self.discovery.trust(now)
        if trust is not self.trust:
            self.trust = trust
            cause = self.discovery.hold_cause(now)
            self.actions.append(ListTrustChanged(trust, self.discovery.unconfirmed_ms(now), cause))

    def list_holds(self, now: float) -> bool:
        """Whether requests wait until discovery has told."""
        holds = self.discovery.holds(now)
        if holds != (self.trust is ListTrust.HELD):
            self.note_trust(now)
        return holds

    def plan_call(self, now: float) -> None:
        """Wake up when the schedule's next call is due, unless a wake-up comes sooner: that plans anew."""
        if self.discovery.call_at < self.wakes_at:
            self.wakes_at = self.discovery.call_at
            self.after(max(0.0, self.wakes_at - now), self.call_discovery)

    def call_discovery(self, now: float) -> None:
        """Make the call that is due; a wake-up that an earlier one has replaced does nothing."""
        if now < self.wakes_at:
            return
        self.wakes_at = math.inf
        if self.discovery.call_due(now):
            self.subscribe(now)
        self.plan_call(now)

    def listed(self, server: Server) -> None:
        """A new process: the first token is drawn, so that the nodes do not all meet it cold at once."""
        server.tokens = self.rng.random()

    def arrived(self, request: Request, now: float) -> None:
        if not self.in_time(request, now):  # nor is it counted: however many come, they say nothing of load
            return self.finish(request, RefusalCause.NO_TIME)
        self.period.arrivals += 1
        self.period.returned += request.arrival.is_retry
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.probe_some()
        if now >= self.split.due_at:
            self.look_ahead(now)
        bucket = self.order.bucket(request.arrival, self.rng)
        if self.admission.refusing and self.rng.random() >= self.order.admit[bucket]:
            self.period.refused += 1
            return self.finish(request, RefusalCause.SHED)
        self.dispatch(request, now)

    def may_send(self, request: Request, server: Server, now: float) -> bool:
        """The guard of the four rules for every send: one answer, one effect, drains, cold servers."""
        spent = now >= request.arrival.deadline or len(request.attempts) >= self.settings.max_attempts
        if request.done or spent or not server.ready or self.list_holds(now):
            return False
        for a in request.attempts:  # no second copies: they cost more than they save (docs/design.md)
            spent = spent or a.status is None or not may_follow(a, request.cls, server.row, now)
        return not spent and self.slow_start.allows(server, now)

    def finish(self, request: Request, cause: RefusalCause | None) -> None:
        """The one final answer: a refusal where there is a cause and it is harmless, else a failure."""
        name, harmless = request.arrival.request_id, cause is not None and may_refuse(request)
        wait = min(self.settings.max_retry_after_ms, RETRY_AFTER * request.cls.aim_ms)
        if cause is not None and harmless:
            self.actions.append(Refuse(name, wait * self.rng.uniform(0.5, 1.0), cause))
        else:
            self.actions.append(Fail(name))
        self.close(request)

    def dispatch(self, request: Request, now: float) -> None:
        """Send an attempt where one fits, else park or answer."""
        if request.done:
            return
        used = [a.server for a in request.attempts]

        def fits(server: Server) -> bool:
            out = now < server.ejected_until or (server.trial and server.out > 0)
            room = not out and server not in used and self.limits.has_room(server, now)
            return room and self.may_send(request, server, now)

        server = self.split.pick(now, self, request.arrival.key, fits)
        if server is not None:
            attempt = self.start_attempt(request, server, begin_by(request), now)
            stats, aim = self.latency[request.arrival.class_index], request.cls.aim_ms
            late = min(aim, max(stats.mean + OVERDUE_DEVS * stats.dev, OVERDUE_LEAST * aim))
            self.after(late, lambda t: self.overdue(request, attempt, t, 1))  # a pause here is no hang
        elif now + PARK_MS < self.worth_waiting_until(request):
            self.after(PARK_MS, lambda t: self.dispatch(request, t))
        else:
            held = self.list_holds(now)
            self.finish(request, RefusalCause.LIST_HELD if held else RefusalCause.NO_BACKEND)

    def worth_waiting_until(self, request: Request) -> float:
        """So long may a request wait for a server; then its answer would be worth nothing or too late."""
        return min(request.arrival.deadline - ANSWER_MARGIN_MS, self.limits.latest_begin(request))

    def overdue(self, request: Request, attempt: Attempt, now: float, first: int = 0) -> None:
        """Danger: a jammed server answers late and so reports late; the age of what it holds is evidence."""
        if attempt.status is not None:
            return
        server, age, stats = attempt.server, now - attempt.sent_at, self.latency[request.arrival.class_index]
        self.split.observe(server, age / stats.mean, LATENCY, OVERDUE_GAIN, now)
        self.after((OVERDUE_AGAIN - 1.0) * age, lambda t: self.overdue(request, attempt, t))
        # Danger: a server that hangs eats what it is sent; where it answers others, one connection is silent.
        quiet = server.heard_at < attempt.sent_at
        server.silent += first * quiet
        hangs = quiet and (server.silent >= SILENT_MOST or (server.trial and not first))
        if hangs:
            self.health.eject(server, now, MAX_EJECTED * self.ready)
        if hangs or age > stats.mean + LOST_DEVS * stats.dev:
            elsewhere = any(may_follow(attempt, request.cls, s.row, now) for s in self.untried(request, now))
            if elsewhere and self.settings.may_cancel and self.again(request, now):
                self.actions.append(Cancel(request.arrival.request_id, len(request.attempts) - 1))

    def ended(self, request: Request, attempt: Attempt, event: Outcome, now: float) -> None:
        self.evidence(request, attempt, event, now)
        if request.done:
            return
        if event.status == Status.REJECTED:  # no server will take it
            return self.finish(request, None)
        cost = event.status not in (Status.UNREACHABLE, Status.NOT_SENT)  # those have cost no server anything
        final = request.cls.effect == Effect.UNSAFE and attempt.may_have_run()
        if final or not self.again(request, now, cost):
            return self.finish(request, RefusalCause.NO_RETRY)
        self.retry_tokens -= cost
        self.dispatch(request, now)

    def again(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can still be useful and the budget lasts: retries must make no storm."""
        return self.retry_tokens >= cost and self.in_time(request, now)

    def in_time(self, request: Request, now: float) -> bool:
        """Whether an answer may still come before the client has gone."""
        usual = self.latency[request.arrival.class_index].seen()
        return request.arrival.deadline - now >= ANSWER_MARGIN_MS + usual / 2
