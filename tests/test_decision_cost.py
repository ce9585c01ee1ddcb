"""The cost of decisions, as reads of backend records, must not grow with the number of backends."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest.mock import patch

from lupinlink.brain.dispatching import MAX_SCANNED_PER_INTERVAL, SCAN_INTERVAL_MS
from lupinlink.brain.server_selection import MAX_DRAWS
from lupinlink.interface import DedupScope, DiscoveryWatchEnded, Endpoint, Settings, Status
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE
from tests.counted_servers import CountedNodeHarness, count_reads
from tests.helpers import KEYED, SAFE, NodeHarness, sends

FEW, MANY = 400, 6400
MAX_RATIO = 1.5  # of reads with many backends to reads with few
WAITING = 40  # requests that wait at the same time

Work = Callable[[CountedNodeHarness], None]


def waiting(harness: CountedNodeHarness) -> None:
    """Let requests wait for 0.9 s."""
    for i in range(WAITING):
        harness.ask(f"waits-{i}")
    harness.advance_to(harness.now + 900.0)


def requests(harness: CountedNodeHarness) -> None:
    """Serve a second's worth of requests."""
    for i in range(50):
        harness.finish_all(f"served-{i}", harness.ask(f"served-{i}"))


def updates(harness: CountedNodeHarness) -> None:
    """Update one backend after another for a second."""
    for i in range(10):
        harness.advance_to(harness.now + 100.0)
        harness.update_endpoint(i)


class DecisionCost(unittest.TestCase):
    def compare(self, work: Work, prepare: Work = lambda harness: None, **more: float) -> None:
        reads = []
        for backends in (FEW, MANY):
            settings = Settings(
                classes=(SAFE,), peers=6, subscribe=True, max_attempts=3, cold_share=0.1, cold_ms=60000.0
            )
            harness = CountedNodeHarness(settings, backends, **more)
            prepare(harness)
            reads.append(count_reads(lambda harness=harness: work(harness)))  # type: ignore[misc]
        few, many = reads
        self.assertLessEqual(many, MAX_RATIO * few, f"{few} among {FEW}, {many} among {MANY}")

    # Guards against held requests that each read every backend in every scan.
    def test_requests_that_wait_for_discovery(self) -> None:
        def hold(harness: CountedNodeHarness) -> None:
            harness.handle(DiscoveryWatchEnded(last_activity_at=harness.now, timed_out=False))
            harness.advance_to(harness.now + 500.0)
            self.assertTrue(harness.node.must_hold(harness.now))

        self.compare(waiting, hold)

    # The same while every backend is ejected.
    def test_requests_that_wait_for_a_backend_that_failed(self) -> None:
        def fail(harness: CountedNodeHarness) -> None:
            for server in list(harness.node.servers.values()):
                harness.node.eject(server, harness.now, float("inf"))

        self.compare(waiting, fail)

    # The same while every backend has just started and has no slow-start token.
    def test_requests_that_wait_for_a_cold_backend(self) -> None:
        def spend(harness: CountedNodeHarness) -> None:
            for server in harness.node.servers.values():
                server.tokens = -1e6

        self.compare(waiting, spend, started_ms=100.0)

    # Guards against a draw that reads all backends, or weights of all that are recomputed at once.
    def test_requests_that_are_served(self) -> None:
        self.compare(requests)

    # Guards against a pass over all backends for each failed request.
    def test_requests_that_fail(self) -> None:
        def failing(harness: CountedNodeHarness) -> None:
            for i in range(50):
                harness.finish_all(f"failed-{i}", harness.ask(f"failed-{i}"), Status.RESET)

        self.compare(failing)

    # Guards against a pass over all backends for each update from discovery.
    def test_updates_of_one_backend(self) -> None:
        self.compare(updates)

    # Guards against sums over all backends at the end of each admission period.
    def test_no_traffic(self) -> None:
        def pass_time(harness: CountedNodeHarness) -> None:
            harness.advance_to(harness.now + 5000.0)

        self.compare(pass_time)

    # Guards against scanning all backends for each of many requests that none of them may take.
    def test_requests_that_no_free_backend_may_take(self) -> None:
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
        with patch.object(harness.node, "has_room", wraps=harness.node.has_room) as checked:
            harness.advance_to(harness.now + 1000.0)
        scans = 1000.0 / SCAN_INTERVAL_MS
        self.assertEqual(len(harness.node.waiting), WAITING)
        self.assertLess(
            checked.call_count,
            (scans + 1) * (MAX_SCANNED_PER_INTERVAL + 2 * MAX_MEAN_BUCKET_SIZE + WAITING * MAX_DRAWS),
        )


if __name__ == "__main__":
    unittest.main()
