"""Where discovery is down the known list serves on, however its failing calls look."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from random import Random

from lupinlink.brain.discovery_outage import OUTAGE_CALLS_NO_WATCH
from lupinlink.brain.discovery_schedule import DiscoverySchedule
from lupinlink.brain.discovery_times import MAX_HOLD_MS
from lupinlink.interface import DiscoveryCallFailed, DiscoveryWatchEnded, Settings
from tests.discovery_drive import ROUNDING_MS, drive
from tests.drain_script import Change, OutageKind, Restart, Script, ScriptedOutage
from tests.helpers import SAFE
from tests.test_drain_faults import SEEDS, Forced

SLOW_MS = 2000.0  # a call that discovery cannot serve fails after this
OUTAGE = ScriptedOutage(9000.0, 40000.0, OutageKind.ERROR, SLOW_MS)
RESET_OUTAGE = ScriptedOutage(9000.0, 40000.0, OutageKind.RESET, SLOW_MS)
FAILED_CALL_MS = 2500.0  # a call that fails late, and the wait before it
SHOWN_MS = 8400.0  # five calls that fail late, up to three at a time, the waits between, a request's time
ENDED_LATE = DiscoveryCallFailed(connected=True, answered=False, took_ms=SLOW_MS, refused=True)
UNANSWERED = replace(ENDED_LATE, timed_out=True, refused=False)
HEAD_ALONE = DiscoveryCallFailed(connected=True, answered=True, took_ms=SLOW_MS)
LONG_MS = 300_000.0
HEAD_EVERY_MS = 500.0


class SlowFailures(Forced):
    """Discovery is down, and each call fails only after 2 s, as those of a crowded one do."""

    def serves_on(self, script: Script, most_ms: float) -> None:
        """What the outage has hidden is kept, and requests are not held for long."""
        self.in_time(script)
        longest = max(drive(replace(script, seed=seed)).longest_hold_ms for seed in SEEDS)
        self.assertLessEqual(longest, most_ms)

    def test_a_small_fleet_serves_on(self) -> None:
        # While a call is out it may have been answered; and small fleets call until an outage is shown.
        for outage, most_ms in ((OUTAGE, SHOWN_MS), (RESET_OUTAGE, FAILED_CALL_MS)):
            self.serves_on(Script((Change(12000.0),), (outage,)), most_ms)

    def test_an_outage_of_slow_failures_costs_half_of_it_once_shown(self) -> None:
        for peers in (5, 12, 40, 200):
            script = Script((Change(12000.0),), (OUTAGE,), peers=peers)
            held_ms = max(drive(replace(script, seed=seed)).held_ms for seed in SEEDS)
            self.assertLessEqual(held_ms, SHOWN_MS + 0.5 * (OUTAGE.end - OUTAGE.begin - SHOWN_MS), peers)

    def test_a_large_fleet_serves_on(self) -> None:
        for peers in (40, 200):
            self.serves_on(Script((Change(12000.0),), (OUTAGE,), peers=peers), FAILED_CALL_MS)

    def test_a_process_of_a_large_fleet_that_starts_meanwhile_serves_on(self) -> None:
        # It has seen no watch end, so two late failures may be those of a crowded discovery.
        for peers in (40, 200):
            script = Script((Change(12000.0),), (OUTAGE,), restarts=(Restart(13000.0),), peers=peers)
            self.serves_on(script, MAX_HOLD_MS + ROUNDING_MS)


class Planned:
    """A schedule whose calls fail after 2 s, each."""

    def __init__(self, peers: int) -> None:
        settings = Settings(classes=(SAFE,), subscribe=True, must_ask_ms=10000.0, peers=peers)
        self.schedule = DiscoverySchedule(settings, Random(1))
        self.called: list[float] = []
        self._failing: list[float] = []
        self.now = 0.0

    def fail_until(self, end: float) -> None:
        """Every call that is out fails late."""
        while (at := min([self.schedule.call_at, *self._failing])) < end:
            self.now = max(self.now, at)
            if self._failing and self._failing[0] <= self.now:
                self._failing.pop(0)
                self.schedule.call_failed(self.now, ENDED_LATE)
            elif self.schedule.call_due(self.now):
                self.called.append(self.now)
                self._failing.append(self.now + SLOW_MS)


def test_a_small_fleet_looks_again_before_its_list_counts_as_old() -> None:
    planned = Planned(peers=5)
    planned.schedule.started(0.0)
    planned.fail_until(7000.0)
    begun = [at for at in planned.called if at < 4600.0]
    assert len(begun) >= planned.schedule.times.outage_calls - 1, begun


def test_calls_are_made_one_after_the_other_once_discovery_is_taken_for_away() -> None:
    for peers in (1, 5, 8, 12, 40, 200):
        planned = Planned(peers)
        planned.schedule.started(0.0)
        planned.fail_until(LONG_MS)
        later = [at for at in planned.called if at > 20_000.0]
        assert all(after - before > SLOW_MS for before, after in pairwise(later)), peers
        assert len(later) < LONG_MS / SLOW_MS


def test_calls_are_made_less_often_once_they_have_failed_late_again_and_again() -> None:
    """Else they keep discovery busy with those given up, and hold requests while they are out."""
    for peers, most in ((5, 5000.0), (40, 5000.0), (200, 5000.0)):
        planned = Planned(peers)
        planned.schedule.started(0.0)
        planned.schedule.restarted(0.0)
        planned.fail_until(LONG_MS)
        later = [at for at in planned.called if at > 30_000.0]
        spans = [after - before - SLOW_MS for before, after in pairwise(later)]
        assert most / 4 - 1.0 <= min(spans) and max(spans) <= 0.75 * most + 1.0, peers
        assert 0.75 * most + SLOW_MS <= 6000.0


def test_one_failed_call_never_shows_that_discovery_is_away() -> None:
    for peers in (1, 5, 8, 12, 40, 200, 5000):
        planned = Planned(peers)
        planned.schedule.started(0.0)
        planned.schedule.restarted(0.0)
        while not planned.schedule.call_due(planned.now):
            planned.now = planned.schedule.call_at
        planned.schedule.call_failed(planned.now + SLOW_MS, ENDED_LATE)
        assert planned.schedule.holds(planned.now + SLOW_MS + 1.0), peers


def test_a_head_shows_that_discovery_is_there() -> None:
    planned = Planned(peers=200)
    planned.schedule.started(0.0)
    planned.schedule.restarted(0.0)
    planned.fail_until(4000.0)
    planned.schedule.call_answered(planned.now)
    planned.schedule.call_failed(planned.now, HEAD_ALONE)
    planned.schedule.call_failed(planned.now, ENDED_LATE)
    assert planned.schedule.holds(planned.now + 1.0)


def test_heads_alone_hold_requests_for_longer_and_not_for_good() -> None:
    for peers in (1, 5, 40, 200):
        planned = Planned(peers)
        schedule, times = planned.schedule, planned.schedule.times
        schedule.restarted(0.0)
        held, now = [], 0.0
        while now < LONG_MS:
            now += HEAD_EVERY_MS
            schedule.call_answered(now)
            held.append(schedule.holds(now))
        longest = times.max_hold_ms + times.hold_extension_ms
        assert longest - 2 * HEAD_EVERY_MS <= sum(held) * HEAD_EVERY_MS <= longest + HEAD_EVERY_MS, peers
        assert not held[-1]


def test_failures_of_different_ways_show_no_outage() -> None:
    failures = [ENDED_LATE, UNANSWERED] * 10
    schedule = Planned(peers=200).schedule
    schedule.restarted(0.0)
    for number, failure in enumerate(failures):
        schedule.call_failed(float(number), failure)
        assert schedule.holds(float(number))
    for number in range(OUTAGE_CALLS_NO_WATCH):
        assert schedule.holds(99.0 + number)
        schedule.call_failed(100.0 + number, ENDED_LATE)
    assert not schedule.holds(100.0 + OUTAGE_CALLS_NO_WATCH)


def test_calls_that_are_never_answered_are_no_outage_so_soon() -> None:
    schedule = Planned(peers=200).schedule
    schedule.watch_ended(0.0, DiscoveryWatchEnded(last_activity_at=0.0, timed_out=False))
    held_at = schedule.times.hold_after_ms + 1.0
    for number in range(OUTAGE_CALLS_NO_WATCH):
        assert schedule.holds(held_at + number)
        schedule.call_failed(held_at + number, UNANSWERED)
    assert not schedule.holds(held_at + OUTAGE_CALLS_NO_WATCH)


def test_part_of_an_object_counts_though_the_rest_never_comes() -> None:
    schedule = Planned(peers=5).schedule
    schedule.started(0.0)
    assert schedule.call_due(schedule.call_at)
    schedule.confirmed(1000.0)
    schedule.partial(2000.0, True)
    assert schedule.holds(2000.0)
    schedule.partial(2050.0, False)
    assert not schedule.holds(2050.0)
    schedule.partial(2060.0, True)
    schedule.watch_ended(2100.0, DiscoveryWatchEnded(last_activity_at=2000.0, timed_out=False))
    assert schedule.holds(2200.0)
    assert schedule.call_due(schedule.call_at)
    schedule.confirmed(2400.0)
    assert not schedule.holds(2500.0)
