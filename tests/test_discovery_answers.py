"""Answers of discovery that are not the answer to what was asked last on their connection."""

from __future__ import annotations

import json
from unittest.mock import Mock

from tests.watch_test_case import WatchTestCase, entry

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
