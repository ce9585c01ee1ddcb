"""Cold servers under all proxies together: saved tokens, reports of low utilization, bursts, lost servers."""

from __future__ import annotations

import math
import unittest
from bisect import insort
from collections import deque
from collections.abc import Iterator
from itertools import product
from random import Random

from lupinlink.brain.health import SlowStart
from lupinlink.interface import Endpoint, Group, Server, Settings, Status
from lupinlink.settings import read_settings
from tests.helpers import SAFE, NodeHarness, sends

CAPACITY, WARMUP_MS = 25.0, 22000.0  # requests per second once warm; time to become warm
SETTINGS = list(product((2, 3, 30, 200), (0.13, 0.3), ((3.0, 3000.0), (2.0, 2000.0), (3.0, 2000.0))))


def configured(peers: int, share: float, overload_ratio: float, overload_ms: float) -> Settings:
    """Settings read by their outer names: one that is not read would keep its default unnoticed."""
    raw = {
        "Classes": [{"AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure"}],
        "PeersTotal": peers,
        "Limits": {"AttemptsCap": 5},
        "Invariants": {
            "ColdShare": share,
            "ColdMs": WARMUP_MS,
            "FallMultiple": overload_ratio,
            "FallMs": overload_ms,
        },
    }
    return read_settings(raw)


class Process:
    """One proxy process's view of the one cold server, and its own admission periods."""

    def __init__(self, settings: Settings, rng: Random, load: float) -> None:
        self.slow_start = SlowStart(settings)
        self.slow_start.even_rate_per_ms = load * CAPACITY / settings.peers / 1000.0
        self.server = Server(
            Endpoint("a", started_ms=1.0), 1.0, Group(1.0), tokens=rng.random(), tokens_at=1.0
        )
        self.period_left_ms = rng.uniform(0.0, 1000.0)  # ms to the end of its period

    def send(self, now: float) -> bool:
        sent = self.slow_start.allows(self.server, now)
        self.server.tokens -= sent
        return sent


class ColdServer:
    """Counts arrivals within ``overload_ms``, serves them and reports its utilization, late."""

    def __init__(self, share: float, overload_ratio: float, overload_ms: float) -> None:
        self.share, self.overload_ratio, self.overload_ms = share, overload_ratio, overload_ms
        self.arrivals, self.utilizations, self.backlog = deque[float](), deque[float](maxlen=30), 0.0
        self.reports: list[tuple[float, int]] = []
        self.worst_ratio = 0.0

    def capacity(self, now: float) -> float:
        """Requests per ms, at the ramp that the settings promise."""
        return CAPACITY / 1000.0 * min(1.0, self.share + (1.0 - self.share) * now / WARMUP_MS)

    def receive(self, now: float, source: int) -> None:
        self.arrivals.append(now)
        self.backlog += 1.0
        insort(self.reports, (now + 300.0 + self.backlog / self.capacity(now) / 2.0, source))

    def step(self, now: float, warmup_ms: float) -> Iterator[tuple[int, float]]:
        """Yield the processes whose answers come now, with the utilization that they report."""
        done = min(self.backlog, self.capacity(now) * warmup_ms)
        self.backlog -= done
        self.utilizations.append(done / (self.capacity(now) * warmup_ms))
        while self.reports and self.reports[0][0] <= now:
            yield self.reports.pop(0)[1], sum(self.utilizations) / len(self.utilizations)

    def check(self, now: float) -> None:
        """Update the worst ratio of arrivals to those it can bear, N + 2 sqrt(N) + 2: at 1 it fails."""
        while self.arrivals and self.arrivals[0] <= now - self.overload_ms:
            self.arrivals.popleft()
        n = self.overload_ratio * self.capacity(now) * self.overload_ms
        self.worst_ratio = max(self.worst_ratio, len(self.arrivals) / (n + 2.0 * math.sqrt(n) + 2.0))


