"""Which server a request is sent to: the split, by what is known of the servers."""

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

LATENCY, REPORT = 0, 1  # sources of a load figure
SHARPNESS, TRUST_GAIN, TRUST_MIN = 1.8, 0.01, 0.1  # power of the known load, cut to what it foretold so far
FADE_MS = 4000.0  # a figure this old counts for 1/e of itself: the share fades to even
WEIGHTS_INTERVAL_MS, TABLE_MIN_MS = (
    200.0,
    20.0,
)  # weights are drawn up anew this often, or this soon after trouble
REPORT_GAIN, LATENCY_GAIN, OVERDUE_GAIN = 0.6, 0.3, 0.5  # reports count all nodes', a latency much chance
SIZE_RATE, KIND_RATE, SIZE_MAX, LOAD_MAX = 0.04, 0.3, 1.5, 3.0  # of a log load a second; bounds on logs
LEVEL_GAIN, GROUP_GAIN = 0.02, 0.05  # of one figure for the usual of all, and of its group
OWN_SHARPNESS, MAX_DRAWS = 4.0, 8  # power of this node's own requests in flight over size; most draws
# Among very many servers hardly any is drawn again before its connection is closed at rest. Those that came
# into use within that share of the time for which one may rest are asked as if there were so many only.
REUSED_AMONG, REST_SHARE = 128, 0.5
GOLDEN = 0.6180339887498949  # step of draws: turns come evenly spread
PRICE_SCALE = 30.0  # log weight lost for each point of the crossing price, while the own zone is at ease


