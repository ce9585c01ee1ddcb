"""Whole lists of thousands of backends: what is read of them, in which form they may come, and when."""

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
READ_BYTES = 64 * 1024  # at a time, at most


class LongLists(WatchTestCase):
    def whole(self, entries: list[Any], indent: int | None = None, piece: int = READ_BYTES) -> None:
        """One whole list on the watch, in pieces."""
        told = {"rev": 50, "all": True, "targets": entries}
        data = chunk(json.dumps(told, indent=indent) + "\n")
        data = (b"" if self.watch.answered else HEAD) + data
        for begin in range(0, len(data), piece):
            self.watch.dataReceived(data[begin : begin + piece])

    # Guards against reading thousands of entries again because one of them, or none, has changed.
    def test_entries_that_are_as_they_were_are_not_read_again(self) -> None:
        entries = [entry(f"s-{number}") for number in range(1, 100)]
        self.whole(entries)
        entries[7] = entry("s-8", "terminating")
        with patch.object(list_reader, "read_entry", wraps=read_entry) as read:
            self.whole(entries)
        self.assertEqual(read.call_count, 1)
        last = self.events[-1]
        assert isinstance(last, Membership)
        self.assertEqual([row.name for row in last.endpoints], ["s-8"])
        self.assertEqual(len(self.ready()), 98)

    # Guards against taking JSON's false for its 0, which Python holds for equal.
    def test_an_entry_of_another_type_is_read_again(self) -> None:
        self.whole([entry("s-1", boot_ms=0), entry("s-2")])
        self.whole([entry("s-1", boot_ms=False), entry("s-2")])
        self.assertEqual(self.ready(), ["s-2"])

    def test_a_backend_that_leaves_and_comes_back_is_learnt_again(self) -> None:
        self.whole([entry("s-1"), entry("s-2")])
        self.whole([entry("s-2")])
        self.assertEqual(self.ready(), ["s-2"])
        self.whole([entry("s-1"), entry("s-2")])
        self.assertEqual(self.ready(), ["s-1", "s-2"])

    # Guards against a bound on an object that thousands of backends pass: then no list would ever be read.
    def test_a_list_of_thousands_over_several_lines_is_read(self) -> None:
        self.whole([entry(f"pool-of-backends-{number:08d}") for number in range(MANY)], indent=4)
        self.seen.until(self.seen.time + 1000.0)
        self.assertEqual(len(self.ready()), MANY)
        self.stands()

    # Guards against lines that are lost where the pieces of a list over several lines meet.
    def test_pieces_of_any_size_make_the_same_list(self) -> None:
        rng = Random(1)
        for indent in (0, 1, 3):
            for _ in range(20):
                size, count = rng.randint(1, 400), rng.randint(1, 40)
                entries = [entry(f"s-{number}", note="}\n" * (number % 3)) for number in range(count)]
                self.whole(entries, indent, size)
                self.assertEqual(len(self.ready()), count)
                self.stands()

    def news_since(self, number: int) -> list[Membership]:
        return [event for event in self.events[number:] if isinstance(event, Membership)]

    # Guards against an event loop that stands still for as long as thousands of backends are learnt.
    def test_a_list_of_new_backends_is_learnt_in_slices_and_holds_requests_until_all_is_in(self) -> None:
        before = len(self.events)
        self.whole([entry(f"new-{number}") for number in range(MANY)])
        self.assertEqual(self.events[-1], DiscoveryPartial(True))
        self.assertTrue(self.discovery_client.read_pending_updates())
        self.seen.until(self.seen.time + 1.0)
        news = self.news_since(before)
        self.assertLessEqual(max(len(one.endpoints) for one in news), SLICE_ENTRIES)
        self.assertEqual([one.current for one in news], [False] * (len(news) - 1) + [True])
        self.assertEqual((len(self.ready()), self.events[-1]), (MANY, DiscoveryPartial(False)))
        self.assertFalse(self.discovery_client.read_pending_updates())

    # Guards against news that overtakes a long list, and is undone by it.
    def test_news_behind_a_long_list_waits_for_it(self) -> None:
        self.whole([entry(f"new-{number}") for number in range(MANY)])
        self.told(51, entry("new-7", "terminating"))
        self.seen.until(self.seen.time + 1.0)
        self.assertNotIn("new-7", self.ready())
        self.assertEqual((len(self.ready()), self.discovery_client.version), (MANY - 1, 51))

    # Guards against a list taken for current though its watch has ended meanwhile.
    def test_a_watch_that_ends_before_its_list_is_in_confirms_nothing(self) -> None:
        before = len(self.events)
        self.whole([entry(f"new-{number}") for number in range(MANY)])
        self.watch.end("connection ended")
        self.seen.until(self.seen.time + 1.0)
        self.assertFalse(any(one.current for one in self.news_since(before)))
        self.assertEqual(len(self.ready()), MANY)


if __name__ == "__main__":
    unittest.main()
