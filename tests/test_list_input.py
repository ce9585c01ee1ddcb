"""Lists of discovery that are invalid in part or as a whole: the valid part counts as notified."""

from __future__ import annotations

import json
import logging
import unittest
from typing import Any

from lupinlink.interface import EndpointState
from lupinlink.net.list_format import MAX_OBJECT_BYTES, ListError
from tests.proxy_process import chunk
from tests.watch_test_case import (
    HEAD,
    INVALID_VALUES,
    WatchTestCase,
    entry,
    entry_without,
    full_list_response,
)


class InvalidEntries(WatchTestCase):
    """An invalid entry does not affect the other ones."""

    def send_invalid(self, *entries: Any, rejected: int = 1) -> None:
        """Send these entries along with s-2 draining and a new s-3, which both have to be applied."""
        self.load(entry("s-1"), entry("s-2"))
        before = self.counters["list_entries_rejected"]
        with self.assertLogs("lupinlink.net.discovery_client", logging.WARNING) as logged:
            self.send_update(42, *entries, entry("s-2", "terminating"), entry("s-3"))
        self.assert_watch_open()
        self.assertEqual(len(logged.records), 1)
        self.assertEqual(self.counters["list_entries_rejected"] - before, rejected)
        self.assertEqual(self.discovery_client.version, 42)

    def test_entries_without_a_name_are_skipped(self) -> None:
        uid: Any
        for uid in (None, True, 1.5, "", "a\nb", "\ud800", [], {}):
            with self.subTest(uid=uid):
                self.send_invalid(entry(uid))
                self.assertEqual(self.ready(), ["s-1", "s-3"])
        self.send_invalid(None, 1, "s-1", [], {}, rejected=5)
        self.assertEqual(self.ready(), ["s-1", "s-3"])

    def test_a_backend_in_an_unknown_state_gets_no_requests(self) -> None:
        for state in (*INVALID_VALUES, "IN_SERVICE", "warming"):
            with self.subTest(state=state):
                self.send_invalid(entry("s-1", state))
                self.assertEqual(self.ready(), ["s-3"])
        self.send_invalid(entry_without("state"))
        self.assertEqual(self.ready(), ["s-3"])

    def test_a_backend_without_a_valid_address_gets_no_requests(self) -> None:
        for where in (*INVALID_VALUES, "nowhere", ":80", "h:", "h:0", "h:65536", "h:x", "h:" + "9" * 5000,
                      "h\r\n:80", "a b:80", "\xe9:80"):  # fmt: skip
            with self.subTest(where=where):
                self.send_invalid(entry("s-1", endpoint=where))
                self.assertEqual(self.ready(), ["s-3"])
        self.send_invalid(entry_without("endpoint"))
        self.assertEqual((self.ready(), len(self.discovery_client)), (["s-3"], 3))

    def test_a_backend_without_a_valid_start_time_gets_no_requests(self) -> None:
        boot: Any
        for boot in (True, float("nan"), float("inf"), 10**400, "", "x", [], {}):
            with self.subTest(boot=boot):
                self.send_invalid(entry("s-1", boot_ms=boot))
                self.assertEqual(self.ready(), ["s-3"])

    def test_an_unknown_backend_is_added_once_its_entry_is_valid(self) -> None:
        self.send_invalid(entry_without("endpoint", "s-9"))
        self.assertEqual(self.ready(), ["s-1", "s-3"])
        self.send_update(43, entry("s-9"))
        self.assertEqual(self.ready(), ["s-1", "s-3", "s-9"])

    def test_an_invalid_entry_changes_only_the_state_of_a_known_backend(self) -> None:
        self.send_update(42, entry("s-1", boot_ms=500, endpoint="127.0.0.1:7071"))
        self.send_update(43, entry("s-1", boot_ms="x", endpoint=None))
        known = self.module_endpoints["s-1"]
        self.assertEqual((known.state, known.started_ms), (EndpointState.DRAINING, 500.0))
        self.assertEqual(self.servers._pools["s-1"].port, 7071)

    def test_invalid_optional_fields_take_their_defaults(self) -> None:
        value: Any
        for field in ("az", "model", "pod_group", "capacity_hint"):
            for value in (None, float("nan"), float("inf"), 10**400, "x", [], {}):
                with self.subTest(field=field, value=value):
                    self.load(entry("s-1"), entry("s-2"))
                    self.send_update(42, entry("s-1", **{field: value}), entry("s-2", "terminating"))
                    known = self.module_endpoints["s-1"]
                    self.assertEqual(self.ready(), ["s-1"])
                    self.assertEqual((known.cell, known.size_hint), (0, 1.0))
        self.assertEqual(self.counters["list_entries_rejected"], 0)

    def test_a_backend_that_is_gone_needs_no_address(self) -> None:
        self.send_update(42, {"uid": "s-1", "state": "terminated"})
        self.assertEqual((self.ready(), len(self.discovery_client)), (["s-2"], 1))
        self.assertEqual(self.counters["list_entries_rejected"], 0)

    def test_a_backend_listed_twice_is_ready_only_if_both_entries_are(self) -> None:
        for first, last in (
            ("terminating", "in_service"),
            ("in_service", "terminating"),
            ("x", "in_service"),
        ):
            self.send_invalid(entry("s-1", first), entry("s-1", last), rejected=2 if first == "x" else 1)
            self.assertEqual(self.ready(), ["s-3"])
        self.send_invalid(entry("s-1"), entry("s-1"))
        self.assertEqual(self.ready(), ["s-1", "s-3"])

    def test_the_snapshot_for_the_next_process_holds_valid_entries_only(self) -> None:
        self.send_invalid(
            entry("s-1", [], boot_ms={}, extra=[[[]]]), entry_without("endpoint", "s-9"), rejected=2
        )
        handed = json.loads(json.dumps(self.discovery_client.snapshot(), allow_nan=False))
        self.assertEqual((handed["rev"], handed["all"]), (42, True))
        states = {item["uid"]: item["state"] for item in handed["targets"]}
        self.assertEqual(states, {"s-1": "terminating", "s-2": "terminating", "s-3": "in_service"})
        self.assertEqual(handed["targets"][-1], entry("s-3"))

    def test_an_invalid_entry_is_logged_and_does_not_prevent_a_start(self) -> None:
        with self.assertLogs("lupinlink.net.discovery_client", logging.WARNING):
            self.load(entry("s-1"), entry("s-2", 5), 7)
        self.assertEqual(self.ready(), ["s-1"])
        invalid: Any
        for invalid in ({"rev": 1}, {"targets": {}}, {"rev": 1, "all": True, "targets": [7]}):
            with self.assertRaises(ListError):
                self.discovery_client.start(invalid)


