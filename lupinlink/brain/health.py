"""Slow start of cold servers and ejection of failing ones."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

from lupinlink.brain.admission import LOW_UTILIZATION
from lupinlink.interface import Server, Settings

LOW_UTILIZATION_STEP, HIGH_UTILIZATION_STEP = 1.04, 0.96  # factor per report of a cold server for its share
# Share of failures that ejects a server. It also has to be this multiple of the mean over all servers: where
# all fail, none is ejected.
EJECT_FAILURE_SHARE, EJECT_FLEET_MULTIPLE = 0.5, 3.0
# The duration doubles with each ejection in a row; share of the servers that may be ejected at a time.
BASE_EJECTION_MS, MAX_EJECTION_MS, MAX_EJECTED_SHARE = 2000.0, 16000.0, 0.4
# Log load assumed of a server that returns from ejection; least lifetime of a token in ``cold_overload_ms``.
RETURN_LOAD, MIN_TOKEN_LIFETIME = 1.5, 0.5


class SlowStart:
    """Limits what all nodes together send to a server that has just started, by token buckets on each."""

    def __init__(self, settings: Settings) -> None:
        # At least one token per ``cold_overload_ms`` for all nodes together.
        self.settings, self.min_rate = settings, 1.0 / (settings.peers * settings.cold_overload_ms)
        self.even_rate_per_ms = 0.0  # requests per server if this node spread its arrivals evenly

    def promised_share(self, server: Server, now: float) -> float:
        """The least share of its full capacity, 0 to 1, that the settings promise at a server's age."""
        age, share = max(0.0, now - server.endpoint.started_ms), self.settings.cold_share
        cold = server.endpoint.started_ms > 0.0 and age < self.settings.cold_ms
        return share + (1.0 - share) * age / self.settings.cold_ms if cold else 1.0

    def warmth(self, server: Server, now: float) -> float:
        """The share of its full capacity that a server is taken to have, given its reports."""
        return min(1.0, server.warmup_boost * self.promised_share(server, now))

    def report(self, server: Server, utilization: float) -> None:
        """Adjust what a cold server is sent to its reports, of which each of many nodes sees only few."""
        step = (LOW_UTILIZATION_STEP if utilization < LOW_UTILIZATION else HIGH_UTILIZATION_STEP) ** max(
            1, self.settings.peers / 2
        )
        server.warmup_boost = min(
            max(1.0, server.warmup_boost * step), 1.0 / max(self.settings.cold_share, 0.01)
        )

    def allows(self, server: Server, now: float) -> bool:
        """Whether slow start allows an attempt.

        Unused tokens expire: nodes cannot see each other, and all could spend their savings at once.
        """
        boost = min(server.warmup_boost, self.settings.cold_overload_ratio / (1.0 + MIN_TOKEN_LIFETIME))
        token_lifetime_ms = (
            max(MIN_TOKEN_LIFETIME, self.settings.cold_overload_ratio / server.warmup_boost / boost - 1)
            * self.settings.cold_overload_ms
        )
        rate = max(self.even_rate_per_ms * self.warmth(server, now) * boost, self.min_rate)
        tokens, server.tokens_at = server.tokens + (now - server.tokens_at) * rate, now
        server.tokens = tokens if tokens < 1.0 else tokens % 1.0 + (tokens % 1.0 <= rate * token_lifetime_ms)
        return server.tokens >= 1.0 or self.promised_share(server, now) >= 1.0


class OutlierDetector:
    """Outlier ejection by failures, with a cap; a returning server regains its share as its load decays."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.fleet_failing = rng, 0.0
        self.ejected: dict[Server, None] = {}
        self._returns: list[tuple[float, int, Server]] = []  # a heap, by the end of the ejection
        self._numbers = count()

    def record(self, server: Server, gain: float, failed: bool, now: float, ready: int) -> bool:
        """Record an outcome and return whether the server is ejected for it."""
        server.failure_rate += gain * (failed - server.failure_rate)
        self.fleet_failing += 0.02 * (failed - self.fleet_failing)
        server.ejections, server.on_probation = (
            server.ejections * (server.failure_rate >= 0.05),
            server.on_probation and failed,
        )
        bad = failed and server.failure_rate >= max(
            EJECT_FAILURE_SHARE, min(0.9, EJECT_FLEET_MULTIPLE * self.fleet_failing)
        )
        return bad and self.eject(server, now, MAX_EJECTED_SHARE * ready)

    def eject(self, server: Server, now: float, max_ejected: float) -> bool:
        """Eject a server for a while, unless too many are; it returns on probation."""
        if server in self.ejected or len(self.ejected) + 1 > max_ejected:
            return False
        duration_ms = min(BASE_EJECTION_MS * 2.0**server.ejections, MAX_EJECTION_MS) * self.rng.uniform(
            0.75, 1.25
        )
        self.ejected[server] = None
        server.ejected_until, server.ejections, server.on_probation = (
            now + duration_ms,
            server.ejections + 1,
            True,
        )
        server.load, server.load_updated_at = max(server.load, RETURN_LOAD), now + duration_ms
        heappush(self._returns, (server.ejected_until, next(self._numbers), server))
        return True

    def returned(self, now: float) -> Iterator[Server]:
        """Yield each server whose ejection has ended, once."""
        while self._returns and self._returns[0][0] <= now:
            _, _, server = heappop(self._returns)
            del self.ejected[server]
            yield server
