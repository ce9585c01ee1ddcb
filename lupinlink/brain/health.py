"""Which servers are fit for work: how much a cold one may have, and who is left out."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

from lupinlink.brain.admission import AT_EASE
from lupinlink.interface import Server, Settings

AT_EASE_STEP, TIGHT_STEP = 1.04, 0.96  # a cold server at ease gets so much more, another so much less
EJECT_AT, OVER_FLEET = 0.5, 3.0  # failing share to be ejected, and over the fleet's: all fail, none is out
EJECT_MS, EJECT_MAX_MS, MAX_EJECTED = 2000.0, 16000.0, 0.4  # doubled each time in a row; share at a time
RETURN_LOAD, LEAST_KEPT = 1.5, 0.5  # load (log) that a returning server is taken for; spans of a fall


class SlowStart:
    """Keeps all nodes together under what a server that has just started can do."""

    def __init__(self, settings: Settings) -> None:
        # of all: one a span
        self.settings, self.slack = settings, 1.0 / (settings.peers * settings.cold_overload_ms)
        self.per_server = 0.0  # this node's even share a server and millisecond

    def least(self, server: Server, now: float) -> float:
        """The least share of its full capacity that the settings promise by now."""
        age, share = max(0.0, now - server.endpoint.started_ms), self.settings.cold_share
        cold = server.endpoint.started_ms > 0.0 and age < self.settings.cold_ms
        return share + (1.0 - share) * age / self.settings.cold_ms if cold else 1.0

    def warmth(self, server: Server, now: float) -> float:
        return min(1.0, server.warmup_boost * self.least(server, now))

    def report(self, server: Server, busy: float) -> None:
        """A cold server at ease may be given more; of many nodes each one sees few of its reports."""
        step = (AT_EASE_STEP if busy < AT_EASE else TIGHT_STEP) ** max(1, self.settings.peers / 2)
        server.warmup_boost = min(
            max(1.0, server.warmup_boost * step), 1.0 / max(self.settings.cold_share, 0.01)
        )

    def allows(self, server: Server, now: float) -> bool:
        """Danger: nodes that cannot see each other spend at once what each saved: whole tokens go stale."""
        more = min(server.warmup_boost, self.settings.cold_overload_ratio / (1.0 + LEAST_KEPT))
        kept = (
            max(LEAST_KEPT, self.settings.cold_overload_ratio / server.warmup_boost / more - 1)
            * self.settings.cold_overload_ms
        )
        rate = max(self.per_server * self.warmth(server, now) * more, self.slack)
        tokens, server.tokens_at = server.tokens + (now - server.tokens_at) * rate, now
        server.tokens = tokens if tokens < 1.0 else tokens % 1.0 + (tokens % 1.0 <= rate * kept)
        return server.tokens >= 1.0 or self.least(server, now) >= 1.0


class OutlierDetector:
    """Outlier ejection by failures, with a cap; the way back is the fading of a bad figure."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.fleet = rng, 0.0
        self.ejected: dict[Server, None] = {}
        self._returns: list[tuple[float, int, Server]] = []  # a heap, by when each is back
        self._numbers = count()

    def record(self, server: Server, gain: float, failed: bool, now: float, ready: int) -> bool:
        """Take one outcome; whether the server is ejected for it."""
        server.failure_rate += gain * (failed - server.failure_rate)
        self.fleet += 0.02 * (failed - self.fleet)
        server.ejections, server.on_probation = (
            server.ejections * (server.failure_rate >= 0.05),
            server.on_probation and failed,
        )
        bad = failed and server.failure_rate >= max(EJECT_AT, min(0.9, OVER_FLEET * self.fleet))
        return bad and self.eject(server, now, MAX_EJECTED * ready)

    def eject(self, server: Server, now: float, most: float) -> bool:
        """Leave it out for a while, doubled each time in a row; it comes back on trial. Whether it is out."""
        if server in self.ejected or len(self.ejected) + 1 > most:
            return False
        span = min(EJECT_MS * 2.0**server.ejections, EJECT_MAX_MS) * self.rng.uniform(0.75, 1.25)
        self.ejected[server] = None
        server.ejected_until, server.ejections, server.on_probation = now + span, server.ejections + 1, True
        server.load, server.load_updated_at = max(server.load, RETURN_LOAD), now + span
        heappush(self._returns, (server.ejected_until, next(self._numbers), server))
        return True

    def returned(self, now: float) -> Iterator[Server]:
        """Those whose time out is over, each once."""
        while self._returns and self._returns[0][0] <= now:
            _, _, server = heappop(self._returns)
            del self.ejected[server]
            yield server
