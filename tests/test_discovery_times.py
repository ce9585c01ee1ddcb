"""The longest chains to a fresh list stay below the time after which changes count as notified."""

from __future__ import annotations

import unittest
from itertools import pairwise
from random import Random

from lupinlink.brain.discovery_schedule import DiscoverySchedule
from lupinlink.brain.discovery_times import NOTIFIED_AFTER_MS, PAUSE_MS, DiscoveryTimes
from lupinlink.interface import Settings
from tests.helpers import SAFE

PEERS = (1, 2, 3, 5, 8, 12, 30, 40, 60, 200, 1000)
MUST_ASK_MS = (1000.0, 2500.0, 4000.0, 6000.0, 10000.0, 60000.0, 1e9)


class Chains(unittest.TestCase):
    def all(self) -> list[tuple[Settings, DiscoveryTimes]]:
        found = []
        for peers in PEERS:
            for must_ask_ms in MUST_ASK_MS:
                for subscribe in (True, False):
                    settings = Settings(
                        classes=(SAFE,), subscribe=subscribe, must_ask_ms=must_ask_ms, peers=peers
                    )
                    found.append((settings, DiscoveryTimes.of(settings)))
        return found

    def test_an_unanswered_call_the_backoff_and_a_call_that_returns_the_list_fit(self) -> None:
        for settings, times in self.all():
            self.assertLess(times.failed_call_chain_ms(), NOTIFIED_AFTER_MS - PAUSE_MS, settings)

    def test_a_silent_watch_a_failed_connection_and_a_call_that_returns_the_list_fit(self) -> None:
        for settings, times in self.all():
            self.assertLess(times.silent_watch_chain_ms(), NOTIFIED_AFTER_MS - PAUSE_MS, settings)

    def test_the_list_is_not_trusted_any_more_before_changes_count_as_notified(self) -> None:
        for settings, times in self.all():
            latest = min(NOTIFIED_AFTER_MS, settings.must_ask_ms) if settings.subscribe else NOTIFIED_AFTER_MS
            self.assertLessEqual(times.hold_after_ms + PAUSE_MS, latest, settings)
            self.assertLessEqual(times.start_hold_after_ms, times.hold_after_ms, settings)
            self.assertGreater(times.max_hold_ms, 0.0)

    def test_a_new_process_trusts_no_list_until_discovery_has_sent_one(self) -> None:
        for settings, times in self.all():
            schedule = DiscoverySchedule(settings, Random(1))
            if settings.subscribe:
                schedule.started(0.0)
            schedule.restarted(0.0)
            for at in (0.0, times.max_hold_ms / 2, times.max_hold_ms - 1.0):
                self.assertTrue(schedule.holds(at), settings)
            schedule.call_due(times.first_call_spread_ms + 1.0)
            schedule.confirmed(times.first_call_spread_ms + 2.0)
            self.assertFalse(schedule.holds(times.first_call_spread_ms + 3.0), settings)

    def test_a_larger_fleet_never_calls_sooner(self) -> None:
        for must_ask_ms in MUST_ASK_MS:
            pairs = [
                DiscoveryTimes.of(Settings((SAFE,), peers=peers, subscribe=True, must_ask_ms=must_ask_ms))
                for peers in PEERS
            ]
            for less, more in pairwise(pairs):
                self.assertLessEqual(less.first_call_spread_ms, more.first_call_spread_ms)
                self.assertLessEqual(less.max_backoff_ms, more.max_backoff_ms)
                self.assertLessEqual(less.parallel_call_after_ms, more.parallel_call_after_ms)


if __name__ == "__main__":
    unittest.main()
