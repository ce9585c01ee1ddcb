"""Load balancing: which server an attempt is sent to, by weights that follow the servers' load."""

import math
from collections.abc import Callable, Iterable
from random import Random

from lupinlink.brain.concurrency import ConcurrencyLimits
from lupinlink.brain.health import SlowStart
from lupinlink.brain.server_subset import ServerSubset
from lupinlink.interface import Server, Settings
from lupinlink.node import Node
from lupinlink.spread.aperture import Aperture
from lupinlink.spread.key_affinity import KeyPopularity, hash_key
from lupinlink.spread.recent_use import RecentUse
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE

LATENCY, REPORT = 0, 1  # sources of a load sample
# A weight falls with this power of the known load, scaled down to how well known loads predicted latencies.
LOAD_EXPONENT, TRUST_GAIN, MIN_TRUST = 1.8, 0.01, 0.1
LOAD_DECAY_MS = 4000.0  # a load this old counts for 1/e of itself: without new samples the shares become even
WEIGHTS_INTERVAL_MS, URGENT_WEIGHTS_DELAY_MS = 200.0, 20.0  # between updates; after an overdue attempt
# A report covers the requests of all nodes, while a single latency is largely chance.
REPORT_GAIN, LATENCY_GAIN, OVERDUE_GAIN = 0.6, 0.3, 0.5
# Change of log size per second and unit of log load; bounds on the logarithms.
SIZE_GAIN_PER_S, GROUP_SIZE_GAIN_PER_S, MAX_LOG_SIZE, MAX_LOG_LOAD = 0.04, 0.3, 1.5, 3.0
BASELINE_GAIN, GROUP_GAIN = 0.02, 0.05  # of one sample for the baseline, and for its group's load
IN_FLIGHT_EXPONENT, MAX_DRAWS = 4.0, 8  # power of the headroom ratio that accepts a draw; draws per pick
# Among thousands of servers hardly any is drawn again before its idle connection is closed. So servers first
# used within this share of the idle timeout get as many requests as if there were only so many servers.
REUSE_POOL_SIZE, REUSE_IDLE_SHARE = 128, 0.5
GOLDEN_RATIO_STEP = 0.6180339887498949  # low-discrepancy sequence: successive draws are spread evenly
LOG_WEIGHT_PER_PRICE = 30.0  # log weight lost per unit of cross-zone price, while the own zone has room


