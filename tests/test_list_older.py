"""Updates with a lower version than the list: late responses, a lagging replica, versions that were reset."""

from __future__ import annotations

import json
import unittest

from lupinlink.interface import EndpointState, MembershipKind
from tests.watch_test_case import WatchTestCase, entry, full_list_response

VERSION_RESET_MS = 6000.0  # only older updates for longer than this: discovery has reset its versions


class OlderUpdates(WatchTestCase):
    """An update older than the list only takes backends out of service."""

    def test_it_takes_backends_out_of_service_and_adds_none(self) -> None:
        self.send_update(42, entry("s-3", "terminating"), entry("s-4", "terminated"))
        self.send_update(40, entry("s-1", "terminating"), entry("s-3"), entry("s-4"), entry("s-5"))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 42))
        self.send_update(40, entry("s-1"), entry("s-2", "terminated"), entry("s-6", "terminating"))
        self.assertEqual((self.ready(), len(self.discovery_client)), ([], 2))
        self.assertNotIn(MembershipKind.FULL, self.kinds)

    def test_an_older_full_list_removes_the_backends_that_it_lacks(self) -> None:
        self.send_update(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual(
            (self.ready(), self.discovery_client.version, len(self.discovery_client)), (["s-2"], 41, 1)
        )
        self.assertEqual(self.module_endpoints["s-1"].state, EndpointState.GONE)

    def test_a_later_start_of_a_backend_counts_in_an_older_update(self) -> None:
        self.send_update(42, entry("s-1", "terminating", boot_ms=5), entry("s-2", "terminated", boot_ms=5))
        self.send_update(40, entry("s-1", boot_ms=5), entry("s-2", boot_ms=5))
        self.assertEqual(self.ready(), [])
        self.send_update(40, entry("s-1", boot_ms=6), entry("s-2", boot_ms=6))
        self.assertEqual(self.ready(), ["s-1", "s-2"])
        self.send_update(42, entry("s-2", "terminated"))  # of its last start
        self.send_update(40, entry("s-2", boot_ms=6))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-1"], 42))

    def test_the_same_and_later_versions_are_applied_in_full(self) -> None:
        self.send_update(41, entry("s-1", "terminating"))
        self.send_update(41, entry("s-1"), entry("s-3"))
        self.assertEqual(self.ready(), ["s-1", "s-2", "s-3"])
        self.send_update(45, entry("s-4"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-4"], 45))

    def test_after_6_s_of_only_older_updates_the_full_list_is_requested(self) -> None:
        self.send_update(3, entry("s-2"), entry("s-3"), full=True)
        self.reactor.time = VERSION_RESET_MS
        self.send_update(4, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        old = self.watch
        self.reactor.time = VERSION_RESET_MS + 1.0
        self.send_update(5, entry("s-4"))  # a delta
        self.assertEqual(self.ready(), ["s-2"])
        self.reactor.timers = [
            wait for wait in self.reactor.timers if wait[0] == VERSION_RESET_MS + 1.0
        ]  # none of the watch's
        self.reactor.until(VERSION_RESET_MS + 1.0)
        self.assertEqual((len(self.reactor.dials), old.ended.called), (2, False))
        body = json.dumps({"rev": 5, "all": True, "targets": [entry("s-3"), entry("s-4")]}).encode()
        self.watch.dataReceived(full_list_response(body))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-3", "s-4"], 5))
        self.assertTrue(old.ended.called)

    def test_an_update_of_the_same_version_restarts_the_6_s(self) -> None:
        self.send_update(40, entry("s-2"), entry("s-3"), full=True)
        self.reactor.time = VERSION_RESET_MS
        self.send_update(41)
        self.reactor.time = VERSION_RESET_MS + 1000.0
        self.send_update(40, entry("s-2"), entry("s-3"), full=True)
        self.reactor.time = 2.0 * VERSION_RESET_MS + 1000.0
        self.send_update(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        self.reactor.time += 1.0
        self.send_update(40, entry("s-2"), entry("s-3"), full=True)
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2", "s-3"], 40))

    def test_a_withheld_backend_stays_out_of_use_until_it_is_released(self) -> None:
        self.discovery_client.withhold(frozenset({"s-1"}))
        self.assertEqual(self.ready(), ["s-2"])
        self.send_update(42, entry("s-1"), entry("s-3"))
        self.assertEqual(self.ready(), ["s-2", "s-3"])
        self.discovery_client.withhold(frozenset({"s-3"}))
        self.assertEqual(self.ready(), ["s-1", "s-2"])


if __name__ == "__main__":
    unittest.main()
