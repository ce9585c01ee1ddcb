"""During an outage of discovery the known list is used, however its calls fail."""

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

LATE_FAILURE_MS = 2000.0  # a call fails this late
OUTAGE = ScriptedOutage(9000.0, 40000.0, OutageKind.ERROR, LATE_FAILURE_MS)
RESET_OUTAGE = ScriptedOutage(9000.0, 40000.0, OutageKind.RESET, LATE_FAILURE_MS)
FAILED_CALL_MS = 2500.0  # a call that fails late, and the backoff before it
DETECTION_MS = 8400.0  # five calls that fail late, up to three at a time, the backoffs, a request's time
ENDED_LATE = DiscoveryCallFailed(connected=True, answered=False, took_ms=LATE_FAILURE_MS, refused=True)
UNANSWERED = replace(ENDED_LATE, timed_out=True, refused=False)
HEAD_ONLY = DiscoveryCallFailed(connected=True, answered=True, took_ms=LATE_FAILURE_MS)
LONG_MS = 300_000.0
HEAD_EVERY_MS = 500.0


class LateFailures(Forced):
    """Discovery is down, and each call fails only after 2 s, as it does at an overloaded one."""

    def keeps_serving(self, script: Script, most_ms: float) -> None:
        """Changes hidden by the outage are respected, and requests are not held longer than ``most_ms``."""
        self.in_time(script)
        longest = max(drive(replace(script, seed=seed)).longest_hold_ms for seed in SEEDS)
        self.assertLessEqual(longest, most_ms)

    def test_a_small_fleet_keeps_serving(self) -> None:
        # An open call may have been answered, and small fleets make calls until an outage is shown.
        for outage, most_ms in ((OUTAGE, DETECTION_MS), (RESET_OUTAGE, FAILED_CALL_MS)):
            self.keeps_serving(Script((Change(12000.0),), (outage,)), most_ms)

    def test_late_failures_hold_requests_for_at_most_half_of_an_outage_once_shown(self) -> None:
        for peers in (5, 12, 40, 200):
            script = Script((Change(12000.0),), (OUTAGE,), peers=peers)
            held_ms = max(drive(replace(script, seed=seed)).held_ms for seed in SEEDS)
            self.assertLessEqual(
                held_ms, DETECTION_MS + 0.5 * (OUTAGE.end - OUTAGE.begin - DETECTION_MS), peers
            )

    def test_a_large_fleet_keeps_serving(self) -> None:
        for peers in (40, 200):
            self.keeps_serving(Script((Change(12000.0),), (OUTAGE,), peers=peers), FAILED_CALL_MS)

    def test_a_process_of_a_large_fleet_that_starts_meanwhile_keeps_serving(self) -> None:
        # It has seen no watch end, so two late failures may come from an overloaded discovery.
        for peers in (40, 200):
            script = Script((Change(12000.0),), (OUTAGE,), restarts=(Restart(13000.0),), peers=peers)
            self.keeps_serving(script, MAX_HOLD_MS + ROUNDING_MS)


class ScheduleHarness:
    """A schedule whose calls each fail after 2 s."""

    def __init__(self, peers: int) -> None:
        settings = Settings(classes=(SAFE,), subscribe=True, must_ask_ms=10000.0, peers=peers)
        self.schedule = DiscoverySchedule(settings, Random(1))
        self.called: list[float] = []
        self._failing: list[float] = []
        self.now = 0.0

    def fail_until(self, end: float) -> None:
        """Let every call fail late until ``end``."""
        while (at := min([self.schedule.call_at, *self._failing])) < end:
            self.now = max(self.now, at)
            if self._failing and self._failing[0] <= self.now:
                self._failing.pop(0)
                self.schedule.call_failed(self.now, ENDED_LATE)
            elif self.schedule.call_due(self.now):
                self.called.append(self.now)
                self._failing.append(self.now + LATE_FAILURE_MS)


def test_a_small_fleet_calls_again_before_its_list_loses_trust() -> None:
    harness = ScheduleHarness(peers=5)
    harness.schedule.started(0.0)
    harness.fail_until(7000.0)
    early_calls = [at for at in harness.called if at < 4600.0]
    assert len(early_calls) >= harness.schedule.times.outage_calls - 1, early_calls


