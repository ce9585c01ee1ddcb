"""Lists that are older than the one held: an answer that comes late, a replica that lags, versions lost."""

from __future__ import annotations

import json
import unittest

from lupinlink.interface import EndpointState, MembershipKind
from tests.watch_test_case import WatchTestCase, entry, whole_answer

ANEW_MS = 6000.0  # only older lists for longer than this: discovery numbers anew


class Older(WatchTestCase):
    """An object older than the list only takes backends out of service."""

    def test_it_takes_out_and_brings_nothing_in(self) -> None:
        self.told(42, entry("s-3", "terminating"), entry("s-4", "terminated"))
        self.told(40, entry("s-1", "terminating"), entry("s-3"), entry("s-4"), entry("s-5"))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 42))
        self.told(40, entry("s-1"), entry("s-2", "terminated"), entry("s-6", "terminating"))
        self.assertEqual((self.ready(), len(self.discovery_client)), ([], 2))
        self.assertNotIn(MembershipKind.FULL, self.news)

    def test_a_whole_one_takes_out_who_is_left_out(self) -> None:
        self.told(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual(
            (self.ready(), self.discovery_client.version, len(self.discovery_client)), (["s-2"], 41, 1)
        )
        self.assertEqual(self.module["s-1"].state, EndpointState.GONE)

    def test_a_later_start_counts_in_an_older_one_too(self) -> None:
        self.told(42, entry("s-1", "terminating", boot_ms=5), entry("s-2", "terminated", boot_ms=5))
        self.told(40, entry("s-1", boot_ms=5), entry("s-2", boot_ms=5))
        self.assertEqual(self.ready(), [])
        self.told(40, entry("s-1", boot_ms=6), entry("s-2", boot_ms=6))
        self.assertEqual(self.ready(), ["s-1", "s-2"])
        self.told(42, entry("s-2", "terminated"))  # as in its last start
        self.told(40, entry("s-2", boot_ms=6))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-1"], 42))

    def test_our_version_and_later_ones_count_as_they_are(self) -> None:
        self.told(41, entry("s-1", "terminating"))
        self.told(41, entry("s-1"), entry("s-3"))
        self.assertEqual(self.ready(), ["s-1", "s-2", "s-3"])
        self.told(45, entry("s-4"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-4"], 45))

    def test_only_older_ones_for_6_s_are_numbered_anew_and_the_whole_list_is_asked_for(self) -> None:
        self.told(3, entry("s-2"), entry("s-3"), full=True)
        self.seen.time = ANEW_MS
        self.told(4, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        old = self.watch
        self.seen.time = ANEW_MS + 1.0
        self.told(5, entry("s-4"))  # no whole list
        self.assertEqual(self.ready(), ["s-2"])
        self.seen.timers = [
            wait for wait in self.seen.timers if wait[0] == ANEW_MS + 1.0
        ]  # none of the watch's
        self.seen.until(ANEW_MS + 1.0)
        self.assertEqual((len(self.seen.dials), old.ended.called), (2, False))
        body = json.dumps({"rev": 5, "all": True, "targets": [entry("s-3"), entry("s-4")]}).encode()
        self.watch.dataReceived(whole_answer(body))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-3", "s-4"], 5))
        self.assertTrue(old.ended.called)

    def test_one_of_our_version_in_between_and_they_are_older_ones_again(self) -> None:
        self.told(40, entry("s-2"), entry("s-3"), full=True)
        self.seen.time = ANEW_MS
        self.told(41)
        self.seen.time = ANEW_MS + 1000.0
        self.told(40, entry("s-2"), entry("s-3"), full=True)
        self.seen.time = 2.0 * ANEW_MS + 1000.0
        self.told(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        self.seen.time += 1.0
        self.told(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2", "s-3"], 40))

    def test_what_is_withheld_here_stays_so_and_is_ready_again_after(self) -> None:
        self.discovery_client.withhold(frozenset({"s-1"}))
        self.assertEqual(self.ready(), ["s-2"])
        self.told(42, entry("s-1"), entry("s-3"))
        self.assertEqual(self.ready(), ["s-2", "s-3"])
        self.discovery_client.withhold(frozenset({"s-3"}))
        self.assertEqual(self.ready(), ["s-1", "s-2"])


if __name__ == "__main__":
    unittest.main()
