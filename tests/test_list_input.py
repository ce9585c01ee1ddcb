"""Lists of discovery that can't be read, in part or at all: what can be read of them counts as told."""

from __future__ import annotations

import json
import logging
import unittest
from typing import Any

from lupinlink.interface import EndpointState
from lupinlink.net.list_format import MAX_OBJECT_BYTES, ListError
from tests.proxy_process import chunk
from tests.watch_test_case import HEAD, WRONG, WatchTestCase, entry, whole_answer, without


class Entries(WatchTestCase):
    """One entry that can't be read costs no other one."""

    def bad(self, *entries: Any, rejected: int = 1) -> None:
        """These, with s-2 draining and s-3 new: both have to be told."""
        self.begin(entry("s-1"), entry("s-2"))
        before = self.counters["list_entries_rejected"]
        with self.assertLogs("lupinlink.net.discovery_client", logging.WARNING) as logged:
            self.told(42, *entries, entry("s-2", "terminating"), entry("s-3"))
        self.stands()
        self.assertEqual(len(logged.records), 1)
        self.assertEqual(self.counters["list_entries_rejected"] - before, rejected)
        self.assertEqual(self.discovery_client.version, 42)

    def test_entries_without_a_name_are_skipped(self) -> None:
        uid: Any
        for uid in (None, True, 1.5, "", "a\nb", "\ud800", [], {}):
            with self.subTest(uid=uid):
                self.bad(entry(uid))
                self.assertEqual(self.ready(), ["s-1", "s-3"])
        self.bad(None, 1, "s-1", [], {}, rejected=5)
        self.assertEqual(self.ready(), ["s-1", "s-3"])

    def test_an_entry_of_no_known_state_is_not_sent_to(self) -> None:
        for state in (*WRONG, "IN_SERVICE", "warming"):
            with self.subTest(state=state):
                self.bad(entry("s-1", state))
                self.assertEqual(self.ready(), ["s-3"])
        self.bad(without("state"))
        self.assertEqual(self.ready(), ["s-3"])

    def test_an_entry_without_an_address_is_not_sent_to(self) -> None:
        for where in (*WRONG, "nowhere", ":80", "h:", "h:0", "h:65536", "h:x", "h:" + "9" * 5000, "h\r\n:80",
                      "a b:80", "\xe9:80"):  # fmt: skip
            with self.subTest(where=where):
                self.bad(entry("s-1", endpoint=where))
                self.assertEqual(self.ready(), ["s-3"])
        self.bad(without("endpoint"))
        self.assertEqual((self.ready(), len(self.discovery_client)), (["s-3"], 3))

    def test_an_entry_whose_start_cannot_be_read_is_not_sent_to(self) -> None:
        boot: Any
        for boot in (True, float("nan"), float("inf"), 10**400, "", "x", [], {}):
            with self.subTest(boot=boot):
                self.bad(entry("s-1", boot_ms=boot))
                self.assertEqual(self.ready(), ["s-3"])

    def test_a_backend_that_was_not_known_comes_once_its_entry_can_be_read(self) -> None:
        self.bad(without("endpoint", "s-9"))
        self.assertEqual(self.ready(), ["s-1", "s-3"])
        self.told(43, entry("s-9"))
        self.assertEqual(self.ready(), ["s-1", "s-3", "s-9"])

    def test_what_is_learnt_of_a_backend_outlives_a_bad_entry_of_it(self) -> None:
        self.told(42, entry("s-1", boot_ms=500, endpoint="127.0.0.1:7071"))
        self.told(43, entry("s-1", boot_ms="x", endpoint=None))
        known = self.module["s-1"]
        self.assertEqual((known.state, known.started_ms), (EndpointState.DRAINING, 500.0))
        self.assertEqual(self.servers._pools["s-1"].port, 7071)

    def test_lesser_fields_take_their_defaults(self) -> None:
        value: Any
        for field in ("az", "model", "pod_group", "capacity_hint"):
            for value in (None, float("nan"), float("inf"), 10**400, "x", [], {}):
                with self.subTest(field=field, value=value):
                    self.begin(entry("s-1"), entry("s-2"))
                    self.told(42, entry("s-1", **{field: value}), entry("s-2", "terminating"))
                    known = self.module["s-1"]
                    self.assertEqual(self.ready(), ["s-1"])
                    self.assertEqual((known.cell, known.size_hint), (0, 1.0))
        self.assertEqual(self.counters["list_entries_rejected"], 0)

    def test_who_is_gone_needs_no_address(self) -> None:
        self.told(42, {"uid": "s-1", "state": "terminated"})
        self.assertEqual((self.ready(), len(self.discovery_client)), (["s-2"], 1))
        self.assertEqual(self.counters["list_entries_rejected"], 0)

    def test_of_two_entries_of_a_name_both_have_to_be_ready(self) -> None:
        for first, last in (
            ("terminating", "in_service"),
            ("in_service", "terminating"),
            ("x", "in_service"),
        ):
            self.bad(entry("s-1", first), entry("s-1", last), rejected=2 if first == "x" else 1)
            self.assertEqual(self.ready(), ["s-3"])
        self.bad(entry("s-1"), entry("s-1"))
        self.assertEqual(self.ready(), ["s-1", "s-3"])

    def test_a_successor_can_read_what_is_handed_on(self) -> None:
        self.bad(entry("s-1", [], boot_ms={}, extra=[[[]]]), without("endpoint", "s-9"), rejected=2)
        handed = json.loads(json.dumps(self.discovery_client.snapshot(), allow_nan=False))
        self.assertEqual((handed["rev"], handed["all"]), (42, True))
        states = {item["uid"]: item["state"] for item in handed["targets"]}
        self.assertEqual(states, {"s-1": "terminating", "s-2": "terminating", "s-3": "in_service"})
        self.assertEqual(handed["targets"][-1], entry("s-3"))

    def test_a_bad_entry_does_not_stop_a_start_and_is_said(self) -> None:
        with self.assertLogs("lupinlink.net.discovery_client", logging.WARNING):
            self.begin(entry("s-1"), entry("s-2", 5), 7)
        self.assertEqual(self.ready(), ["s-1"])
        none: Any
        for none in ({"rev": 1}, {"targets": {}}, {"rev": 1, "all": True, "targets": [7]}):
            with self.assertRaises(ListError):
                self.discovery_client.start(none)