class ServerSelector:
    """Random choice of a server, weighted against its last known load, fading to even with age."""

    def __init__(
        self, settings: Settings, slow_start: SlowStart, rng: Random, limits: ConcurrencyLimits
    ) -> None:
        self.settings, self.slow_start, self.rng, self.draw = settings, slow_start, rng, rng.random()
        self.limits = limits
        self.levels: dict[tuple[int, int], float] = {}  # usual log figure: of zones' latencies, of reports
        self.due_at, self.spill, self.cov, self.var, self.trust = -math.inf, 0.0, 0.05, 0.1, 0.5
        self.key_popularity = KeyPopularity(settings.peers)
        self.subset = ServerSubset(Aperture(settings.rank, settings.peers), self.weight)
        self.table = self.subset.table
        self.recent: RecentUse[Server] = RecentUse(REST_SHARE * settings.idle_close_ms)
        self._weighings = self._looks = 0  # each has its own turn of the table
        self._told: dict[Server, None] = {}  # news of these has come since their weights were drawn up

    def observe(self, server: Server, figure: float, source: int, gain: float, now: float) -> None:
        """Take a load figure; what counts is its log over the usual one, so that any unit serves."""
        if not 0.0 < figure < math.inf:
            return  # NaN and absurd reports must not poison the weights
        self._told[server] = None
        # A crossing's way there and back is no load: latencies are held against the usual one of their zone.
        level = (source, server.endpoint.zone if source == LATENCY else -1)
        group, raw = server.group, math.log(figure) - self.levels.get(level, 0.0)
        raw -= (server.size + group.size) * (source == REPORT)  # held requests say more of a small server
        load = min(max(raw, -LOAD_MAX), LOAD_MAX)
        self.levels[level] = self.levels.get(level, 0.0) + LEVEL_GAIN * load
        if source == LATENCY and gain <= LATENCY_GAIN:  # what the last known load foretold of this answer
            known = server.load * self.fade(server, now)
            self.cov += TRUST_GAIN * (known * load - self.cov)
            self.var += TRUST_GAIN * (known * known - self.var)
        if gain == OVERDUE_GAIN:  # trouble must not wait for the next table
            self.due_at = min(self.due_at, now + TABLE_MIN_MS)
        if source == LATENCY:  # lasting differences of latency are differences of size
            for item, rate in ((server, SIZE_RATE), (group, KIND_RATE)):  # by time, not by traffic
                step = rate * load * min((now - item.size_updated_at) / 1000.0, 2.0)
                item.size = min(max(item.size - step, -SIZE_MAX), SIZE_MAX)
                item.size_updated_at = now
        prior = group.load + (server.load - group.load) * self.fade(server, now)
        server.load, server.load_updated_at = prior + gain * (load - prior), now
        group.count += gain > 0.0
        group.load += min(gain, max(GROUP_GAIN, 1.0 / (group.count + 1))) * (load - group.load)

    def fade(self, server: Server, now: float) -> float:
        return min(1.0, math.exp((server.load_updated_at - now) / FADE_MS))

    def size(self, server: Server) -> float:
        return server.endpoint.size_hint * math.exp(server.size + server.group.size)

    def weight(self, server: Server, now: float) -> float:
        """The aged figure: a server not heard of fades to the usual load of its zone and kind."""
        usual = server.group.load
        log = -SHARPNESS * self.trust * (usual + (server.load - usual) * self.fade(server, now))
        if server.endpoint.zone != self.settings.zone:
            log -= PRICE_SCALE * self.settings.cross_zone_price * (1.0 - self.spill)
        sound = (1.0 - server.failure_rate) ** 2
        return math.exp(log) * sound * self.slow_start.warmth(server, now) * self.size(server) + 1e-9

    def refresh(self, now: float) -> None:
        """Draw weights up anew, where it is time: of all servers, or of very many some at each turn."""
        if now < self.due_at:
            return
        self.subset.settle(now)
        self._weighings += 1
        for server in (*self._told, *self.table.bucket_items(self._weighings)):
            if server in self.table:
                self.table.set(server, self.weight(server, now))
        self._told.clear()
        self.due_at = now + WEIGHTS_INTERVAL_MS
        self.trust = min(max(self.cov / self.var, TRUST_MIN), 1.0)

    def pick(self, now: float, node: Node, key: str, fits: Callable[[Server], bool]) -> Server | None:
        """One weighted draw in O(log n), or by the request's key, and some more where that does not fit."""
        self.refresh(now)
        last = None
        for server in self.drawn(key if self.settings.warm_keys else "", now):
            if fits(server):
                # What it is known to hold by now is load known at once: draw again in proportion.
                share = self.limits.share(server, self.size(server), node.in_flight, len(self.table), now)
                if last is None or share > last[0]:
                    last = (share, server)
                if self.rng.random() < share**OWN_SHARPNESS:
                    return server
        return last[1] if last is not None else None

    def fallback_candidates(self, now: float) -> Iterable[list[Server]]:
        """Servers to ask where none that is drawn fits: of the stretch, then warm ones outside of it.

        Of very many it is some each time, and others the next.
        """
        self._looks += 1
        yield self.table.bucket_items(self._looks)
        yield [s for s in self.subset.outside() if self.may_use(s, now)]

    def may_use(self, server: Server, now: float) -> bool:
        """Outside of the stretch only warm ones may: what is earned there is many times the fleet's share."""
        return server in self.table or self.slow_start.least(server, now) >= 1.0

    def draw_from(self, servers: list[Server], now: float) -> Server:
        """One of these by their weights."""
        return self.rng.choices(servers, [self.weight(s, now) for s in servers])[0]

    def _reuses(self, now: float) -> bool:
        """Whether the next request goes first to a server that was used lately."""
        return self.rng.random() * REUSED_AMONG < self.recent.count(now)

    def drawn(self, key: str, now: float) -> Iterable[Server]:
        """Servers at random by their weights. With a key the key's hash is the chance: as long as weights
        hold, it meets the same few servers, and at every node, where its data are warm (spread/keys.py)."""
        if not self.table:
            return
        if key:
            mix = hash_key(key)
            self.key_popularity.record(mix)
            number = self.key_popularity.server_count(mix, len(self.table))
            yield from self.table.preferred(mix, number, MAX_DRAWS, self.rng.random())
            return
        if len(self.table) > MAX_MEAN_BUCKET_SIZE and self._reuses(now):
            server = self.recent.draw(self.rng.random(), now)
            if server is not None and server in self.table and server.in_flight == 0:
                yield server
        for _ in range(MAX_DRAWS):
            self.draw = (self.draw + GOLDEN) % 1.0
            yield self.table.draw(self.draw)
