"""Answers of discovery that are not the answer to what was asked last on their connection."""

from __future__ import annotations

import json
from unittest.mock import Mock

from lupinlink.interface import DiscoveryCallFailed
from tests.watch_test_case import HEAD, WatchTestCase, entry

EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
WHOLE = json.dumps({"rev": 3, "all": True, "targets": [entry("s-3")]}).encode()
KEPT_LIST = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(WHOLE), WHOLE)


class DiscoveryAnswers(WatchTestCase):
    def move(self) -> None:
        self.discovery_client.move(("127.0.0.1", 2))
        self.kinds.clear()

    # Guards against a list that confirms itself: its second copy was taken for the answer to the watch.
    def test_a_second_copy_of_the_list_is_not_taken_for_the_watch(self) -> None:
        self.move()
        watch = self.watch
        watch.transport = Mock()
        watch.dataReceived(KEPT_LIST)
        self.assertEqual((len(self.kinds), self.ready()), (1, ["s-3"]))
        self.assertIn(b"?watch=1&from=3 ", watch.transport.write.call_args.args[0])
        watch.dataReceived(KEPT_LIST)
        self.assertEqual((len(self.kinds), watch.ended.called), (1, True))

    # Guards against a watch that is asked for on a connection that brought more than its answer.
    def test_no_watch_is_requested_behind_bytes_that_follow_the_list(self) -> None:
        for more in (KEPT_LIST, KEPT_LIST[:9]):
            self.setUp()
            self.move()
            self.watch.transport = Mock()
            self.watch.dataReceived(KEPT_LIST + more)
            self.watch.transport.write.assert_not_called()
            self.assertEqual((len(self.kinds), self.watch.ended.called), (1, True))

    # Guards against taking 1xx for a refusal, which says that no update was sent.
    def test_informational_answers_are_no_refusal(self) -> None:
        self.watch.dataReceived(EARLY_HINTS)
        self.assert_watch_open()
        self.assertFalse(any(isinstance(event, DiscoveryCallFailed) for event in self.events))
        self.send_object(
            {"rev": 42, "all": False, "targets": [entry("s-1", "terminating")]}, EARLY_HINTS + HEAD
        )
        self.assertEqual(self.ready(), ["s-2"])