class Objects(WatchTestCase):
    """What is no list ends the watch; the rest is taken."""

    def test_without_a_version_or_kind_the_entries_count(self) -> None:
        rev: Any
        for rev in (None, True, 1.5, "x", float("nan"), 10**400, [], {}):
            self.begin(entry("s-1"), entry("s-2"))
            self.told(rev, entry("s-1", "terminating"))
            self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        for full in (None, 1, "true", [1]):
            self.begin(entry("s-1"), entry("s-2"))
            self.told(42, entry("s-1", "terminating"), full=full)
            self.assertEqual(self.ready(), ["s-2"])
        self.begin(entry("s-1"), entry("s-2"))
        self.tell({"targets": [entry("s-1", "terminated")]})
        self.assertEqual(self.ready(), ["s-2"])
        self.stands()

    def test_what_is_no_list_ends_the_watch_and_nothing_else(self) -> None:
        objects: list[Any] = [[], 1, None, "x", {}, {"rev": 42}, {"rev": 42, "all": True, "targets": [{}]}]
        objects += [
            {"rev": 42, "all": True, "targets": wrong} for wrong in WRONG if not isinstance(wrong, list)
        ]
        for count, raw in enumerate(objects, 1):
            with self.subTest(raw=raw):
                self.tell(raw)
                self.assertEqual((self.ready(), self.discovery_client.version), (["s-1", "s-2"], 41))
                self.ended(count)

    def test_bytes_that_are_no_list_end_the_watch_and_what_came_before_counts(self) -> None:
        deep = "[" * 200000
        bodies = ("{not json\n", "[1]\n", '{"rev":\n\n', '{"rev": ' + "9" * 5000 + "}\n", deep + "\n",
                  '{"rev":1,"all":true,"targets":' + deep + "}\n",
                  '{"a":"' + "x" * MAX_OBJECT_BYTES)  # fmt: skip
        for count, body in enumerate(bodies, 1):
            with self.subTest(body=body[:40]):
                self.begin(entry("s-1"), entry("s-2"))
                before = json.dumps({"rev": 42, "all": False, "targets": [entry("s-1", 7)]}) + "\n"
                self.watch.dataReceived(HEAD + chunk(before) + chunk(body))
                self.assertEqual(self.ready(), ["s-2"])
                self.ended(count)
        self.watch.dataReceived(HEAD + b"3\r\n\xff{\n\r\n")
        self.ended(len(bodies) + 1)

    def test_another_status_ends_the_watch(self) -> None:
        body = json.dumps({"rev": 50, "all": True, "targets": []}).encode()
        for count, status in enumerate((204, 301, 404, 500, 503), 1):
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            self.watch.dataReceived(head + body)
            self.assertEqual((self.ready(), self.discovery_client.version), (["s-1", "s-2"], 41))
            self.ended(count)

    def test_a_whole_list_of_another_discovery_that_is_none_leaves_no_dead_watch(self) -> None:
        whole = json.dumps({"rev": 3, "all": True, "targets": [entry("s-3")]}).encode()
        self.discovery_client.move(("127.0.0.1", 2))
        for body in (b"{", b"[]", b"[" * 200000, b'{"rev":3,"targets":5}', b"\xff", whole[:-9]):
            asked, watch = len(self.seen.dials), self.watch
            watch.dataReceived(whole_answer(body))
            self.assertTrue(watch.ended.called, body[:20])
            self.discovery_client.call()
            self.assertEqual((len(self.seen.dials), self.ready()), (asked + 1, ["s-1", "s-2"]))
        self.watch.dataReceived(whole_answer(whole)[:-9])
        self.watch.connectionLost()  # cut off
        self.assertTrue(self.watch.ended.called)
        self.discovery_client.call()
        self.watch.dataReceived(whole_answer(whole))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-3"], 3))

    def test_an_answer_cut_off_tells_what_was_whole(self) -> None:
        self.told(42, entry("s-1", "terminating"))
        self.watch.dataReceived(chunk('{"rev":43,"all":true,"targets":['))
        self.watch.connectionLost()
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 42))
        self.ended()


if __name__ == "__main__":
    unittest.main()