class ServerSelector:
    """Weighted random choice of a server. Weights fall with its last known load, whose influence decays."""

    def __init__(
        self, settings: Settings, slow_start: SlowStart, rng: Random, limits: ConcurrencyLimits
    ) -> None:
        self.settings, self.slow_start, self.rng, self.draw_point = settings, slow_start, rng, rng.random()
        self.limits = limits
        self.baselines: dict[tuple[int, int], float] = {}  # usual log sample, by source and zone
        self.weights_due_at, self.spill, self.cov, self.var, self.trust = -math.inf, 0.0, 0.05, 0.1, 0.5
        self.key_popularity = KeyPopularity(settings.peers)
        self.subset = ServerSubset(Aperture(settings.rank, settings.peers), self.weight)
        self.table = self.subset.table
        self.recent: RecentUse[Server] = RecentUse(REUSE_IDLE_SHARE * settings.idle_close_ms)
        self._weight_turns = self._scan_turns = 0  # which bucket of the table comes next, for each
        self._changed: dict[Server, None] = {}  # sampled since their weights were computed

    def observe(self, server: Server, sample: float, source: int, gain: float, now: float) -> None:
        """Take a load sample in any unit; only the logarithm of its ratio to the usual sample counts."""
        if not 0.0 < sample < math.inf:
            return  # NaN and impossible samples must not distort the weights
        self._changed[server] = None
        # The network time to another zone is no load: a latency is compared with the usual one of its zone.
        baseline = (source, server.endpoint.zone if source == LATENCY else -1)
        group, raw = server.group, math.log(sample) - self.baselines.get(baseline, 0.0)
        # The same number of held requests is more load on a small server.
        raw -= (server.size + group.size) * (source == REPORT)
        load = min(max(raw, -MAX_LOG_LOAD), MAX_LOG_LOAD)
        self.baselines[baseline] = self.baselines.get(baseline, 0.0) + BASELINE_GAIN * load
        if source == LATENCY and gain <= LATENCY_GAIN:  # how well the last known load predicted this latency
            known = server.load * self.decay(server, now)
            self.cov += TRUST_GAIN * (known * load - self.cov)
            self.var += TRUST_GAIN * (known * known - self.var)
        if gain == OVERDUE_GAIN:  # an overdue attempt must not wait for the next update
            self.weights_due_at = min(self.weights_due_at, now + URGENT_WEIGHTS_DELAY_MS)
        if source == LATENCY:  # lasting differences in latency are differences in size
            for item, rate in ((server, SIZE_GAIN_PER_S), (group, GROUP_SIZE_GAIN_PER_S)):
                # In proportion to time, not to traffic.
                step = rate * load * min((now - item.size_updated_at) / 1000.0, 2.0)
                item.size = min(max(item.size - step, -MAX_LOG_SIZE), MAX_LOG_SIZE)
                item.size_updated_at = now
        prior = group.load + (server.load - group.load) * self.decay(server, now)
        server.load, server.load_updated_at = prior + gain * (load - prior), now
        group.count += gain > 0.0
        group.load += min(gain, max(GROUP_GAIN, 1.0 / (group.count + 1))) * (load - group.load)

    def decay(self, server: Server, now: float) -> float:
        return min(1.0, math.exp((server.load_updated_at - now) / LOAD_DECAY_MS))

    def size(self, server: Server) -> float:
        return server.endpoint.size_hint * math.exp(server.size + server.group.size)

    def weight(self, server: Server, now: float) -> float:
        """Current weight; without samples a server's load decays to the usual one of its zone and kind."""
        usual = server.group.load
        log = -LOAD_EXPONENT * self.trust * (usual + (server.load - usual) * self.decay(server, now))
        if server.endpoint.zone != self.settings.zone:
            log -= LOG_WEIGHT_PER_PRICE * self.settings.cross_zone_price * (1.0 - self.spill)
        health = (1.0 - server.failure_rate) ** 2
        return math.exp(log) * health * self.slow_start.warmth(server, now) * self.size(server) + 1e-9

    def refresh(self, now: float) -> None:
        """Update the weights if due: of all servers, or among very many of one bucket at a time."""
        if now < self.weights_due_at:
            return
        self.subset.settle(now)
        self._weight_turns += 1
        for server in (*self._changed, *self.table.bucket_items(self._weight_turns)):
            if server in self.table:
                self.table.set(server, self.weight(server, now))
        self._changed.clear()
        self.weights_due_at = now + WEIGHTS_INTERVAL_MS
        self.trust = min(max(self.cov / self.var, MIN_TRUST), 1.0)

    def pick(self, now: float, node: Node, key: str, fits: Callable[[Server], bool]) -> Server | None:
        """Draw by weight in O(log n), or by the request's key; draw again where a server does not fit."""
        self.refresh(now)
        last = None
        for server in self.candidates(key if self.settings.warm_keys else "", now):
            if fits(server):
                # Requests it is known to hold are not yet in its weight: draw again in proportion to them.
                ratio = self.limits.headroom_ratio(
                    server, self.size(server), node.in_flight, len(self.table), now
                )
                if last is None or ratio > last[0]:
                    last = (ratio, server)
                if self.rng.random() < ratio**IN_FLIGHT_EXPONENT:
                    return server
        return last[1] if last is not None else None

    def fallback_candidates(self, now: float) -> Iterable[list[Server]]:
        """Servers to try where none that was drawn fits: of the subset, then warm ones outside of it.

        Among very many servers each call yields the next few of them.
        """
        self._scan_turns += 1
        yield self.table.bucket_items(self._scan_turns)
        yield [s for s in self.subset.outside() if self.may_use(s, now)]

    def may_use(self, server: Server, now: float) -> bool:
        """Outside the subset only warm servers: tokens are earned at the rate of a subset's few nodes."""
        return server in self.table or self.slow_start.promised_share(server, now) >= 1.0

    def draw_from(self, servers: list[Server], now: float) -> Server:
        """Draw one of these by weight."""
        return self.rng.choices(servers, [self.weight(s, now) for s in servers])[0]

    def _prefers_recent(self, now: float) -> bool:
        """Whether the next request tries a recently used server first."""
        return self.rng.random() * REUSE_POOL_SIZE < self.recent.count(now)

    def candidates(self, key: str, now: float) -> Iterable[Server]:
        """Random servers by weight. With a key its hash decides: while weights hold, all nodes send it to the
        same few servers, which have its data in their caches (spread/key_affinity.py)."""
        if not self.table:
            return
        if key:
            mix = hash_key(key)
            self.key_popularity.record(mix)
            number = self.key_popularity.server_count(mix, len(self.table))
            yield from self.table.preferred(mix, number, MAX_DRAWS, self.rng.random())
            return
        if len(self.table) > MAX_MEAN_BUCKET_SIZE and self._prefers_recent(now):
            server = self.recent.draw(self.rng.random(), now)
            if server is not None and server in self.table and server.in_flight == 0:
                yield server
        for _ in range(MAX_DRAWS):
            self.draw_point = (self.draw_point + GOLDEN_RATIO_STEP) % 1.0
            yield self.table.draw(self.draw_point)