def test_calls_are_made_one_at_a_time_during_an_outage() -> None:
    for peers in (1, 5, 8, 12, 40, 200):
        harness = ScheduleHarness(peers)
        harness.schedule.started(0.0)
        harness.fail_until(LONG_MS)
        later_calls = [at for at in harness.called if at > 20_000.0]
        assert all(after - before > LATE_FAILURE_MS for before, after in pairwise(later_calls)), peers
        assert len(later_calls) < LONG_MS / LATE_FAILURE_MS


def test_calls_become_rarer_after_repeated_late_failures() -> None:
    """Frequent calls would keep discovery busy with those given up, and hold requests while open."""
    for peers, most in ((5, 5000.0), (40, 5000.0), (200, 5000.0)):
        harness = ScheduleHarness(peers)
        harness.schedule.started(0.0)
        harness.schedule.restarted(0.0)
        harness.fail_until(LONG_MS)
        later_calls = [at for at in harness.called if at > 30_000.0]
        spans = [after - before - LATE_FAILURE_MS for before, after in pairwise(later_calls)]
        assert most / 4 - 1.0 <= min(spans) and max(spans) <= 0.75 * most + 1.0, peers
        assert 0.75 * most + LATE_FAILURE_MS <= 6000.0


def test_one_failed_call_never_shows_an_outage() -> None:
    for peers in (1, 5, 8, 12, 40, 200, 5000):
        harness = ScheduleHarness(peers)
        harness.schedule.started(0.0)
        harness.schedule.restarted(0.0)
        while not harness.schedule.call_due(harness.now):
            harness.now = harness.schedule.call_at
        harness.schedule.call_failed(harness.now + LATE_FAILURE_MS, ENDED_LATE)
        assert harness.schedule.holds(harness.now + LATE_FAILURE_MS + 1.0), peers


def test_a_response_head_shows_that_discovery_is_up() -> None:
    harness = ScheduleHarness(peers=200)
    harness.schedule.started(0.0)
    harness.schedule.restarted(0.0)
    harness.fail_until(4000.0)
    harness.schedule.call_answered(harness.now)
    harness.schedule.call_failed(harness.now, HEAD_ONLY)
    harness.schedule.call_failed(harness.now, ENDED_LATE)
    assert harness.schedule.holds(harness.now + 1.0)


def test_response_heads_alone_hold_requests_longer_but_not_for_ever() -> None:
    for peers in (1, 5, 40, 200):
        harness = ScheduleHarness(peers)
        schedule, times = harness.schedule, harness.schedule.times
        schedule.restarted(0.0)
        held, now = [], 0.0
        while now < LONG_MS:
            now += HEAD_EVERY_MS
            schedule.call_answered(now)
            held.append(schedule.holds(now))
        longest = times.max_hold_ms + times.hold_extension_ms
        assert longest - 2 * HEAD_EVERY_MS <= sum(held) * HEAD_EVERY_MS <= longest + HEAD_EVERY_MS, peers
        assert not held[-1]


def test_different_kinds_of_failures_show_no_outage() -> None:
    failures = [ENDED_LATE, UNANSWERED] * 10
    schedule = ScheduleHarness(peers=200).schedule
    schedule.restarted(0.0)
    for number, failure in enumerate(failures):
        schedule.call_failed(float(number), failure)
        assert schedule.holds(float(number))
    for number in range(OUTAGE_CALLS_NO_WATCH):
        assert schedule.holds(99.0 + number)
        schedule.call_failed(100.0 + number, ENDED_LATE)
    assert not schedule.holds(100.0 + OUTAGE_CALLS_NO_WATCH)


def test_unanswered_calls_show_an_outage_only_after_several() -> None:
    schedule = ScheduleHarness(peers=200).schedule
    schedule.watch_ended(0.0, DiscoveryWatchEnded(last_activity_at=0.0, timed_out=False))
    held_at = schedule.times.hold_after_ms + 1.0
    for number in range(OUTAGE_CALLS_NO_WATCH):
        assert schedule.holds(held_at + number)
        schedule.call_failed(held_at + number, UNANSWERED)
    assert not schedule.holds(held_at + OUTAGE_CALLS_NO_WATCH)


def test_an_incomplete_object_holds_requests_though_the_rest_never_comes() -> None:
    schedule = ScheduleHarness(peers=5).schedule
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
