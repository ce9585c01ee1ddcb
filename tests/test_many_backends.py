"""Requests at a process with thousands of backends, while discovery or the backends are slow."""

from __future__ import annotations

import unittest
from collections import deque

from tests.discovery_replies import Reply
from tests.many_backends import ManyBackendsStage

SERVED_LEAST = 0.85  # share, of what is served while no list comes


class ListsAnew(ManyBackendsStage):
    # Guards against a long list that keeps the event loop from requests for as long as it is read.
    def test_whole_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.one_process()
        self.whole_lists(7.0, 2.0)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], SERVED_LEAST * statuses.total(), statuses)

    # Guards against the same with each entry over several lines.
    def test_indented_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.one_process()
        self.whole_lists(7.0, 2.0, indent=1)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], SERVED_LEAST * statuses.total(), statuses)


class HeldRequests(ManyBackendsStage):
    # Guards against requests without an answer because each that waits asks every backend again and again.
    def test_a_hold_of_five_seconds_answers_every_request(self) -> None:
        member = self.one_process()
        member.doors[0].script = deque((Reply(delay_s=5.0), Reply(delay_s=5.0), Reply(delay_s=5.0)))
        self.shared.end_watches()
        self.load(member, 8.0)


if __name__ == "__main__":
    unittest.main()
