"""Concurrency limits: a server gets no more than it can answer in time, if it reports its requests."""

from __future__ import annotations

import math
import unittest

from lupinlink.brain.concurrency import MIN_LIMIT, MIN_REPORTS, REPORT_DECAY_MS, ConcurrencyLimits
from lupinlink.interface import Arrival, Endpoint, Group, Request, RequestClass, Send, Server, Settings
from tests.helpers import NodeHarness

TARGET_MS, SERVICE_MS = 350.0, 97.0
CLASS = RequestClass(TARGET_MS, 880.0)


def load_report(held: float, queued: float) -> dict[str, float]:
    return {"in_flight": held, "queued": queued}


class Limits(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = ConcurrencyLimits(3)
        self.server = Server(Endpoint("a"), 0.0, Group(0.0))

    def learn(self, cores: float = 1.0) -> None:
        """Take reports of servers with ``cores`` cores, and answers that did not queue."""
        for _ in range(4 * MIN_REPORTS):
            self.limits.report(self.server, load_report(cores + 2.0, 2.0), 0.0)
        for _ in range(200):
            self.limits.record_answer(load_report(0.0, 0.0), SERVICE_MS / TARGET_MS)

    def test_the_limit_follows_from_cores_target_latency_and_service_time(self) -> None:
        self.learn(cores=1.0)
        self.assertAlmostEqual(self.limits.limit(self.server), 0.9 * TARGET_MS / SERVICE_MS - 1.0, delta=0.1)
        self.server.group = Group(0.0)
        self.learn(cores=4.0)
        self.assertAlmostEqual(self.limits.limit(self.server), 3.6 * TARGET_MS / SERVICE_MS - 1.0, delta=0.3)

    def test_few_or_incomplete_reports_limit_nothing(self) -> None:
        for _ in range(MIN_REPORTS - 1):
            self.limits.report(self.server, load_report(3.0, 2.0), 0.0)
        for report in ({"in_flight": 90.0}, {"utilization": 1.0}, {"queued": 9.0}, {}):
            self.limits.report(self.server, report, 0.0)
        self.assertEqual(self.limits.limit(self.server), math.inf)
        self.assertTrue(self.limits.has_room(self.server, 0.0))
        self.assertFalse(self.limits.known)

    def test_impossible_reports_and_delays_are_ignored(self) -> None:
        self.learn()
        before = (self.server.reported_requests, self.server.group.cores, self.limits.service_time)
        for held, queued in ((math.nan, 1.0), (2.0, 3.0), (-1.0, -2.0), (math.inf, 1.0), (3.0, math.nan)):
            self.limits.report(self.server, load_report(held, queued), 1.0)
        for delay in (math.nan, math.inf, -1.0, 0.0):
            self.limits.record_answer(load_report(0.0, 0.0), delay)
        self.assertEqual(
            (self.server.reported_requests, self.server.group.cores, self.limits.service_time), before
        )

    def test_a_single_outlier_moves_the_limit_by_little(self) -> None:
        self.learn()
        before = self.limits.limit(self.server)
        self.limits.report(self.server, load_report(9.0, 1.0), 1.0)
        self.limits.record_answer(load_report(0.0, 0.0), 3.0)
        self.assertLess(abs(self.limits.limit(self.server) / before - 1.0), 1.0)
        self.assertGreaterEqual(self.limits.limit(self.server), MIN_LIMIT)

    def test_requests_held_are_the_decayed_report_and_the_sends_since(self) -> None:
        self.limits.report(self.server, load_report(3.0, 2.0), 0.0)
        self.server.sent_since_report = 2
        self.assertAlmostEqual(self.limits.requests_held(self.server, 0.0), 5.0)
        self.assertAlmostEqual(self.limits.requests_held(self.server, REPORT_DECAY_MS), 2.0 + 3.0 / math.e)
        self.limits.report(self.server, load_report(1.0, 0.0), 10.0)
        self.assertAlmostEqual(self.limits.requests_held(self.server, 10.0), 1.0)

    def test_a_request_that_can_only_be_late_stops_waiting_unless_late_answers_have_value(self) -> None:
        self.learn()
        on_time = Request(Arrival("r", 0, 0, 880.0), CLASS, TARGET_MS)
        self.assertLess(self.limits.latest_useful_send(on_time), TARGET_MS - SERVICE_MS)
        late = Request(Arrival("r", 0, 0, 880.0), RequestClass(TARGET_MS, 880.0, late_value=0.2), TARGET_MS)
        self.assertEqual(self.limits.latest_useful_send(late), TARGET_MS)


class Full(unittest.TestCase):
    def test_a_full_server_is_skipped_until_it_has_room(self) -> None:
        harness = NodeHarness(Settings((CLASS,), reports_in_answers=True), "ab")
        for server in harness.node.servers.values():
            server.group.queueing_reports, server.group.cores = MIN_REPORTS, 1.0
            server.reported_requests, server.reported_at = 9.0, harness.now
        harness.node.limits.known = True
        self.assertFalse([a for a in harness.ask("r1") if isinstance(a, Send)])
        harness.node.servers["b"].reported_requests = 0.0
        sent = [a.endpoint for a in harness.advance_to(harness.now + 60.0) if isinstance(a, Send)]
        self.assertEqual(sent, ["b"])


if __name__ == "__main__":
    unittest.main()
