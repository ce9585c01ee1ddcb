"""Full lists of thousands of backends: parsing only changes, any split of the bytes, applying in slices."""

from __future__ import annotations

import json
import unittest
from random import Random
from typing import Any
from unittest.mock import patch

from lupinlink.interface import DiscoveryPartial, Membership
from lupinlink.net import list_reader
from lupinlink.net.list_entries import read_entry
from lupinlink.net.list_updater import SLICE_ENTRIES
from tests.proxy_process import chunk
from tests.watch_test_case import HEAD, WatchTestCase, entry

MANY = 6400
READ_BYTES = 64 * 1024  # at most, in one read of a socket


class LongLists(WatchTestCase):
    def send_full_list(self, entries: list[Any], indent: int | None = None, piece: int = READ_BYTES) -> None:
        """Write a full list on the watch, in pieces."""
        update = {"rev": 50, "all": True, "targets": entries}
        data = chunk(json.dumps(update, indent=indent) + "\n")
        data = (b"" if self.watch.answered else HEAD) + data
        for begin in range(0, len(data), piece):
            self.watch.dataReceived(data[begin : begin + piece])

    # Guards against parsing thousands of entries again because one of them, or none, has changed.
    def test_unchanged_entries_are_not_read_again(self) -> None:
        entries = [entry(f"s-{number}") for number in range(1, 100)]
        self.send_full_list(entries)
        entries[7] = entry("s-8", "terminating")
        with patch.object(list_reader, "read_entry", wraps=read_entry) as read:
            self.send_full_list(entries)
        self.assertEqual(read.call_count, 1)
        last = self.events[-1]
        assert isinstance(last, Membership)
        self.assertEqual([row.name for row in last.endpoints], ["s-8"])
        self.assertEqual(len(self.ready()), 98)

    # Guards against taking false for 0, which are equal in Python.
    def test_an_entry_with_a_value_of_another_type_is_read_again(self) -> None:
        self.send_full_list([entry("s-1", boot_ms=0), entry("s-2")])
        self.send_full_list([entry("s-1", boot_ms=False), entry("s-2")])
        self.assertEqual(self.ready(), ["s-2"])

    def test_a_backend_that_leaves_and_comes_back_is_published_again(self) -> None:
        self.send_full_list([entry("s-1"), entry("s-2")])
        self.send_full_list([entry("s-2")])
        self.assertEqual(self.ready(), ["s-2"])
        self.send_full_list([entry("s-1"), entry("s-2")])
        self.assertEqual(self.ready(), ["s-1", "s-2"])

    # Guards against a size limit that the list of a large fleet exceeds: then no list would ever be applied.
    def test_a_list_of_thousands_over_several_lines_is_read(self) -> None:
        self.send_full_list([entry(f"pool-of-backends-{number:08d}") for number in range(MANY)], indent=4)
        self.reactor.until(self.reactor.time + 1000.0)
        self.assertEqual(len(self.ready()), MANY)
        self.assert_watch_open()

    # Guards against lines that are lost at the boundary of two reads.
    def test_reads_of_any_size_give_the_same_list(self) -> None:
        rng = Random(1)
        for indent in (0, 1, 3):
            for _ in range(20):
                size, count = rng.randint(1, 400), rng.randint(1, 40)
                entries = [entry(f"s-{number}", note="}\n" * (number % 3)) for number in range(count)]
                self.send_full_list(entries, indent, size)
                self.assertEqual(len(self.ready()), count)
                self.assert_watch_open()

    def memberships_since(self, number: int) -> list[Membership]:
        return [event for event in self.events[number:] if isinstance(event, Membership)]

    # Guards against an event loop that is blocked while thousands of backends are published.
    def test_new_backends_are_published_in_slices_and_requests_held_meanwhile(self) -> None:
        before = len(self.events)
        self.send_full_list([entry(f"new-{number}") for number in range(MANY)])
        self.assertEqual(self.events[-1], DiscoveryPartial(True))
        self.assertTrue(self.discovery_client.read_pending_updates())
        self.reactor.until(self.reactor.time + 1.0)
        memberships = self.memberships_since(before)
        self.assertLessEqual(max(len(one.endpoints) for one in memberships), SLICE_ENTRIES)
        self.assertEqual([one.current for one in memberships], [False] * (len(memberships) - 1) + [True])
        self.assertEqual((len(self.ready()), self.events[-1]), (MANY, DiscoveryPartial(False)))
        self.assertFalse(self.discovery_client.read_pending_updates())

    # Guards against an update that is applied before a long list ahead of it, which then undoes it.
    def test_an_update_behind_a_long_list_waits_for_it(self) -> None:
        self.send_full_list([entry(f"new-{number}") for number in range(MANY)])
        self.send_update(51, entry("new-7", "terminating"))
        self.reactor.until(self.reactor.time + 1.0)
        self.assertNotIn("new-7", self.ready())
        self.assertEqual((len(self.ready()), self.discovery_client.version), (MANY - 1, 51))

    # Guards against taking a list for current though its watch has ended meanwhile.
    def test_a_watch_that_ends_before_its_list_is_published_confirms_nothing(self) -> None:
        before = len(self.events)
        self.send_full_list([entry(f"new-{number}") for number in range(MANY)])
        self.watch.end("connection ended")
        self.reactor.until(self.reactor.time + 1.0)
        self.assertFalse(any(one.current for one in self.memberships_since(before)))
        self.assertEqual(len(self.ready()), MANY)


if __name__ == "__main__":
    unittest.main()
