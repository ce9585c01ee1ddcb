"""When discovery is called, and whether requests may be sent by its list: the node's side of the schedule."""

import math
from random import Random

from lupinlink.brain.discovery_schedule import DiscoverySchedule
from lupinlink.brain.discovery_times import ENDED_TOLD_MS
from lupinlink.brain.load_monitoring import LoadMonitoringNode
from lupinlink.interface import (
    DiscoveryCallAnswered,
    DiscoveryCallFailed,
    DiscoveryCallLate,
    DiscoveryCallReached,
    DiscoveryEvent,
    DiscoveryMoved,
    DiscoveryPartial,
    DiscoveryWatchEnded,
    ListTrust,
    ListTrustChanged,
    Membership,
    MembershipKind,
    ProcessStarted,
    Settings,
)


class DiscoveryNode(LoadMonitoringNode):
    """Hands each event to the schedule, makes the calls that are due and logs whether the list is trusted."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.discovery = DiscoverySchedule(settings, rng)
        self.trust = ListTrust.CONFIRMED  # as last logged
        self.wakes_at = math.inf  # for the next call to discovery

    def list_may_serve(self, now: float) -> None:
        """Something has come of discovery: servers may be new, or requests be held no longer."""
        raise NotImplementedError

    def node_started(self, now: float) -> None:
        """Danger: nodes started together must not revise, nor call discovery, in step."""
        self.period.start = now
        self.call_later(self.rng.uniform(0.2, 1.0) * self.span, self.end_period)
        if self.settings.subscribe:
            self.discovery.started(now)
            self.plan_call(now)

    def list_updated(self, event: Membership, now: float) -> None:
        """Act at once on what changed."""
        self.selector.due_at = now
        if event.kind == MembershipKind.FAILED:
            self.discovery_updated(self.ended_on_the_simulator(now), now)
        elif event.kind != MembershipKind.CACHED and event.current:
            self.discovery.confirmed(now)
        self.note_trust(now)
        self.list_may_serve(now)

    def ended_on_the_simulator(self, now: float) -> DiscoveryEvent:
        """Its one event for both: a subscription that dropped, or else a call that failed."""
        if self.discovery.watching:
            return DiscoveryWatchEnded(last_activity_at=now, timed_out=False, may_have_update=False)
        return DiscoveryCallFailed(connected=False, answered=False, took_ms=0.0)

    def discovery_updated(self, event: DiscoveryEvent, now: float) -> None:
        """Hand it to the schedule, which may plan the next call."""
        match event:
            case DiscoveryMoved():
                self.discovery.moved(now)
            case ProcessStarted():
                self.discovery.restarted(now)
                self.call_later(
                    self.discovery.times.max_hold_ms, self.note_trust
                )  # though no request may come
            case DiscoveryCallLate():
                self.discovery.call_late(now)
            case DiscoveryCallReached():
                self.discovery.call_reached(now, event)
                if self.settings.subscribe:
                    self.call_later(self.discovery.times.pending_hold_after_ms, self.note_trust)
            case DiscoveryCallAnswered():
                self.discovery.call_answered(now)
            case DiscoveryPartial():
                self.discovery.partial(now, event.partial)
            case DiscoveryCallFailed():
                self.discovery.call_failed(now, event)
            case DiscoveryWatchEnded(at_previous_address=True):
                self.discovery.former_watch_ended(event.last_activity_at)
            case DiscoveryWatchEnded():
                self.discovery.watch_ended(now, event)
                if self.settings.subscribe and event.may_have_update:
                    self.call_later(
                        ENDED_TOLD_MS + self.discovery.times.pending_hold_after_ms, self.note_trust
                    )
        self.note_trust(now)
        self.plan_call(now)
        self.list_may_serve(now)

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
            self.call_later(max(0.0, self.wakes_at - now), self.call_discovery)

    def call_discovery(self, now: float) -> None:
        """Make the call that is due; a wake-up that an earlier one has replaced does nothing."""
        if now < self.wakes_at:
            return
        self.wakes_at = math.inf
        if self.discovery.call_due(now):
            self.subscribe(now)
        self.plan_call(now)