class InvalidObjects(WatchTestCase):
    """What is not a list ends the watch; everything else is applied."""

    def test_entries_count_without_a_valid_version_or_kind(self) -> None:
        rev: Any
        for rev in (None, True, 1.5, "x", float("nan"), 10**400, [], {}):
            self.load(entry("s-1"), entry("s-2"))
            self.send_update(rev, entry("s-1", "terminating"))
            self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 41))
        for full in (None, 1, "true", [1]):
            self.load(entry("s-1"), entry("s-2"))
            self.send_update(42, entry("s-1", "terminating"), full=full)
            self.assertEqual(self.ready(), ["s-2"])
        self.load(entry("s-1"), entry("s-2"))
        self.send_object({"targets": [entry("s-1", "terminated")]})
        self.assertEqual(self.ready(), ["s-2"])
        self.assert_watch_open()

    def test_an_object_that_is_not_a_list_only_ends_the_watch(self) -> None:
        objects: list[Any] = [[], 1, None, "x", {}, {"rev": 42}, {"rev": 42, "all": True, "targets": [{}]}]
        objects += [
            {"rev": 42, "all": True, "targets": value}
            for value in INVALID_VALUES
            if not isinstance(value, list)
        ]
        for count, raw in enumerate(objects, 1):
            with self.subTest(raw=raw):
                self.send_object(raw)
                self.assertEqual((self.ready(), self.discovery_client.version), (["s-1", "s-2"], 41))
                self.assert_watch_ended(count)

    def test_malformed_bytes_end_the_watch_and_what_came_before_counts(self) -> None:
        deep = "[" * 200000
        bodies = ("{not json\n", "[1]\n", '{"rev":\n\n', '{"rev": ' + "9" * 5000 + "}\n", deep + "\n",
                  '{"rev":1,"all":true,"targets":' + deep + "}\n",
                  '{"a":"' + "x" * MAX_OBJECT_BYTES)  # fmt: skip
        for count, body in enumerate(bodies, 1):
            with self.subTest(body=body[:40]):
                self.load(entry("s-1"), entry("s-2"))
                before = json.dumps({"rev": 42, "all": False, "targets": [entry("s-1", 7)]}) + "\n"
                self.watch.dataReceived(HEAD + chunk(before) + chunk(body))
                self.assertEqual(self.ready(), ["s-2"])
                self.assert_watch_ended(count)
        self.watch.dataReceived(HEAD + b"3\r\n\xff{\n\r\n")
        self.assert_watch_ended(len(bodies) + 1)

    def test_a_status_other_than_200_ends_the_watch(self) -> None:
        body = json.dumps({"rev": 50, "all": True, "targets": []}).encode()
        for count, status in enumerate((204, 301, 404, 500, 503), 1):
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            self.watch.dataReceived(head + body)
            self.assertEqual((self.ready(), self.discovery_client.version), (["s-1", "s-2"], 41))
            self.assert_watch_ended(count)

    def test_an_invalid_full_list_after_a_move_ends_the_call(self) -> None:
        whole = json.dumps({"rev": 3, "all": True, "targets": [entry("s-3")]}).encode()
        self.discovery_client.move(("127.0.0.1", 2))
        for body in (b"{", b"[]", b"[" * 200000, b'{"rev":3,"targets":5}', b"\xff", whole[:-9]):
            calls, watch = len(self.reactor.dials), self.watch
            watch.dataReceived(full_list_response(body))
            self.assertTrue(watch.ended.called, body[:20])
            self.discovery_client.call()
            self.assertEqual((len(self.reactor.dials), self.ready()), (calls + 1, ["s-1", "s-2"]))
        self.watch.dataReceived(full_list_response(whole)[:-9])
        self.watch.connectionLost()  # cut off
        self.assertTrue(self.watch.ended.called)
        self.discovery_client.call()
        self.watch.dataReceived(full_list_response(whole))
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-3"], 3))

    def test_complete_objects_of_a_truncated_response_count(self) -> None:
        self.send_update(42, entry("s-1", "terminating"))
        self.watch.dataReceived(chunk('{"rev":43,"all":true,"targets":['))
        self.watch.connectionLost()
        self.assertEqual((self.ready(), self.discovery_client.version), (["s-2"], 42))
        self.assert_watch_ended()


if __name__ == "__main__":
    unittest.main()
