"""How many backends are asked for one piece of work: as many with thousands as with the usual number."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest.mock import patch

from lupinlink.brain.choice import PICK_TRIES
from lupinlink.brain.dispatching import LOOK_MS, MOST_ASKED
from lupinlink.interface import DedupScope, DiscoveryWatchEnded, Endpoint, Settings, Status
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE
from tests.counted_servers import CountedStand, reads_of
from tests.helpers import KEYED, SAFE, Stand, sends

FEW, MANY = 400, 6400
MOST_RATIO = 1.5  # of what is asked among many over what is asked among few
WAITING = 40  # requests that wait side by side

Work = Callable[[CountedStand], None]


def waiting(stand: CountedStand) -> None:
    """Requests wait for a second."""
    for i in range(WAITING):
        stand.ask(f"waits-{i}")
    stand.until(stand.now + 900.0)


def requests(stand: CountedStand) -> None:
    """A second of requests that are served."""
    for i in range(50):
        stand.answer(f"served-{i}", stand.ask(f"served-{i}"))


def news(stand: CountedStand) -> None:
    """A second in which backends change one at a time."""
    for i in range(10):
        stand.until(stand.now + 100.0)
        stand.one_changes(i)


class Asked(unittest.TestCase):
    def compare(self, work: Work, prepare: Work = lambda stand: None, **more: float) -> None:
        asked = []
        for backends in (FEW, MANY):
            settings = Settings(
                classes=(SAFE,), peers=6, subscribe=True, max_attempts=3, cold_share=0.1, cold_ms=60000.0
            )
            stand = CountedStand(settings, backends, **more)
            prepare(stand)
            asked.append(reads_of(lambda stand=stand: work(stand)))  # type: ignore[misc]
        few, many = asked
        self.assertLessEqual(many, MOST_RATIO * few, f"{few} among {FEW}, {many} among {MANY}")

    # Guards against held requests that each ask every backend at every look.
    def test_requests_that_wait_for_discovery(self) -> None:
        def hold(stand: CountedStand) -> None:
            stand.give(DiscoveryWatchEnded(last_activity_at=stand.now, timed_out=False))
            stand.until(stand.now + 500.0)
            self.assertTrue(stand.node.list_holds(stand.now))

        self.compare(waiting, hold)

    # Guards against the same where every backend is left out.
    def test_requests_that_wait_for_a_backend_that_failed(self) -> None:
        def fail(stand: CountedStand) -> None:
            for server in list(stand.node.servers.values()):
                stand.node.eject(server, stand.now, float("inf"))

        self.compare(waiting, fail)

    # Guards against the same where every backend has just started and has no token.
    def test_requests_that_wait_for_a_cold_backend(self) -> None:
        def spend(stand: CountedStand) -> None:
            for server in stand.node.servers.values():
                server.tokens = -1e6

        self.compare(waiting, spend, started_ms=100.0)

    # Guards against a draw among all backends, or weights drawn up for all at each turn.
    def test_requests_that_are_served(self) -> None:
        self.compare(requests)

    # Guards against a pass over all backends for each arrival whose answer is an error.
    def test_requests_that_fail(self) -> None:
        def failing(stand: CountedStand) -> None:
            for i in range(50):
                stand.answer(f"failed-{i}", stand.ask(f"failed-{i}"), Status.RESET)

        self.compare(failing)

    # Guards against a pass over all backends for each object of discovery.
    def test_news_of_one_backend(self) -> None:
        self.compare(news)

    # Guards against sums over all backends at each turn of the admission.
    def test_a_quiet_time(self) -> None:
        def pass_time(stand: CountedStand) -> None:
            stand.until(stand.now + 5000.0)

        self.compare(pass_time)

    # Guards against looking through all backends for each of many requests that none of them may have.
    def test_requests_that_no_free_backend_may_have(self) -> None:
        zone_wide = replace(
            KEYED, scope=DedupScope.ZONE, dedup_ms=5000.0, deadline_ms=3000.0, target_latency_ms=3000.0
        )
        stand = Stand(Settings(classes=(zone_wide,), peers=6, max_attempts=3), "")
        lost = [Endpoint(f"lost-{i}", zone=1) for i in range(8)]
        stand.members(lost)
        sent = [sends(stand.ask(str(i)))[0] for i in range(WAITING)]
        stand.members([Endpoint(f"s-{i}") for i in range(MANY)])
        stand.node.retry_tokens = 2.0 * WAITING
        for i, send in enumerate(sent):
            stand.end(str(i), Status.RESET, send.endpoint)
        with patch.object(stand.node, "has_room", wraps=stand.node.has_room) as asked:
            stand.until(stand.now + 1000.0)
        looks = 1000.0 / LOOK_MS
        self.assertEqual(len(stand.node.waiting), WAITING)
        self.assertLess(
            asked.call_count, (looks + 1) * (MOST_ASKED + 2 * MAX_MEAN_BUCKET_SIZE + WAITING * PICK_TRIES)
        )


if __name__ == "__main__":
    unittest.main()