class FleetLoad(unittest.TestCase):
    def test_all_saved_tokens_may_be_spent_at_once(self) -> None:
        """No process uses the cold server until the others are lost; then each sends all it may."""
        for (peers, share, (overload_ratio, overload_ms)), idle in product(SETTINGS, (0, 2000, 6000)):
            settings, cold = (
                configured(peers, share, overload_ratio, overload_ms),
                ColdServer(share, overload_ratio, overload_ms),
            )
            rng = Random(peers)
            processes = [Process(settings, rng, load=0.8) for _ in range(peers)]
            for now in range(1 + idle, int(WARMUP_MS), 20):
                for process in processes:
                    if process.send(float(now)):
                        cold.arrivals.append(float(now))
                cold.check(float(now))
            self.assertLess(cold.worst_ratio, 1.0, (peers, share, overload_ratio, overload_ms, idle))

    def test_a_burst_after_reports_of_low_utilization(self) -> None:
        """Under light load the reports are low, and each process alone would take it for warm in a burst."""
        for peers, share, (overload_ratio, overload_ms) in SETTINGS:
            for before, after, at, times in ((0.5, 1.0, 6000, 100.0), (0.05, 1.2, 6000, 20.0)):
                settings = configured(peers, share, overload_ratio, overload_ms)
                cold, rng = ColdServer(share, overload_ratio, overload_ms), Random(peers)
                processes = [Process(settings, rng, before) for _ in range(peers)]
                for now in range(1, 14000, 20):
                    # At ``at`` the other servers fail, and it gets their load.
                    load, demand = (before, 1.0) if now < at else (after, times)
                    even = load * CAPACITY / peers / 1000.0
                    for i, utilization in cold.step(float(now), 20.0):
                        processes[i].slow_start.report(processes[i].server, utilization)
                    for i, process in enumerate(processes):
                        process.period_left_ms -= 20.0
                        if process.period_left_ms <= 0.0:
                            process.period_left_ms = 1000.0 * rng.uniform(0.75, 1.25)
                            process.slow_start.even_rate_per_ms += 0.5 * (
                                even - process.slow_start.even_rate_per_ms
                            )
                        if rng.random() < even * 20.0 * demand and process.send(float(now)):
                            cold.receive(float(now), i)
                    cold.check(float(now))
                self.assertLess(
                    cold.worst_ratio, 1.0, (peers, share, overload_ratio, overload_ms, before, after)
                )

    def test_reports_of_low_utilization_allow_no_process_more_than_twice_its_even_share(self) -> None:
        settings = configured(200, 0.13, 3.0, 3000.0)
        process = Process(settings, Random(1), load=0.8)
        for _ in range(100):
            process.slow_start.report(process.server, 0.3)
        sent = sum(process.send(float(now)) for now in range(1, 20000, 20))
        self.assertLessEqual(sent, 1 + 2.0 * process.slow_start.even_rate_per_ms * 20000.0)
        for _ in range(3):  # the way down is quicker
            process.slow_start.report(process.server, 0.95)
        self.assertEqual(process.server.warmup_boost, 1.0)

    def test_a_cold_server_is_not_left_idle(self) -> None:
        """With few processes and steady load it gets most of its even share by the promised capacity."""
        for peers, share in product((2, 3, 30), (0.13, 0.3)):
            settings, rng = configured(peers, share, 3.0, 3000.0), Random(peers)
            processes, sent = [Process(settings, rng, 0.8) for _ in range(peers)], 0
            for now in range(1, int(WARMUP_MS), 20):
                for process in processes:
                    if rng.random() < process.slow_start.even_rate_per_ms * 20.0:
                        sent += process.send(float(now))
            even = 0.8 * CAPACITY * WARMUP_MS / 1000.0 * (1.0 + share) / 2.0
            self.assertGreater(sent, 0.6 * even, (peers, share))

    def test_light_traffic_is_served_where_all_servers_are_cold(self) -> None:
        """An even share of light traffic earns few tokens: all requests would be refused for ten seconds."""
        harness = NodeHarness(configured(1, 0.13, 3.0, 3000.0), names="")
        harness.discover([Endpoint(name, started_ms=1.0) for name in "abcd"])
        served = 0
        for i in range(12):
            harness.advance_to(harness.now + 1000.0)
            for send in sends(harness.ask(f"r{i}") + harness.advance_to(harness.now + 250.0)):
                harness.end(send.request_id, Status.OK, send.endpoint)
                served += 1
        self.assertGreaterEqual(served, 9)

    def test_retries_need_tokens_as_well(self) -> None:
        harness = NodeHarness(configured(200, 0.13, 3.0, 3000.0), names="a")
        harness.discover([Endpoint("a"), Endpoint("b", started_ms=1.0)])
        for i in range(30):
            for send in sends(harness.ask(f"r{i}")):
                self.assertEqual(send.endpoint, "a")
                self.assertEqual(sends(harness.end(f"r{i}", Status.ERROR, "a")), [])

    def test_settings_that_are_not_given_have_defaults(self) -> None:
        self.assertEqual(
            (Settings((SAFE,)).cold_overload_ratio, Settings((SAFE,)).cold_overload_ms), (3.0, 3000.0)
        )
        self.assertEqual(configured(2, 0.1, 2.0, 2500.0).cold_overload_ms, 2500.0)


if __name__ == "__main__":
    unittest.main()
