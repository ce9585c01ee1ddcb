"""The schedule of calls to discovery, and whether the list of backends can be trusted.

This module alone decides both. The network code makes the calls and reports their outcomes. Performs no I/O;
the caller passes the current time in milliseconds.
"""

from __future__ import annotations

import math
from random import Random

from lupinlink.brain.discovery_answers import PendingAnswers
from lupinlink.brain.discovery_outage import CallFailure, OutageDetector
from lupinlink.brain.discovery_times import ANSWER_MS, BACKOFF_JITTER, DRAIN_GRACE_MS, DiscoveryTimes
from lupinlink.interface import (
    DiscoveryCallFailed,
    DiscoveryCallReached,
    DiscoveryWatchEnded,
    HoldCause,
    ListTrust,
)
from lupinlink.settings import Settings

GOLDEN_RATIO_STEP = 0.6180339887498949  # multiples of it, modulo 1, spread any number of ranks evenly
NEVER = math.inf
QUICK_FAILURE_MS = ANSWER_MS / 2  # a discovery that is down fails calls sooner, an overloaded one later
MAX_CALLS = 3  # at a time
OVERLOAD_FAILURES = 2  # late failures since the last watch that show overload or an outage


class DiscoverySchedule:
    """Plans calls until a watch is established, and tracks the age of the last confirmed list."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.times = DiscoveryTimes.of(settings)
        self._next_at = NEVER  # when the next call is due
        self._parallel_at = NEVER  # when one more is due while others are open
        self._settings, self._rng = settings, rng
        self.watching = False  # a watch is open and has sent the list
        self._calls = 0  # open ones
        self._confirmed_at: float | None = None  # by a watch, or the start of this process
        self._started_at = -NEVER  # this process, if there may have been a previous one
        self._hold_from = NEVER  # from then on changes may count as notified that have not arrived
        self._partial_from = NEVER  # start of an incomplete object, which counts as notified
        self._head_at = -NEVER  # the last valid response head
        self._late_failures = 0  # calls that failed late since the last watch
        self._backoff_ms = self.times.initial_backoff_ms
        self._outage = OutageDetector(self.times.outage_calls)
        self._pending = PendingAnswers(self.times.pending_hold_after_ms, self.times.max_hold_ms)

    @property
    def _rank_share(self) -> float:
        """Spreads calls that all processes make for the same reason."""
        return self._settings.rank * GOLDEN_RATIO_STEP % 1.0

    @property
    def call_at(self) -> float:
        """When a call may be due next."""
        return min(self._next_at, self._parallel_at)

    def started(self, now: float) -> None:
        """The node starts with an old list; the first calls of all nodes are spread evenly by rank."""
        self._confirmed_at = now
        self._next_at = now + 1.0 + self.times.first_call_spread_ms * self._rank_share
        self._hold_from = now + self.times.start_hold_after_ms

    def restarted(self, now: float) -> None:
        """This process starts with the previous one's list and is bound by what that one was notified of.

        The list may be older than the last notification, so it is not trusted until discovery has sent one.
        """
        self._started_at = self._confirmed_at = self._hold_from = now
        if not self._settings.subscribe:
            self._next_at = now  # a local agent: calls need not be spread

    def moved(self, now: float) -> None:
        """Discovery has a new address; what the previous address sends confirms nothing."""
        self._reset()
        self.watching = False
        self._hold_from = min(self._hold_from, now + self.times.move_hold_after_ms)
        self._next_at = now

    def confirmed(self, now: float) -> None:
        """A watch has sent the list, which is current. A list without a call confirms nothing."""
        if not self.watching and not self._calls:
            return
        self._confirmed_at = now
        self._reset()
        self.watching = True
        self._pending.notified()
        self._next_at = self._parallel_at = self._hold_from = self._partial_from = NEVER

    def call_due(self, now: float) -> bool:
        """Whether to call now; if so, the call counts as made."""
        if now < self.call_at:
            return False
        self._next_at = self._parallel_at = NEVER
        if self._calls >= MAX_CALLS:
            return False  # the first open call that ends plans the next
        self._calls += 1
        if not self._outage.seems_down:
            # A call without result must not delay the list: another one may bring it.
            self._parallel_at = now + self.times.parallel_call_after_ms
        return True

    def previous_watch_ended(self, last_activity_at: float) -> None:
        """The watch at the previous address has ended before the new address has sent its list."""
        if not self.watching:
            self._hold_from = min(self._hold_from, last_activity_at + self.times.hold_after_ms)

    def watch_ended(self, now: float, event: DiscoveryWatchEnded) -> None:
        """The watch has ended.

        After a silence much of the time within which changes must be known has passed, so the call follows at
        once. Otherwise it is delayed at random, as watches that end together must not call together.
        """
        self._reset(watch_was_ended=not event.timed_out)
        self.watching = False
        self._hold_from = event.last_activity_at + self.times.hold_after_ms
        self._next_at = now if event.timed_out else now + self._next_backoff()
        if event.may_have_update and not event.timed_out:
            self._pending.watch_ended(now)

    def call_late(self, now: float) -> None:
        """A call has waited too long: make another one in parallel.

        After many in a row discovery is unreachable; its changes count as notified only after its return.
        """
        if self.watching:
            return
        self._next_at = now
        if self._outage.failed(CallFailure.LATE, now):
            self._unreachable_at(now - self.times.late_call_after_ms)

    def call_reached(self, now: float, event: DiscoveryCallReached) -> None:
        """A call's connection came up and its request was written."""
        self._outage.connected()
        if not (self.watching or event.previous_watch_open):
            self._pending.asked(event.call_number, now)

    def call_answered(self, now: float) -> None:
        """A valid response head came. Without changes an empty line follows it, though not at once."""
        self._outage.answered()
        self._head_at = now
        self._parallel_at = NEVER

    def partial(self, now: float, partial: bool) -> None:
        """Discovery has begun to write an object, or the object is complete.

        What it has written counts as notified even if the rest never arrives.
        """
        self._partial_from = min(self._partial_from, now) if partial else NEVER

    def call_failed(self, now: float, event: DiscoveryCallFailed) -> None:
        """A call ended without a list."""
        self._calls = max(0, self._calls - 1)
        if event.refused or not event.connected:
            self._pending.not_answered([event.call_number])
        if self.watching:
            return
        self._late_failures += event.took_ms >= QUICK_FAILURE_MS
        if event.may_have_notified:
            self._partial_from = min(self._partial_from, now)
        quick = event.took_ms < QUICK_FAILURE_MS
        if not event.answered and (quick or event.connected):
            if self._outage.failed(failure_of(event), now, event.call_number):
                self._unreachable_at(now - event.took_ms)
        elif not event.connected and self._calls:
            return  # its connection never came up, and others were started in parallel
        if self._calls and self._outage.seems_down:
            return  # during an outage one call at a time is enough
        # Discovery has already spent its effort on a call with a head: waiting would save it nothing.
        delay_ms = 0.0 if event.answered and not quick else self._next_backoff()
        self._next_at = min(self._next_at, now + delay_ms)

    def holds(self, now: float) -> bool:
        """Whether requests have to wait for discovery."""
        return self.hold_cause(now) is not None

    def hold_cause(self, now: float) -> HoldCause | None:
        """Why requests have to wait: discovery is reachable, but may have changes that have not arrived.

        During an outage the known list is used, and also when a hold has lasted too long; that is sooner if
        no call had a valid response head, which shows that discovery is up.
        """
        if self._partial_from <= now < self._partial_from + self.times.max_hold_ms:
            return HoldCause.CUT_SHORT
        # Calls made while an unconfirmed list was not trusted hold requests no longer than the list did.
        if self._pending.may_be_lost(now, after=self._hold_until if now >= self._hold_until else -NEVER):
            return HoldCause.ANSWER_PENDING
        if self._outage.is_outage or not self._hold_from <= now < self._hold_until:
            return None
        return HoldCause.STARTED if self._hold_from == self._started_at else HoldCause.UNCONFIRMED

    def hold_may_end_at(self, now: float) -> float:
        """The next time at which a hold may end without an event; infinite if only an event can end it."""
        ends = [self._partial_from + self.times.max_hold_ms, self._hold_until, *self._pending.expiries()]
        return min((at for at in ends if at > now), default=NEVER)

    @property
    def _hold_until(self) -> float:
        """When an unconfirmed list is used again."""
        extension_ms = min(max(0.0, self._head_at - self._hold_from), self.times.hold_extension_ms)
        return self._hold_from + self.times.max_hold_ms + extension_ms

    def trust(self, now: float) -> ListTrust:
        """Whether requests are sent by the list."""
        if self.holds(now):
            return ListTrust.HELD
        if self.watching:
            return ListTrust.CONFIRMED
        return ListTrust.AWAY if self._outage.is_outage else ListTrust.UNCONFIRMED

    def unconfirmed_ms(self, now: float) -> float:
        """Time since a watch last confirmed the list, or since this process started."""
        return now - self._confirmed_at if self._confirmed_at is not None else 0.0

    def _unreachable_at(self, at: float) -> None:
        """Discovery was unreachable at this time: its changes count as notified only after its return."""
        self._pending.not_answered(self._outage.failed_calls)
        self._hold_from = at + self.times.hold_after_ms

    def _next_backoff(self) -> float:
        """A backoff that doubles with each failure, with jitter to keep processes apart."""
        max_ms = self.times.max_backoff_ms
        if self._outage.seems_down:
            max_ms = self.times.outage_max_backoff_ms  # each open call holds requests
        elif self._late_failures >= OVERLOAD_FAILURES:
            max_ms = self.times.overload_max_backoff_ms
        self._backoff_ms = min(2.0 * self._backoff_ms, max_ms)
        return self._backoff_ms * self._rng.uniform(*BACKOFF_JITTER)

    def _reset(self, watch_was_ended: bool = False) -> None:
        """Forget earlier failures."""
        self._calls = 0
        self._outage.reset(watch_was_ended)
        self._late_failures = 0
        self._backoff_ms = self.times.initial_backoff_ms


def failure_of(event: DiscoveryCallFailed) -> CallFailure:
    """How this call failed."""
    if not event.connected:
        return CallFailure.REFUSED
    if event.timed_out:
        return CallFailure.UNANSWERED
    if event.refused:
        return CallFailure.ENDED_AT_ONCE if event.took_ms < QUICK_FAILURE_MS else CallFailure.ENDED_LATE
    return CallFailure.BROKEN_AT_ONCE if event.took_ms < DRAIN_GRACE_MS else CallFailure.BROKEN_LATE
