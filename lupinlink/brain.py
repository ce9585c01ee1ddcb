"""Every decision and setting of a lupinlink node; its types, events and actions are in interface.py.

Admission and split follow Liu, Heo, Sha and Zhu, "Adaptive Control of Multi-Tiered Web Applications
Using Queueing Predictor", sections III and IV; docs/design.md lists what was kept and changed.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterable
from itertools import accumulate
from random import Random
from zlib import crc32

from lupinlink import interface as api
from lupinlink.interface import Attempt, Effect, Group, LatencyStats, Period, Request, Scope, Server, Status
from lupinlink.limits.foresight import Foresight
from lupinlink.node import Node
from lupinlink.spread.aperture import Aperture
from lupinlink.spread.keys import HASH_MULTIPLIER, Homes

# Admission. Delays are counted in aims: a latency over its class's aim, so one target serves all classes.
TARGET, LATE_TARGET = 0.45, 0.4  # D_ref: so much of the aim, and more the more a late answer is worth
PERIOD_MS, PERIOD_JITTER = 1000.0, 0.25  # T, under the paper's 3 s: bursts end by then; nodes never in step
PERIOD_AIMS, MOST_DELAY = 2.5, 2.0  # in aims: T is no longer, quick work is judged sooner; later is late
MIN_SAMPLES, LEAST_PERIOD, MAX_PERIODS = 8, 0.5, 3  # fewer served say little: it goes on, up to so many T
X_MAX, TARGET_ROOM, SEED_X = 0.6, 1.35, 0.35  # bound on E[X]; target over it; before a light period was seen
# Of what servers get through, so much is let in at least: waiting drains, yet they never fall idle. A
DRAIN, RISE = 0.85, 1.5  # period at ease lets in so much more: all at once would jam them again.
FLOOR = 0.1  # the paper's lower bound of P_a; it holds for the mean over all arrivals
THETA, THETA2_MIN = (0.8, 2.0), 0.5  # starting model; a smaller slope would turn noise into full swings
P0, P_MIN, P_MAX = 1.0, 0.01, 10.0  # P = p_0 I; the estimator neither falls asleep nor blows up
RETURN_SHARE, TENANT_S = 0.5, 2.0  # refused held to return, if unmarked; a flood must show before queues fill
# Split
LATENCY, REPORT = 0, 1  # sources of a load figure
SHARPNESS, TRUST_GAIN, TRUST_MIN = 1.8, 0.01, 0.1  # power of the known load, cut to what it foretold so far
FADE_MS = 4000.0  # a figure this old counts for 1/e of itself: the share fades to even
TABLE_MS, TABLE_MIN_MS = 200.0, 20.0  # weights are drawn up anew this often, or this soon after trouble
REPORT_GAIN, LATENCY_GAIN = 0.6, 0.3  # reports count all nodes' requests, one latency is mostly chance
SIZE_RATE, KIND_RATE, SIZE_MAX = 0.04, 0.3, 1.5  # share a second of a log load taken for size; bound
LOAD_MAX = 3.0  # bound on a log load: no figure, however absurd, rules a server in or out for good
LEVEL_GAIN, GROUP_GAIN, STATS_GAIN = 0.02, 0.05, 0.02  # of one figure for the usual of all, group, class
OUTLIER = 1.1  # log load above which a server's delays say nothing of the others
OWN_SHARPNESS, PICK_TRIES = 4.0, 8  # power of this node's own requests in flight over size; most draws
GOLDEN = 0.6180339887498949  # step of draws: turns come evenly spread
PRICE_SCALE = 30.0  # log weight lost for each point of the crossing price, while the own zone is at ease
SPILL_FROM, SPILL_SPAN = 0.9, 0.8  # that preference ends over this span of delay over target
PROBE_MOST, PROBE_DRAWS = 2.0, 4  # probes an arrival if unheard of; the longest so of those drawn
FULL_FIGURE, FULL_DELAY = 4.0, 1.5  # turned away by a full server: latency over usual, and delay in aims
# Health
OK_GAIN, ERROR_GAIN, TIMEOUT_GAIN = 0.2, 0.2, 0.3  # one broken answer or connection says little of the next
ABSENT_MOST, SILENT_MOST = 3, 3  # in a row: not reached, nobody is there; overdue and nothing heard, it hangs
EJECT_AT, OVER_FLEET = 0.5, 3.0  # failing share to be ejected, and over the fleet's: all fail, none is out
EJECT_MS, EJECT_MAX_MS, MAX_EJECTED = 2000.0, 16000.0, 0.4  # doubled each time in a row; share at a time
AT_EASE, AT_EASE_STEP, TIGHT_STEP = 0.7, 1.04, 0.96  # reported use up to which a cold server gets more
RETURN_LOAD = 1.5  # a returning server is taken for this loaded (log), fading: it returns gently
# Attempts
RETRY_RATIO, RETRY_BURST = 0.2, 20.0  # retry budget: tokens for each arrival, and their most
OVERDUE_DEVS, OVERDUE_LEAST = 2.0, 0.5  # later than so many deviations, and so many aims, is news
OVERDUE_AGAIN, OVERDUE_GAIN, LOST_DEVS = 1.5, 0.5, 20.0  # and at so many times the age again; lost beyond
PARK_MS, ANSWER_MARGIN_MS = 50.0, 15.0  # a request with no server looks again; answered this long before end
RETRY_AFTER = 0.5  # advice to a refused client in aims, drawn from half of it on: no common return
BACKOFF_MS, FIRST_ASK = 500.0, 0.75  # wait after a failed call to discovery; first call, of what is allowed


class Admission:
    """Mean admission probability: processor-sharing predictor plus RLS correction (paper, eqs. 4, 9-11)."""

    def __init__(self, peers: int, late_worth: float, warm_keys: bool = False) -> None:
        self.peers, self.least_target = peers, TARGET + LATE_TARGET * late_worth
        self.target = self.least_target
        self.admit, self.refusing = 1.0, False
        self.x, self.work = SEED_X, 0.0  # E[X] in aims, and in seconds of one server (0: not yet known)
        self.theta1, self.theta2 = THETA
        self.p11, self.p12, self.p22 = P0, 0.0, P0
        self.error = self.delta = self.delay = 0.0  # y(k), the applied u(k), d
        self.foresight = Foresight(warm_keys)

    def learn(self, error: float) -> None:
        """RLS step for y(k+1) = th1 y(k) + th2 u(k): eqs. (9) and (10) with n=1, m=0, d=1."""
        a, b = self.error, self.delta
        pa, pb = self.p11 * a + self.p12 * b, self.p12 * a + self.p22 * b
        scale = 1.0 / (1.0 + a * pa + b * pb)
        miss = error - a * self.theta1 - b * self.theta2
        self.p11 = min(max(self.p11 - scale * pa * pa, P_MIN), P_MAX)
        self.p22 = min(max(self.p22 - scale * pb * pb, P_MIN), P_MAX)
        limit = math.sqrt(self.p11 * self.p22)
        self.p12 = min(max(self.p12 - scale * pa * pb, -limit), limit)
        self.theta1 = min(max(self.theta1 + (self.p11 * a + self.p12 * b) * miss, 0.0), 2.0)
        self.theta2 = min(max(self.theta2 + (self.p12 * a + self.p22 * b) * miss, THETA2_MIN), 10.0)

    def revise(
        self, rate: float, delay: float | None, ready: float, busy: float | None = None, through: float = 0.0
    ) -> None:
        """Close a period: arrivals a second, mean delay in aims, reported use, served share of arrivals."""
        self.foresight.learn(busy, ready, max(through, self.admit))
        if rate <= 0.0 or delay is None:
            self.admit, self.refusing, self.delta, self.error = 1.0, False, 0.0, 0.0
            return
        self.delay = delay
        per_server = rate * self.peers / max(1, ready)
        low = delay < self.target / 2 and not self.refusing
        light = low if busy is None else busy < AT_EASE and delay < 1.0
        self.x += 0.3 * light * (delay - self.x)  # no queueing in such a latency
        self.x = min(max(self.x, 0.02), X_MAX)
        self.target = max(self.least_target, TARGET_ROOM * self.x)
        error = delay - self.target
        if light and busy is not None:  # whatever makes the latency, it is not that servers have too much
            self.admit = min(RISE * self.admit, max(self.foresight.bears(ready), DRAIN * through))
            self.refusing, self.delta, self.error = self.admit < 1.0, 0.0, error
            return
        # The paper measures E[X] off line, for one core; here it is what makes the model give the delay seen.
        busy = min(max(1.0 - self.x / max(delay, 1e-6), 0.1), 0.98)
        work = busy / (per_server * (through if self.refusing and through else self.admit))  # utilization law
        self.work += (0.5 if self.work else 1.0) * (work - self.work)
        if self.refusing:
            self.learn(error)
        elif error <= 0.0:
            return
        self.refusing = True
        model = min(max((self.target - self.x) / (per_server * self.work * self.target), FLOOR), 1.0)
        delta = min(max(-self.theta1 * error / self.theta2, -1.0), 1.0)
        self.admit = min(max(model + delta, FLOOR, DRAIN * through), 1.0)
        self.error, self.delta = error, self.admit - model
        if self.admit >= 1.0:
            self.refusing, self.delta = False, 0.0


class SheddingOrder:
    """Spreads the mean admission over buckets (class, within or over quota): least worth goes first."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.counts = [0.0] * (2 * len(settings.classes))
        self.admit = [1.0] * len(self.counts)
        self.tenant_rate, self.tenant_count = [0.0] * len(settings.tenants), [0] * len(settings.tenants)

    def bucket(self, arrival: api.Arrival, rng: Random) -> int:
        """Count an arrival; which of a tenant's requests lie over its quota is drawn at random."""
        bucket = 2 * arrival.class_index
        if 0 <= arrival.tenant < len(self.tenant_rate):
            self.tenant_count[arrival.tenant] += 1
            rate = self.tenant_rate[arrival.tenant] * self.settings.peers
            quota = self.settings.tenants[arrival.tenant].quota_per_s
            if rate > quota > 0.0 and rng.random() * rate > quota:
                bucket += 1
        self.counts[bucket] += 1.0
        return bucket

    def revise(self, mean: float, seconds: float, latency: list[LatencyStats]) -> None:
        """Fill the refused share 1 - mean from the least worthy bucket on; the floor holds for the mean only.

        Danger: a tenant at many times its quota, admitted at a floor, crowds out what the others are owed.
        """
        for i, count in enumerate(self.tenant_count):
            self.tenant_rate[i] += min(1.0, seconds / TENANT_S) * (count / seconds - self.tenant_rate[i])
            self.tenant_count[i] = 0
        worth = []
        for i, cls in enumerate(self.settings.classes):
            value = cls.worth if self.settings.worth_by_work else cls.worth / max(1.0, latency[i].mean)
            worth += [value, value * self.settings.over_quota_worth]
        refuse = (1.0 - mean) * sum(self.counts)
        for i in sorted(range(len(worth)), key=worth.__getitem__):
            cut = min(refuse, self.counts[i])
            self.admit[i] = 1.0 - cut / self.counts[i] if self.counts[i] > 0.0 else 1.0
            refuse -= cut
            self.counts[i] *= 0.7


