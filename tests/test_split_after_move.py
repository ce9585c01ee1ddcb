"""An update that arrives in pieces on a watch that followed a full list, as after SIGHUP."""

from __future__ import annotations

import json
import unittest
from unittest.mock import Mock

from lupinlink.interface import DiscoveryPartial
from tests.proxy_process import chunk
from tests.watch_test_case import HEAD, WatchTestCase, entry, full_list_response


class SplitAfterMove(WatchTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.send_update(42, entry("s-3"))
        self.discovery_client.move(("127.0.0.1", 2))
        listed = {"rev": 7, "all": True, "targets": [entry("s-1"), entry("s-2")]}
        self.watch.transport = Mock()
        body = full_list_response(json.dumps(listed).encode()).replace(b"Connection: close\r\n", b"")
        self.watch.dataReceived(body)
        self.assertEqual(self.ready(), ["s-1", "s-2"])

    def test_a_drain_that_comes_in_pieces_after_a_move_counts_from_its_first_byte(self) -> None:
        # Guards against requests to a drained backend between the pieces of its drain, after SIGHUP.
        drain = {"rev": 8, "all": False, "targets": [entry("s-1", "terminating")]}
        data = HEAD + chunk(json.dumps(drain) + "\n")
        for at in (len(HEAD) + 2, len(data) - 20):
            with self.subTest(at=at):
                self.setUp()
                self.watch.dataReceived(data[:at])
                self.assertEqual(self.events[-1], DiscoveryPartial(True))
                self.watch.dataReceived(data[at:])
                self.assertEqual(self.events[-1], DiscoveryPartial(False))
                self.assertEqual(self.ready(), ["s-2"])

    def test_a_head_alone_after_the_full_list_holds_nothing(self) -> None:
        # Guards against requests held after each move until discovery writes its first change.
        self.watch.dataReceived(HEAD)
        self.assertNotIn(DiscoveryPartial(True), self.events)

    def test_part_of_a_full_list_holds_nothing(self) -> None:
        # Guards against requests held while the new discovery is still writing its list.
        self.discovery_client.move(("127.0.0.1", 3))
        self.watch.dataReceived(full_list_response(b"{}")[:-1])
        self.assertNotIn(DiscoveryPartial(True), self.events)


if __name__ == "__main__":
    unittest.main()
