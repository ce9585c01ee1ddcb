"""Slow start: the load that all proxies together put on a cold server."""

from __future__ import annotations

import math
import unittest

from lupinlink.brain.health import SlowStart
from lupinlink.interface import Endpoint, Group, Server, Settings
from tests.helpers import SAFE, NodeHarness


class Cold(unittest.TestCase):
    def test_all_proxies_together_do_not_overload_a_cold_server(self) -> None:
        """A cold server fails at N + 2 sqrt(N) + 2 requests, N being a multiple of its capacity by then."""
        proxies, share, warmup_ms, overload_ratio, overload_ms = 200, 0.13, 22000.0, 3.0, 3000.0
        capacity = 25.0  # requests per second once warm; the proxies' even shares use 0.8 of it
        settings = Settings(classes=(SAFE,), peers=proxies, cold_share=share, cold_ms=warmup_ms)
        sent: list[float] = []
        for seed in range(proxies):
            slow_start = SlowStart(settings)
            slow_start.even_rate_per_ms = 0.8 * capacity / proxies / 1000.0
            row = Endpoint("a", started_ms=1.0)
            harness = NodeHarness(settings, seed=seed)
            server = Server(row, 1.0, Group(1.0))
            harness.node.server_listed(server)  # a random first token
            for now in range(1, int(warmup_ms), 20):
                if slow_start.allows(server, float(now)):
                    server.tokens -= 1.0
                    sent.append(float(now))
        sent.sort()
        for end in range(int(overload_ms), int(warmup_ms), 250):
            least = share + (1.0 - share) * (end - overload_ms) / warmup_ms
            n = overload_ratio * capacity * least * overload_ms / 1000.0
            arrived = sum(end - overload_ms <= t < end for t in sent)
            self.assertLess(arrived, n + 2.0 * math.sqrt(n) + 2.0, end)


if __name__ == "__main__":
    unittest.main()
