"""A server is sent no more than it can answer in time, where its reports tell what it holds."""

from __future__ import annotations

import math
import unittest

from lupinlink.brain.concurrency import MIN_LIMIT, MIN_REPORTS, REPORT_DECAY_MS, ConcurrencyLimits
from lupinlink.interface import Arrival, Endpoint, Group, Request, RequestClass, Send, Server, Settings
from tests.helpers import NodeHarness

AIM_MS, WORK_MS = 350.0, 97.0
CLASS = RequestClass(AIM_MS, 880.0)


def queueing(held: float, queued: float) -> dict[str, float]:
    return {"in_flight": held, "queued": queued}


class Limits(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = ConcurrencyLimits(3)
        self.server = Server(Endpoint("a"), 0.0, Group(0.0))

    def learn(self, cores: float = 1.0) -> None:
        """What servers of that many cores tell, and answers that have waited for nobody."""
        for _ in range(4 * MIN_REPORTS):
            self.limits.report(self.server, queueing(cores + 2.0, 2.0), 0.0)
        for _ in range(200):
            self.limits.record_answer(queueing(0.0, 0.0), WORK_MS / AIM_MS)

    def test_the_limit_follows_from_cores_aim_and_work(self) -> None:
        self.learn(cores=1.0)
        self.assertAlmostEqual(self.limits.limit(self.server), 0.9 * AIM_MS / WORK_MS - 1.0, delta=0.1)
        self.server.group = Group(0.0)
        self.learn(cores=4.0)
        self.assertAlmostEqual(self.limits.limit(self.server), 3.6 * AIM_MS / WORK_MS - 1.0, delta=0.3)

    def test_nothing_is_limited_by_few_reports_or_such_that_do_not_tell_both_figures(self) -> None:
        for _ in range(MIN_REPORTS - 1):
            self.limits.report(self.server, queueing(3.0, 2.0), 0.0)
        for report in ({"in_flight": 90.0}, {"utilization": 1.0}, {"queued": 9.0}, {}):
            self.limits.report(self.server, report, 0.0)
        self.assertEqual(self.limits.limit(self.server), math.inf)
        self.assertTrue(self.limits.has_room(self.server, 0.0))
        self.assertFalse(self.limits.known)

    def test_reports_that_make_no_sense_leave_no_mark(self) -> None:
        self.learn()
        before = (self.server.reported_requests, self.server.group.cores, self.limits.service_time)
        for held, queued in ((math.nan, 1.0), (2.0, 3.0), (-1.0, -2.0), (math.inf, 1.0), (3.0, math.nan)):
            self.limits.report(self.server, queueing(held, queued), 1.0)
        for aims in (math.nan, math.inf, -1.0, 0.0):
            self.limits.record_answer(queueing(0.0, 0.0), aims)
        self.assertEqual(
            (self.server.reported_requests, self.server.group.cores, self.limits.service_time), before
        )

    def test_one_odd_report_or_answer_moves_the_limit_by_little(self) -> None:
        self.learn()
        before = self.limits.limit(self.server)
        self.limits.report(self.server, queueing(9.0, 1.0), 1.0)
        self.limits.record_answer(queueing(0.0, 0.0), 3.0)
        self.assertLess(abs(self.limits.limit(self.server) / before - 1.0), 1.0)
        self.assertGreaterEqual(self.limits.limit(self.server), MIN_LIMIT)

    def test_what_it_holds_is_its_report_as_it_fades_and_the_sends_since(self) -> None:
        self.limits.report(self.server, queueing(3.0, 2.0), 0.0)
        self.server.sent_since_report = 2
        self.assertAlmostEqual(self.limits.requests_held(self.server, 0.0), 5.0)
        self.assertAlmostEqual(self.limits.requests_held(self.server, REPORT_DECAY_MS), 2.0 + 3.0 / math.e)
        self.limits.report(self.server, queueing(1.0, 0.0), 10.0)
        self.assertAlmostEqual(self.limits.requests_held(self.server, 10.0), 1.0)

    def test_who_could_only_be_late_waits_no_longer_unless_late_is_worth_something(self) -> None:
        self.learn()
        soon = Request(Arrival("r", 0, 0, 880.0), CLASS, AIM_MS)
        self.assertLess(self.limits.latest_useful_send(soon), AIM_MS - WORK_MS)
        late = Request(Arrival("r", 0, 0, 880.0), RequestClass(AIM_MS, 880.0, late_value=0.2), AIM_MS)
        self.assertEqual(self.limits.latest_useful_send(late), AIM_MS)


class Full(unittest.TestCase):
    def test_a_full_server_is_passed_over_and_asked_again_once_it_has_room(self) -> None:
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
