"""The node's side of the discovery schedule: makes its calls and holds requests without a trusted list."""

import math
from random import Random

from lupinlink.brain.discovery_schedule import DiscoverySchedule
from lupinlink.brain.discovery_times import ENDED_NOTIFIED_MS
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
    """Passes events to the discovery schedule, makes the calls that are due and logs changes of trust."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.discovery = DiscoverySchedule(settings, rng)
        self.trust = ListTrust.CONFIRMED  # as logged last
        self.wakes_at = math.inf  # when the next call to discovery may be due

    def resume_waiting(self, now: float) -> None:
        """News from discovery: servers may be new, or a hold may have ended."""
        raise NotImplementedError

    def node_started(self, now: float) -> None:
        """Start timers at random: nodes started together must not revise admission or make calls in step."""
        self.period.start = now
        self.call_later(self.rng.uniform(0.2, 1.0) * self.period_ms, self.end_period)
        if self.settings.subscribe:
            self.discovery.started(now)
            self.plan_call(now)

    def list_updated(self, event: Membership, now: float) -> None:
        """Apply a change of the list at once."""
        self.selector.weights_due_at = now
        if event.kind == MembershipKind.FAILED:
            self.discovery_updated(self.simulator_failure(now), now)
        elif event.kind != MembershipKind.CACHED and event.current:
            self.discovery.confirmed(now)
        self.log_trust(now)
        self.resume_waiting(now)

    def simulator_failure(self, now: float) -> DiscoveryEvent:
        """The simulator has one event for a dropped subscription and a failed call: tell which it is."""
        if self.discovery.watching:
            return DiscoveryWatchEnded(last_activity_at=now, timed_out=False, may_have_update=False)
        return DiscoveryCallFailed(connected=False, answered=False, took_ms=0.0)

    def discovery_updated(self, event: DiscoveryEvent, now: float) -> None:
        """Pass an event to the schedule, which may plan the next call."""
        match event:
            case DiscoveryMoved():
                self.discovery.moved(now)
            case ProcessStarted():
                self.discovery.restarted(now)
                # Logged even if no request arrives until then.
                self.call_later(self.discovery.times.max_hold_ms, self.log_trust)
            case DiscoveryCallLate():
                self.discovery.call_late(now)
            case DiscoveryCallReached():
                self.discovery.call_reached(now, event)
                if self.settings.subscribe:
                    self.call_later(self.discovery.times.pending_hold_after_ms, self.log_trust)
            case DiscoveryCallAnswered():
                self.discovery.call_answered(now)
            case DiscoveryPartial():
                self.discovery.partial(now, event.partial)
            case DiscoveryCallFailed():
                self.discovery.call_failed(now, event)
            case DiscoveryWatchEnded(at_previous_address=True):
                self.discovery.previous_watch_ended(event.last_activity_at)
            case DiscoveryWatchEnded():
                self.discovery.watch_ended(now, event)
                if self.settings.subscribe and event.may_have_update:
                    self.call_later(
                        ENDED_NOTIFIED_MS + self.discovery.times.pending_hold_after_ms, self.log_trust
                    )
        self.log_trust(now)
        self.plan_call(now)
        self.resume_waiting(now)

    def log_trust(self, now: float) -> None:
        """Log each change of trust: after an outage operators have to see when requests were held."""
        trust = self.discovery.trust(now)
        if trust is not self.trust:
            self.trust = trust
            cause = self.discovery.hold_cause(now)
            self.actions.append(ListTrustChanged(trust, self.discovery.unconfirmed_ms(now), cause))

    def must_hold(self, now: float) -> bool:
        """Whether requests have to wait for discovery."""
        holds = self.discovery.holds(now)
        if holds != (self.trust is ListTrust.HELD):
            self.log_trust(now)
        return holds

    def plan_call(self, now: float) -> None:
        """Set a timer for the schedule's next call, unless an earlier one is set, which will plan again."""
        if self.discovery.call_at < self.wakes_at:
            self.wakes_at = self.discovery.call_at
            self.call_later(max(0.0, self.wakes_at - now), self.call_discovery)

    def call_discovery(self, now: float) -> None:
        """Make the call that is due; a timer that was replaced by an earlier one does nothing."""
        if now < self.wakes_at:
            return
        self.wakes_at = math.inf
        if self.discovery.call_due(now):
            self.subscribe(now)
        self.plan_call(now)
