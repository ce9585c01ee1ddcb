"""Who is let in. Delays are in aims: a latency over its class's aim, so one target serves all classes."""

import math
from random import Random

from lupinlink.interface import Arrival, LatencyStats, Settings
from lupinlink.limits.capacity_bound import CapacityBound

BASE_TARGET_DELAY, LATE_VALUE_TARGET_DELAY = (
    0.45,
    0.4,
)  # D_ref: so much of the aim, and more the more a late answer is worth
X_MAX, TARGET_ROOM, INITIAL_SERVICE_TIME = (
    0.6,
    1.35,
    0.35,
)  # bound on E[X]; target over it; before a light period was seen
# Of what servers get through, so much is let in at least: waiting drains, yet they never fall idle. A
MIN_SHARE_OF_THROUGHPUT, MAX_RECOVERY_FACTOR = (
    0.85,
    1.5,
)  # period at ease lets in so much more: all at once would jam them again.
MIN_ADMIT_PROBABILITY = 0.1  # the paper's lower bound of P_a; it holds for the mean over all arrivals
INITIAL_THETA, THETA2_MIN = (
    (0.8, 2.0),
    0.5,
)  # starting model; a smaller slope would turn noise into full swings
P0, P_MIN, P_MAX = 1.0, 0.01, 10.0  # P = p_0 I; the estimator neither falls asleep nor blows up
AT_EASE, TENANT_S = 0.7, 2.0  # reported use of servers with room; a flood must show before queues fill


class Admission:
    """Mean admission probability: processor-sharing predictor plus RLS correction (paper, eqs. 4, 9-11)."""

    def __init__(self, peers: int, late_worth: float, warm_keys: bool = False) -> None:
        self.peers, self.admit_probability, self.refusing = peers, 1.0, False
        self.target = self.min_target = BASE_TARGET_DELAY + LATE_VALUE_TARGET_DELAY * late_worth
        self.x, self.work = (
            INITIAL_SERVICE_TIME,
            0.0,
        )  # E[X] in aims, and in seconds of one server (0: not yet known)
        self.theta1, self.theta2 = INITIAL_THETA
        self.p11, self.p12, self.p22 = P0, 0.0, P0
        self.error = self.delta = self.delay = 0.0  # y(k), the applied u(k), d
        self.capacity_bound = CapacityBound(warm_keys)

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
        self.capacity_bound.observe_period(busy, ready, max(through, self.admit_probability))
        if rate <= 0.0 or delay is None:
            self.admit_probability, self.refusing, self.delta, self.error = 1.0, False, 0.0, 0.0
            return
        self.delay = delay
        per_server = rate * self.peers / max(1, ready)
        low = delay < self.target / 2 and not self.refusing
        light = low if busy is None else busy < AT_EASE and delay < 1.0  # no queueing in such a latency
        self.x = min(max(self.x + 0.3 * light * (delay - self.x), 0.02), X_MAX)
        self.target = max(self.min_target, TARGET_ROOM * self.x)
        error = delay - self.target
        if light and busy is not None:  # whatever makes the latency, it is not that servers have too much
            self.admit_probability = min(
                MAX_RECOVERY_FACTOR * self.admit_probability,
                max(self.capacity_bound.admissible_share(ready), MIN_SHARE_OF_THROUGHPUT * through),
            )
            self.refusing, self.delta, self.error = self.admit_probability < 1.0, 0.0, error
            return
        # The paper measures E[X] off line, for one core; here it is what makes the model give the delay seen.
        busy = min(max(1.0 - self.x / max(delay, 1e-6), 0.1), 0.98)
        work = busy / (
            per_server * (through if self.refusing and through else self.admit_probability)
        )  # utilization law
        self.work += (0.5 if self.work else 1.0) * (work - self.work)
        if self.refusing:
            self.learn(error)
        elif error <= 0.0:
            return
        model = min(
            max((self.target - self.x) / (per_server * self.work * self.target), MIN_ADMIT_PROBABILITY), 1.0
        )
        delta = min(max(-self.theta1 * error / self.theta2, -1.0), 1.0)
        self.admit_probability = min(
            max(model + delta, MIN_ADMIT_PROBABILITY, MIN_SHARE_OF_THROUGHPUT * through), 1.0
        )
        self.refusing = self.admit_probability < 1.0
        self.error, self.delta = error, (self.admit_probability - model) * self.refusing


class SheddingOrder:
    """Spreads the mean admission over buckets (class, within or over quota): least worth goes first."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.counts = settings, [0.0] * (2 * len(settings.classes))
        self.admit_probability = [1.0] * len(self.counts)
        self.tenant_rate, self.tenant_count = [0.0] * len(settings.tenants), [0] * len(settings.tenants)

    def bucket(self, arrival: Arrival, rng: Random) -> int:
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
            value = cls.value if self.settings.value_by_work else cls.value / max(1.0, latency[i].mean)
            worth += [value, value * self.settings.over_quota_value]
        refuse = (1.0 - mean) * sum(self.counts)
        for i in sorted(range(len(worth)), key=worth.__getitem__):
            cut = min(refuse, self.counts[i])
            self.admit_probability[i] = 1.0 - cut / self.counts[i] if self.counts[i] > 0.0 else 1.0
            refuse -= cut
            self.counts[i] *= 0.7