class SlowStart:
    """Keeps all nodes together under what a server that has just started can do."""

    def __init__(self, settings: api.Settings) -> None:
        self.share, self.span, self.crowd = settings.cold_share, settings.cold_ms, max(1, settings.peers / 2)
        self.per_server = 0.0  # this node's even share a server and millisecond

    def warmth(self, server: Server, now: float) -> float:
        """The least share of its full capacity that the server has by now."""
        age = now - server.row.started_ms
        if server.row.started_ms <= 0.0 or age >= self.span or self.span <= 0.0:
            return 1.0
        return min(1.0, server.boost * (self.share + (1.0 - self.share) * max(0.0, age) / self.span))

    def report(self, server: Server, busy: float) -> None:
        """A cold server at ease may be given more; of many nodes each one sees few of its reports."""
        server.boost = max(1.0, server.boost * (AT_EASE_STEP if busy < AT_EASE else TIGHT_STEP) ** self.crowd)

    def allows(self, server: Server, now: float) -> bool:
        """Danger: cold servers falling over when nodes that cannot see each other all try them at once."""
        warmth = self.warmth(server, now)
        earned = (now - server.tokens_at) * self.per_server * warmth
        server.tokens, server.tokens_at = min(1.0, server.tokens + earned), now
        return warmth >= 1.0 or server.tokens >= 1.0


