"""How many backends are asked for one piece of work: as many with thousands as with the usual number."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest.mock import patch

from lupinlink.brain.dispatching import MAX_SCANNED_PER_INTERVAL, SCAN_INTERVAL_MS
from lupinlink.brain.server_selection import MAX_DRAWS
from lupinlink.interface import DedupScope, DiscoveryWatchEnded, Endpoint, Settings, Status
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE
from tests.counted_servers import CountedNodeHarness, reads_of
from tests.helpers import KEYED, SAFE, NodeHarness, sends

FEW, MANY = 400, 6400
MOST_RATIO = 1.5  # of what is asked among many over what is asked among few
WAITING = 40  # requests that wait side by side

Work = Callable[[CountedNodeHarness], None]


def waiting(harness: CountedNodeHarness) -> None:
    """Requests wait for a second."""
    for i in range(WAITING):
        harness.ask(f"waits-{i}")
    harness.advance_to(harness.now + 900.0)


def requests(harness: CountedNodeHarness) -> None:
    """A second of requests that are served."""
    for i in range(50):
        harness.answer(f"served-{i}", harness.ask(f"served-{i}"))


def news(harness: CountedNodeHarness) -> None:
    """A second in which backends change one at a time."""
    for i in range(10):
        harness.advance_to(harness.now + 100.0)
        harness.one_changes(i)


class Asked(unittest.TestCase):
    def compare(self, work: Work, prepare: Work = lambda harness: None, **more: float) -> None:
        asked = []
        for backends in (FEW, MANY):
            settings = Settings(
                classes=(SAFE,), peers=6, subscribe=True, max_attempts=3, cold_share=0.1, cold_ms=60000.0
            )
            harness = CountedNodeHarness(settings, backends, **more)
            prepare(harness)
            asked.append(reads_of(lambda harness=harness: work(harness)))  # type: ignore[misc]
        few, many = asked
        self.assertLessEqual(many, MOST_RATIO * few, f"{few} among {FEW}, {many} among {MANY}")

    # Guards against held requests that each ask every backend at every look.
    def test_requests_that_wait_for_discovery(self) -> None:
        def hold(harness: CountedNodeHarness) -> None:
            harness.handle(DiscoveryWatchEnded(last_activity_at=harness.now, timed_out=False))
            harness.advance_to(harness.now + 500.0)
            self.assertTrue(harness.node.must_hold(harness.now))

        self.compare(waiting, hold)

    # Guards against the same where every backend is left out.
    def test_requests_that_wait_for_a_backend_that_failed(self) -> None:
        def fail(harness: CountedNodeHarness) -> None:
            for server in list(harness.node.servers.values()):
                harness.node.eject(server, harness.now, float("inf"))

        self.compare(waiting, fail)

    # Guards against the same where every backend has just started and has no token.
    def test_requests_that_wait_for_a_cold_backend(self) -> None:
        def spend(harness: CountedNodeHarness) -> None:
            for server in harness.node.servers.values():
                server.tokens = -1e6

        self.compare(waiting, spend, started_ms=100.0)

    # Guards against a draw among all backends, or weights drawn up for all at each turn.
    def test_requests_that_are_served(self) -> None:
        self.compare(requests)

    # Guards against a pass over all backends for each arrival whose answer is an error.
    def test_requests_that_fail(self) -> None:
        def failing(harness: CountedNodeHarness) -> None:
            for i in range(50):
                harness.answer(f"failed-{i}", harness.ask(f"failed-{i}"), Status.RESET)

        self.compare(failing)

    # Guards against a pass over all backends for each object of discovery.
    def test_news_of_one_backend(self) -> None:
        self.compare(news)

    # Guards against sums over all backends at each turn of the admission.
    def test_a_quiet_time(self) -> None:
        def pass_time(harness: CountedNodeHarness) -> None:
            harness.advance_to(harness.now + 5000.0)

        self.compare(pass_time)

    # Guards against looking through all backends for each of many requests that none of them may have.
    def test_requests_that_no_free_backend_may_have(self) -> None:
        zone_wide = replace(
            KEYED, scope=DedupScope.ZONE, dedup_ms=5000.0, deadline_ms=3000.0, target_latency_ms=3000.0
        )
        harness = NodeHarness(Settings(classes=(zone_wide,), peers=6, max_attempts=3), "")
        lost = [Endpoint(f"lost-{i}", zone=1) for i in range(8)]
        harness.discover(lost)
        sent = [sends(harness.ask(str(i)))[0] for i in range(WAITING)]
        harness.discover([Endpoint(f"s-{i}") for i in range(MANY)])
        harness.node.retry_tokens = 2.0 * WAITING
        for i, send in enumerate(sent):
            harness.end(str(i), Status.RESET, send.endpoint)
        with patch.object(harness.node, "has_room", wraps=harness.node.has_room) as asked:
            harness.advance_to(harness.now + 1000.0)
        looks = 1000.0 / SCAN_INTERVAL_MS
        self.assertEqual(len(harness.node.waiting), WAITING)
        self.assertLess(
            asked.call_count,
            (looks + 1) * (MAX_SCANNED_PER_INTERVAL + 2 * MAX_MEAN_BUCKET_SIZE + WAITING * MAX_DRAWS),
        )


if __name__ == "__main__":
    unittest.main()
