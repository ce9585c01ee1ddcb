"""When discovery is called, and whether the list that it gave can be relied on. Pure: time is handed in.

This is the one owner of both questions. The network code carries calls out and reports what became of them.
"""

from __future__ import annotations

import math
from random import Random

from lupinlink.brain.discovery_answers import PendingAnswers
from lupinlink.brain.discovery_outage import CallFailure, OutageDetector
from lupinlink.brain.discovery_times import ANSWER_MS, GRACE_MS, WAIT_SHARES, DiscoveryTimes
from lupinlink.interface import (
    DiscoveryCallFailed,
    DiscoveryCallReached,
    DiscoveryWatchEnded,
    HoldCause,
    ListTrust,
)
from lupinlink.settings import Settings

GOLDEN = 0.6180339887498949  # steps of this share spread any number of ranks evenly
NEVER = math.inf
QUICK_MS = ANSWER_MS / 2  # discovery that is down turns calls away sooner, a crowded one later than this
MOST_CALLS = 3  # at a time
CROWDED_FAILURES = 2  # late ones since a watch stood: discovery is down, or has too many callers


class DiscoverySchedule:
    """Plans the calls until a watch stands, and knows how old the last confirmed list is."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.times = DiscoveryTimes.of(settings)
        self._next_at = NEVER  # when the next call is due
        self._beside_at = NEVER  # when one more is due beside those that are out
        self._settings, self._rng = settings, rng
        self.watching = False  # a watch stands and has told
        self._calls = 0  # that are out
        self._confirmed_at: float | None = None  # when a watch told last, or this process started
        self._started_at = -NEVER  # this process, if it may have had a former life
        self._hold_from = NEVER  # from here on changes may count as told that did not come
        self._partial_from = NEVER  # an object has begun that does not end: it counts as told from here on
        self._answered_at = -NEVER  # the last good head
        self._late_failures = 0  # calls that failed late since a watch stood
        self._wait_ms = self.times.initial_backoff_ms
        self._outage = OutageDetector(self.times.outage_calls)
        self._pending = PendingAnswers(self.times.pending_hold_after_ms, self.times.max_hold_ms)

    @property
    def _rank_share(self) -> float:
        """Spreads the calls that all processes make for the same reason."""
        return self._settings.rank * GOLDEN % 1.0

    @property
    def call_at(self) -> float:
        """When to ask again whether a call is due."""
        return min(self._next_at, self._beside_at)

    def started(self, now: float) -> None:
        """This node knows only an old list. First calls are spread evenly, by rank."""
        self._confirmed_at = now
        self._next_at = now + 1.0 + self.times.first_call_spread_ms * self._rank_share
        self._hold_from = now + self.times.start_hold_after_ms

    def restarted(self, now: float) -> None:
        """This process has the list of its former life, and what that was told counts for it as well.

        The list may be older than that, so it is not relied on before discovery has told.
        """
        self._started_at = self._confirmed_at = self._hold_from = now
        if not self._settings.subscribe:
            self._next_at = now  # a local agent: its calls need not keep apart

    def moved(self, now: float) -> None:
        """Discovery is at another address from now on; what the former one tells confirms nothing."""
        self._reset()
        self.watching = False
        self._hold_from = min(self._hold_from, now + self.times.move_hold_after_ms)
        self._next_at = now

    def confirmed(self, now: float) -> None:
        """A watch has told: the list is that of discovery. One that nobody called for shows nothing."""
        if not self.watching and not self._calls:
            return
        self._confirmed_at = now
        self._reset()
        self.watching = True
        self._pending.told()
        self._next_at = self._beside_at = self._hold_from = self._partial_from = NEVER

    def call_due(self, now: float) -> bool:
        """Whether to call now; the call counts as made."""
        if now < self.call_at:
            return False
        self._next_at = self._beside_at = NEVER
        if self._calls >= MOST_CALLS:
            return False  # the first of those that are out to be given up plans the next
        self._calls += 1
        if not self._outage.seems_down:
            # A call that brings nothing must not keep others from bringing the news.
            self._beside_at = now + self.times.parallel_call_after_ms
        return True

    def former_watch_ended(self, heard_at: float) -> None:
        """The watch at discovery's former address is over, and the new one has not told yet."""
        if not self.watching:
            self._hold_from = min(self._hold_from, heard_at + self.times.hold_after_ms)

    def watch_ended(self, now: float, event: DiscoveryWatchEnded) -> None:
        """The watch is over.

        After a silence much of the time has gone by in which changes have to be heard, so the call follows at
        once. Watches that end together must not call together.
        """
        self._reset(watch_was_ended=not event.timed_out)
        self.watching = False
        self._hold_from = event.last_activity_at + self.times.hold_after_ms
        self._next_at = now if event.timed_out else now + self._drawn_wait()
        if event.may_have_update and not event.timed_out:
            self._pending.watch_ended(now)

    def call_late(self, now: float) -> None:
        """A call waits for too long already: another one is made beside it.

        Many in a row: discovery cannot be reached, and what it has counts as told only after its return.
        """
        if self.watching:
            return
        self._next_at = now
        if self._outage.failed(CallFailure.LATE, now):
            self._cannot_be_reached(now - self.times.late_call_after_ms)

    def call_reached(self, now: float, event: DiscoveryCallReached) -> None:
        """The connection of a call came up, and its request was written."""
        self._outage.connected()
        if not (self.watching or event.previous_watch_open):
            self._pending.asked(event.call_number, now)

    def call_answered(self, now: float) -> None:
        """A good head came. Where nothing has changed, an empty line follows it, though not at once."""
        self._outage.answered()
        self._answered_at = now
        self._beside_at = NEVER

    def partial(self, now: float, partial: bool) -> None:
        """Discovery has begun to write something, or all of it came.

        What it has written counts as told, though the rest never comes.
        """
        self._partial_from = min(self._partial_from, now) if partial else NEVER

    def call_failed(self, now: float, event: DiscoveryCallFailed) -> None:
        """A call told nothing."""
        self._calls = max(0, self._calls - 1)
        if event.refused or not event.connected:
            self._pending.told_nothing([event.call_number])
        if self.watching:
            return
        self._late_failures += event.took_ms >= QUICK_MS
        if event.may_have_notified:
            self._partial_from = min(self._partial_from, now)
        at_once = event.took_ms < QUICK_MS
        if not event.answered and (at_once or event.connected):
            if self._outage.failed(way_of(event), now, event.call_number):
                self._cannot_be_reached(now - event.took_ms)
        elif not event.connected and self._calls:
            return  # its connection never came up, and others were begun beside it since
        if self._calls and self._outage.seems_down:
            return  # one after the other is enough from here on
        # A head has cost discovery its turn: a wait saves nothing.
        wait_ms = 0.0 if event.answered and not at_once else self._drawn_wait()
        self._next_at = min(self._next_at, now + wait_ms)

    def holds(self, now: float) -> bool:
        """Whether requests have to wait until discovery has told."""
        return self.hold_cause(now) is not None

    def hold_cause(self, now: float) -> HoldCause | None:
        """Why requests have to wait: discovery can be reached, but may have more than it has told.

        Where it is away the known list serves on, and so it does once this has lasted for too long: sooner
        where no call was answered with a good head, which shows that it is there.
        """
        if self._partial_from <= now < self._partial_from + self.times.max_hold_ms:
            return HoldCause.CUT_SHORT
        # What was asked while an unconfirmed list was not relied on holds no longer than that did.
        if self._pending.may_be_lost(now, after=self._hold_until if now >= self._hold_until else -NEVER):
            return HoldCause.ANSWER_PENDING
        if self._outage.away or not self._hold_from <= now < self._hold_until:
            return None
        return HoldCause.STARTED if self._hold_from == self._started_at else HoldCause.UNCONFIRMED

    def hold_may_end_at(self, now: float) -> float:
        """The next moment at which time alone may end a hold; infinite if only an event can."""
        ends = [self._partial_from + self.times.max_hold_ms, self._hold_until, *self._pending.expiries()]
        return min((at for at in ends if at > now), default=NEVER)

    @property
    def _hold_until(self) -> float:
        """When an unconfirmed list has to serve again."""
        shown_ms = min(max(0.0, self._answered_at - self._hold_from), self.times.hold_extension_ms)
        return self._hold_from + self.times.max_hold_ms + shown_ms

    def trust(self, now: float) -> ListTrust:
        """Whether requests are sent by the list, in one word."""
        if self.holds(now):
            return ListTrust.HELD
        if self.watching:
            return ListTrust.CONFIRMED
        return ListTrust.AWAY if self._outage.away else ListTrust.UNCONFIRMED

    def unconfirmed_ms(self, now: float) -> float:
        """How long ago a watch told last, or this process started."""
        return now - self._confirmed_at if self._confirmed_at is not None else 0.0

    def _cannot_be_reached(self, at: float) -> None:
        """What discovery has counts as told only after its return, which is later than this."""
        self._pending.told_nothing(self._outage.row)
        self._hold_from = at + self.times.hold_after_ms

    def _drawn_wait(self) -> float:
        """A wait that grows with each failure and keeps processes apart."""
        most_ms = self.times.max_backoff_ms
        if self._outage.seems_down:
            most_ms = self.times.outage_max_backoff_ms  # each call that is out holds requests
        elif self._late_failures >= CROWDED_FAILURES:
            most_ms = self.times.overload_max_backoff_ms
        self._wait_ms = min(2.0 * self._wait_ms, most_ms)
        return self._wait_ms * self._rng.uniform(*WAIT_SHARES)

    def _reset(self, watch_was_ended: bool = False) -> None:
        """Nothing that failed before counts any more."""
        self._calls = 0
        self._outage.reset(watch_was_ended)
        self._late_failures = 0
        self._wait_ms = self.times.initial_backoff_ms


def way_of(event: DiscoveryCallFailed) -> CallFailure:
    """In which way this call failed."""
    if not event.connected:
        return CallFailure.REFUSED
    if event.timed_out:
        return CallFailure.UNANSWERED
    if event.refused:
        return CallFailure.TURNED_AWAY if event.took_ms < QUICK_MS else CallFailure.ENDED_LATE
    return CallFailure.BROKEN_AT_ONCE if event.took_ms < GRACE_MS else CallFailure.BROKEN_LATE