class Health:
    """Outlier ejection by failures, with a cap; the way back is the fading of a bad figure."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.fleet = rng, 0.0
        self.ejected: list[Server] = []

    def record(self, server: Server, gain: float, failed: bool, now: float, ready: int) -> None:
        server.failing += gain * (failed - server.failing)
        self.fleet += 0.02 * (failed - self.fleet)
        server.ejections *= server.failing >= 0.05
        server.trial = server.trial and failed
        if failed and server.failing >= max(EJECT_AT, min(0.9, OVER_FLEET * self.fleet)):
            self.eject(server, now, MAX_EJECTED * ready)

    def eject(self, server: Server, now: float, most: float) -> None:
        """Leave it out for a while, doubled each time in a row; it comes back on trial."""
        self.ejected = [s for s in self.ejected if s.ejected_until > now]
        if server in self.ejected or len(self.ejected) + 1 > most:
            return
        span = min(EJECT_MS * 2.0**server.ejections, EJECT_MAX_MS) * self.rng.uniform(0.75, 1.25)
        self.ejected.append(server)
        server.ejected_until, server.ejections, server.trial = now + span, server.ejections + 1, True
        server.load, server.known_at = max(server.load, RETURN_LOAD), now + span


class Split:
    """Random choice of a server, weighted against its last known load, fading to even with age."""

    def __init__(self, settings: api.Settings, slow_start: SlowStart, rng: Random) -> None:
        self.settings, self.slow_start, self.rng = settings, slow_start, rng
        self.levels: dict[tuple[int, int], float] = {}  # usual log figure: of zones' latencies, of reports
        self.table, self.weights, self.sums = list[Server](), list[float](), list[float]()
        self.due_at, self.spill, self.draw = -math.inf, 0.0, rng.random()
        self.cov, self.var, self.trust, self.homes = 0.05, 0.1, 0.5, Homes(settings.peers)
        self.aperture = Aperture(settings.rank, settings.peers)

    def observe(self, server: Server, figure: float, source: int, gain: float, now: float) -> None:
        """Take a load figure; what counts is its log over the usual one, so that any unit serves."""
        if not 0.0 < figure < math.inf:
            return  # NaN and absurd reports must not poison the weights
        # A crossing's way there and back is no load: latencies are held against the usual one of their zone.
        level = (source, server.row.zone if source == LATENCY else -1)
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
                step = rate * load * min((now - item.sized_at) / 1000.0, 2.0)
                item.size = min(max(item.size - step, -SIZE_MAX), SIZE_MAX)
                item.sized_at = now
        prior = group.load + (server.load - group.load) * self.fade(server, now)
        server.load, server.known_at = prior + gain * (load - prior), now
        group.count += gain > 0.0
        group.load += min(gain, max(GROUP_GAIN, 1.0 / (group.count + 1))) * (load - group.load)

    def fade(self, server: Server, now: float) -> float:
        return min(1.0, math.exp((server.known_at - now) / FADE_MS))

    def size(self, server: Server) -> float:
        return server.row.size_hint * math.exp(server.size + server.group.size)

    def weight(self, server: Server, now: float) -> float:
        """The aged figure: a server not heard of fades to the usual load of its zone and kind."""
        usual = server.group.load
        log = -SHARPNESS * self.trust * (usual + (server.load - usual) * self.fade(server, now))
        if server.row.zone != self.settings.zone:
            log -= PRICE_SCALE * self.settings.cross_zone_price * (1.0 - self.spill)
        sound = (1.0 - server.failing) ** 2
        return math.exp(log) * sound * self.slow_start.warmth(server, now) * self.size(server) + 1e-9

    def pick(self, now: float, node: Node, key: str, fits: Callable[[Server], bool]) -> Server | None:
        """One weighted draw in O(log n), or by the request's key; a scan only when few servers fit."""
        if now >= self.due_at:
            listed, usable = list(node.servers.values()), [s.usable(now) for s in node.servers.values()]
            self.table = [listed[i] for i in self.aperture.near([s.salt for s in listed], usable)]
            self.weights = [self.weight(s, now) for s in self.table]
            self.sums = list(accumulate(self.weights))
            self.due_at = now + TABLE_MS
            self.trust = min(max(self.cov / self.var, TRUST_MIN), 1.0)
        crowd, last = 1.0 + node.in_flight / max(1, len(self.table)), None
        for server in self.drawn(key if self.settings.warm_keys else ""):
            if fits(server):
                # This node's own requests in flight are load known at once: draw again in proportion.
                share = crowd / (1.0 + server.out / self.size(server))
                if last is None or share > last[0]:
                    last = (share, server)
                if self.rng.random() < share**OWN_SHARPNESS:
                    return server
        if last is not None:
            return last[1]
        warm = (s for s in node.servers.values() if self.slow_start.warmth(s, now) >= 1.0)
        rest = [s for s in self.table if fits(s)] or [s for s in warm if fits(s)]
        return self.rng.choices(rest, [self.weight(s, now) for s in rest])[0] if rest else None

    def drawn(self, key: str) -> Iterable[Server]:
        """Servers at random by their weights. With a key the key's hash is the chance: as long as weights
        hold, it meets the same few servers, and at every node, where its data are warm (spread/keys.py)."""
        if key:
            salts = [s.salt for s in self.table]
            for i in self.homes.order(key, salts, self.weights, PICK_TRIES, self.rng.random()):
                yield self.table[i]
            return
        for _ in range(PICK_TRIES if self.table else 0):
            self.draw = (self.draw + GOLDEN) % 1.0
            yield self.table[bisect_right(self.sums, self.draw * self.sums[-1], 0, len(self.sums) - 1)]


class Balancer(Node):
    """One node's decisions: takes events, returns actions. Clock and random source come from the caller."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.latency = [LatencyStats(c.aim_ms * SEED_X, c.aim_ms * SEED_X) for c in settings.classes]
        late = sum(c.late_worth for c in settings.classes) / len(settings.classes)
        self.admission = Admission(settings.peers, late, settings.warm_keys)
        self.order, self.health, self.slow_start = SheddingOrder(settings), Health(rng), SlowStart(settings)
        self.split = Split(settings, self.slow_start, rng)
        self.retry_tokens, self.probe_tokens, self.backoff = RETRY_BURST / 2, 0.0, BACKOFF_MS
        self.probes = settings.may_probe and settings.reports_in_probes and not settings.reports_in_answers
        self.span = min(PERIOD_MS, PERIOD_AIMS * min(c.aim_ms for c in settings.classes))
        self.groups: dict[tuple[int, int], Group] = {}  # by zone and kind

    def started(self, now: float) -> None:
        """Phases are drawn: nodes started together must not revise, or call discovery, in step."""
        self.period = Period(now)
        self.after(self.rng.uniform(0.2, 1.0) * self.span, self.end_period)
        if self.settings.subscribe:
            spread = min(BACKOFF_MS * max(2, self.settings.peers / 8), FIRST_ASK * self.settings.must_ask_ms)
            self.after(self.rng.uniform(1, spread), self.subscribe)

    def list_news(self, failed: bool, now: float) -> None:
        self.split.due_at = now  # a drain must act on the very next pick
        self.backoff = min(self.backoff * 2.0, self.settings.must_ask_ms / 2.0) if failed else BACKOFF_MS
        if failed:  # asked again with growing, jittered waits: no storm of calls
            self.after(self.backoff * self.rng.uniform(0.25, 0.75), self.subscribe)

    def capacity(self, now: float) -> float:
        """Servers that take work, a cold one by its warmth."""
        return sum(self.slow_start.warmth(s, now) for s in self.servers.values() if s.usable(now))

    def look_ahead(self, now: float) -> None:
        """Fewer servers may be left: refuse from now on what they cannot bear, the delay tells too late."""
        admission, share = self.admission, self.admission.foresight.look(self.capacity(now))
        if share < admission.admit:
            admission.admit, admission.refusing, admission.delta = share, True, 0.0
            self.begin_period(now)

    def begin_period(self, now: float) -> None:
        """From here on by the admission as it stands."""
        self.order.revise(self.admission.admit, max(now - self.period.start, 1.0) / 1000.0, self.latency)
        self.period = Period(now)

    def listed(self, server: Server) -> None:
        """A new process: the first token is drawn, so that the nodes do not all meet it cold at once."""
        server.salt = crc32(server.row.name.encode()) * HASH_MULTIPLIER & 0xFFFFFFFF
        server.tokens, server.tokens_at = self.rng.random(), server.known_at
        server.group = self.groups.setdefault((server.row.zone, server.row.kind), server.group)

    def arrived(self, request: Request, now: float) -> None:
        if not self.in_time(request, now):  # nor is it counted: however many come, they say nothing of load
            return self.finish(request)
        self.period.arrivals += 1
        self.period.returned += request.arrival.is_retry
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.probe_some()
        if now >= self.split.due_at:
            self.look_ahead(now)
        bucket = self.order.bucket(request.arrival, self.rng)
        if self.admission.refusing and self.rng.random() >= self.order.admit[bucket]:
            self.period.refused += 1
            self.finish(request)
        else:
            self.dispatch(request, now)

    def may_send(self, request: Request, server: Server, now: float) -> bool:
        """The guard of the four rules for every send: one answer, one effect, drains, cold servers."""
        spent = now >= request.arrival.deadline or len(request.attempts) >= self.settings.max_attempts
        if request.done or spent or not server.ready:
            return False
        for a in request.attempts:  # no second copies: they cost more than they save (docs/design.md)
            spent = spent or a.status is None or not self.may_follow(a, request.cls, server.row, now)
        return not spent and self.slow_start.allows(server, now)

    def may_follow(self, a: Attempt, cls: api.RequestClass, row: api.Endpoint, now: float) -> bool:
        """Whether an attempt at that endpoint after this one is no second effect."""
        free = cls.effect == Effect.SAFE or not a.may_have_run()
        known = cls.effect == Effect.KEYED and now < a.sent_at + cls.dedup_ms
        known = known and (cls.scope == Scope.ALL or row.zone == a.server.row.zone)
        return free or (known and (cls.scope != Scope.CELL or row.cell == a.server.row.cell))

    def may_refuse(self, request: Request) -> bool:
        """The guard for every refusal, which says that trying again is harmless."""
        cls = request.cls
        free = cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == Scope.ALL)
        return free or not any(a.may_have_run() for a in request.attempts)

    def finish(self, request: Request) -> None:
        """The one final answer."""
        if not self.may_refuse(request):
            return self.fail(request)
        wait = min(self.settings.max_retry_after_ms, RETRY_AFTER * request.cls.aim_ms)
        self.actions.append(api.Refuse(request.arrival.request_id, wait * self.rng.uniform(0.5, 1.0)))
        self.close(request)

    def fail(self, request: Request) -> None:
        self.actions.append(api.Fail(request.arrival.request_id))
        self.close(request)

    def dispatch(self, request: Request, now: float) -> None:
        """Send an attempt where one fits, else park or answer."""
        if request.done:
            return
        used = [a.server for a in request.attempts]

        def fits(server: Server) -> bool:
            out = now < server.ejected_until or (server.trial and server.out > 0)
            return not out and server not in used and self.may_send(request, server, now)

        server = self.split.pick(now, self, request.arrival.key, fits)
        if server is not None:
            # The time-out is the client's own: a failure told at that instant is the final answer in time.
            attempt = self.start_attempt(request, server, request.arrival.deadline - now, now)
            server.tokens -= 1.0
            stats = self.latency[request.arrival.class_index]
            late = max(stats.mean + OVERDUE_DEVS * stats.dev, OVERDUE_LEAST * request.cls.aim_ms)
            late = min(late, request.cls.aim_ms)  # where answers are quick, a pause of this node is no hang
            self.after(late, lambda t: self.overdue(request, attempt, t, 1))
        elif now + PARK_MS < min(request.arrival.deadline - ANSWER_MARGIN_MS, request.aim_at):
            self.after(PARK_MS, lambda t: self.dispatch(request, t))
        else:
            self.finish(request)

    def overdue(self, request: Request, attempt: Attempt, now: float, first: int = 0) -> None:
        """Danger: a jammed server answers late and so reports late; the age of what it holds is evidence."""
        if attempt.status is None:
            server, age = attempt.server, now - attempt.sent_at
            stats = self.latency[request.arrival.class_index]
            self.split.observe(server, age / stats.mean, LATENCY, OVERDUE_GAIN, now)
            self.after((OVERDUE_AGAIN - 1.0) * age, lambda t: self.overdue(request, attempt, t))
            # Danger: a server that hangs says nothing, and eats what it is sent until clients give up; where
            # it answers others, one connection may still have fallen silent.
            quiet = server.heard_at < attempt.sent_at
            server.silent += first * quiet
            hangs = quiet and (server.silent >= SILENT_MOST or (server.trial and not first))
            if hangs:
                self.health.eject(server, now, MAX_EJECTED * self.ready)
            if hangs or age > stats.mean + LOST_DEVS * stats.dev:
                rest = self.servers.keys() - {a.server.row.name for a in request.attempts}
                fit = (s for s in map(self.servers.get, rest) if s and s.ready and now >= s.ejected_until)
                elsewhere = any(self.may_follow(attempt, request.cls, s.row, now) for s in fit)
                if elsewhere and self.settings.may_cancel and self.again(request, now):
                    self.actions.append(api.Cancel(request.arrival.request_id, len(request.attempts) - 1))

    def ended(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        self.evidence(request, attempt, event, now)
        if request.done:
            return
        if event.status == Status.REJECTED:  # no server will take it
            return self.fail(request)
        cost = event.status not in (Status.UNREACHABLE, Status.NOT_SENT)  # those have cost no server anything
        final = request.cls.effect == Effect.UNSAFE and attempt.may_have_run()
        if final or not self.again(request, now, cost):
            return self.finish(request)
        self.retry_tokens -= cost
        self.dispatch(request, now)

    def again(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can still be useful and the budget lasts: retries must make no storm."""
        return self.retry_tokens >= cost and self.in_time(request, now)

    def in_time(self, request: Request, now: float) -> bool:
        """Whether an answer may still come before the client has gone."""
        usual = self.latency[request.arrival.class_index].mean
        return request.arrival.deadline - now >= ANSWER_MARGIN_MS + usual / 2

    def evidence(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        """What an outcome says of the server and, for d, of all; quick errors say nothing of load."""
        server, status, aim = attempt.server, event.status, request.cls.aim_ms
        stats, delay = self.latency[request.arrival.class_index], (now - attempt.sent_at) / aim
        self.report(server, event.report, now)
        if status == Status.TIMEOUT and now - attempt.sent_at < stats.mean:
            return  # its client's patience was short, which says nothing of the server
        load = status == Status.TIMEOUT and server.heard_at >= attempt.sent_at  # it answers others: no fault
        if status in (Status.OK, Status.ERROR, Status.OVERLOADED, Status.REJECTED):
            server.heard_at, server.silent, server.absent = now, 0, 0
        if status == Status.OK:
            gain = 0.0 if self.settings.reports_in_answers else LATENCY_GAIN
            self.split.observe(server, delay * aim / stats.mean, LATENCY, gain, now)
            stats.add(delay * aim, STATS_GAIN)
            self.health.record(server, OK_GAIN, False, now, self.ready)
        elif status == Status.OVERLOADED:
            self.split.observe(server, FULL_FIGURE, LATENCY, OVERDUE_GAIN, now)
            delay = FULL_DELAY
        elif status == Status.UNREACHABLE:
            self.health.record(server, ERROR_GAIN, True, now, self.ready)
            server.absent += 1
            if server.absent >= ABSENT_MOST:  # nothing is there: however many, none of them is to be tried
                self.health.eject(server, now, math.inf)
        elif not load and status not in (Status.CANCELLED, Status.NOT_SENT, Status.REJECTED):
            gain = TIMEOUT_GAIN if status == Status.TIMEOUT else ERROR_GAIN
            self.health.record(server, gain, True, now, self.ready)
        if (load or status in (Status.OK, Status.OVERLOADED)) and server.load < OUTLIER:
            # One bad server must not shed traffic that others could carry, nor one long wait outweigh many.
            delay = min(delay, MOST_DELAY)
            self.period.add(delay, delay * aim, status != Status.OVERLOADED)

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        if report and "utilization" in report:
            self.slow_start.report(server, report["utilization"])
            self.period.busy_sum += report["utilization"]
            self.period.busy_count += 1
        for name in ("in_flight", "queued", "latency_ms", "utilization"):
            if report and name in report:
                return self.split.observe(server, 1.0 + report[name], REPORT, REPORT_GAIN, now)

    def end_period(self, now: float) -> None:
        self.after(self.span * self.rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER), self.end_period)
        period, seconds = self.period, max(now - self.period.start, 1.0) / 1000.0
        if seconds * 1000.0 < (MAX_PERIODS if 0 < period.count < MIN_SAMPLES else LEAST_PERIOD) * self.span:
            return
        fresh = float(period.arrivals - period.returned)
        if not self.settings.clients_mark_retries:  # refused clients who return are not new load
            fresh = max(period.arrivals - RETURN_SHARE * period.refused, 0.5 * period.arrivals)
        busy = period.busy_sum / period.busy_count if period.busy_count >= MIN_SAMPLES else None
        through = min(1.0, period.held / max(1, period.arrivals))
        delay = self.delay(period, seconds, now)
        self.admission.revise(fresh / seconds, delay, self.capacity(now), busy, through)
        even = period.arrivals / seconds / 1000.0 / max(1, len(self.split.table))
        self.slow_start.per_server += 0.5 * (even - self.slow_start.per_server)
        over = (self.admission.delay / self.admission.target - SPILL_FROM) / SPILL_SPAN
        self.split.spill = min(max(over, 0.0), 1.0)
        self.begin_period(now)

    def delay(self, period: Period, seconds: float, now: float) -> float | None:
        """Mean delay in aims: of the served and, by a latency's share in the period, of those out (Little).

        Danger: where answers take as long as a period, the served ones tell of the admission before last.
        """
        out = [(now - a.sent_at, r.cls.aim_ms) for r, a in self.outstanding() if a.server.load < OUTLIER]
        if not period.count:
            oldest = max((age / aim for age, aim in out), default=0.0)  # a single slow request is no jam
            return oldest if len(out) >= MIN_SAMPLES and oldest > self.admission.target else None
        served, span = period.delay_sum / period.count, seconds * 1000.0
        # Danger: full servers turn away at once. Counted as passing through, they make a jam look quick.
        held = max(1, period.held)
        little = sum(1.0 / aim for _, aim in out) * span / held
        return served + min(1.0, period.latency_sum / held / span) * (little - served)

    def probe_some(self) -> None:
        """Where reports come by probe only, make up for what this node's own requests do not show."""
        self.probe_tokens += PROBE_MOST / (1.0 + self.slow_start.per_server * FADE_MS) ** 2
        if self.probes and self.split.table and self.probe_tokens >= 1.0:
            self.probe_tokens = 0.0
            drawn = self.rng.choices(self.split.table, cum_weights=self.split.sums, k=PROBE_DRAWS)
            self.actions.append(api.Probe(min(drawn, key=lambda s: s.known_at).row.name))

    def probed(self, server: Server, event: api.ProbeResult, now: float) -> None:
        if event.status == Status.OK:
            self.report(server, event.report, now)
        elif event.status == Status.TIMEOUT:
            self.split.observe(server, FULL_FIGURE, LATENCY, OVERDUE_GAIN, now)
