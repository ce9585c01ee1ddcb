"""Admission control: which share of arrivals is admitted, and which requests are shed first.

Delays are multiples of the target latency of a request's class, which lets one controller serve all classes.
"""

import math
from random import Random

from lupinlink.interface import Arrival, LatencyStats, Settings
from lupinlink.limits.capacity_bound import CapacityBound

# Reference delay D_ref: the base, plus this much times the value that late answers keep.
BASE_TARGET_DELAY, LATE_VALUE_TARGET_DELAY = 0.45, 0.4
# Bound on the service time, target delay over it, and its estimate until a period of low load was seen.
MAX_SERVICE_TIME, TARGET_HEADROOM, INITIAL_SERVICE_TIME = 0.6, 1.35, 0.35
# At least this share of what servers complete is admitted: queues drain, but servers never fall idle. While
# utilization is low, the probability grows by this factor per period: all at once would overload them again.
MIN_SHARE_OF_THROUGHPUT, MAX_RECOVERY_FACTOR = 0.85, 1.5
MIN_ADMIT_PROBABILITY = 0.1  # the paper's lower bound of P_a, for the mean over all arrivals
INITIAL_THETA, MIN_THETA2 = (0.8, 2.0), 0.5  # a smaller slope would turn noise into full swings
# P = p_0 I, bounded on both sides so that the estimator keeps adapting and stays stable.
INITIAL_COVARIANCE, MIN_COVARIANCE, MAX_COVARIANCE = 1.0, 0.01, 10.0
# Reported utilization below which servers have room; seconds over which a tenant's rate is smoothed, short
# enough to notice a flood before queues fill.
LOW_UTILIZATION, TENANT_RATE_SPAN_S = 0.7, 2.0


class Admission:
    """Mean admission probability: processor-sharing predictor plus RLS correction (paper, eqs. 4, 9-11)."""

    def __init__(self, peers: int, late_value: float, warm_keys: bool = False) -> None:
        self.peers, self.admit_probability, self.refusing = peers, 1.0, False
        self.target = self.min_target = BASE_TARGET_DELAY + LATE_VALUE_TARGET_DELAY * late_value
        # E[X] in target latencies, and in seconds of one server's work (0: not known yet)
        self.service_time, self.service_demand_s = INITIAL_SERVICE_TIME, 0.0
        self.theta1, self.theta2 = INITIAL_THETA
        self.p11, self.p12, self.p22 = INITIAL_COVARIANCE, 0.0, INITIAL_COVARIANCE
        self.error = self.correction = self.delay = 0.0  # y(k), the applied u(k), d
        self.capacity_bound = CapacityBound(warm_keys)

    def learn(self, error: float) -> None:
        """RLS step for y(k+1) = th1 y(k) + th2 u(k): eqs. (9) and (10) with n=1, m=0, d=1."""
        a, b = self.error, self.correction
        pa, pb = self.p11 * a + self.p12 * b, self.p12 * a + self.p22 * b
        scale = 1.0 / (1.0 + a * pa + b * pb)
        prediction_error = error - a * self.theta1 - b * self.theta2
        self.p11 = min(max(self.p11 - scale * pa * pa, MIN_COVARIANCE), MAX_COVARIANCE)
        self.p22 = min(max(self.p22 - scale * pb * pb, MIN_COVARIANCE), MAX_COVARIANCE)
        limit = math.sqrt(self.p11 * self.p22)
        self.p12 = min(max(self.p12 - scale * pa * pb, -limit), limit)
        self.theta1 = min(max(self.theta1 + (self.p11 * a + self.p12 * b) * prediction_error, 0.0), 2.0)
        self.theta2 = min(
            max(self.theta2 + (self.p12 * a + self.p22 * b) * prediction_error, MIN_THETA2), 10.0
        )

    def revise(
        self,
        rate: float,
        delay: float | None,
        capacity: float,
        utilization: float | None = None,
        served_share: float = 0.0,
    ) -> None:
        """Close a control period.

        ``rate``: arrivals per second at this node. ``delay``: their mean delay in target latencies, None if
        unknown. ``capacity``: ready servers, cold ones in part. ``utilization``: mean of what servers report,
        None where too few do. ``served_share``: share of arrivals that servers accepted, 0 to 1.
        """
        self.capacity_bound.observe_period(utilization, capacity, max(served_share, self.admit_probability))
        if rate <= 0.0 or delay is None:
            self.admit_probability, self.refusing, self.correction, self.error = 1.0, False, 0.0, 0.0
            return
        self.delay = delay
        per_server = rate * self.peers / max(1, capacity)
        low_delay = delay < self.target / 2 and not self.refusing
        # Low utilization counts only with a delay below the target latency, which has no queueing in it.
        light = low_delay if utilization is None else utilization < LOW_UTILIZATION and delay < 1.0
        self.service_time = min(
            max(self.service_time + 0.3 * light * (delay - self.service_time), 0.02), MAX_SERVICE_TIME
        )
        self.target = max(self.min_target, TARGET_HEADROOM * self.service_time)
        error = delay - self.target
        if light and utilization is not None:  # whatever causes the latency, servers are not overloaded
            self.admit_probability = min(
                MAX_RECOVERY_FACTOR * self.admit_probability,
                max(self.capacity_bound.admissible_share(capacity), MIN_SHARE_OF_THROUGHPUT * served_share),
            )
            self.refusing, self.correction, self.error = self.admit_probability < 1.0, 0.0, error
            return
        # The paper measures E[X] offline, for one core; here it is what makes the model yield the delay seen.
        utilization = min(max(1.0 - self.service_time / max(delay, 1e-6), 0.1), 0.98)
        demand_s = utilization / (  # utilization law
            per_server * (served_share if self.refusing and served_share else self.admit_probability)
        )
        self.service_demand_s += (0.5 if self.service_demand_s else 1.0) * (demand_s - self.service_demand_s)
        if self.refusing:
            self.learn(error)
        elif error <= 0.0:
            return
        model = min(
            max(
                (self.target - self.service_time) / (per_server * self.service_demand_s * self.target),
                MIN_ADMIT_PROBABILITY,
            ),
            1.0,
        )
        correction = min(max(-self.theta1 * error / self.theta2, -1.0), 1.0)
        self.admit_probability = min(
            max(model + correction, MIN_ADMIT_PROBABILITY, MIN_SHARE_OF_THROUGHPUT * served_share), 1.0
        )
        self.refusing = self.admit_probability < 1.0
        self.error, self.correction = error, (self.admit_probability - model) * self.refusing


class SheddingOrder:
    """Spreads the mean admission probability over buckets (class, within or over quota) by their value."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.counts = settings, [0.0] * (2 * len(settings.classes))
        self.admit_probability = [1.0] * len(self.counts)
        self.tenant_rate, self.tenant_count = [0.0] * len(settings.tenants), [0] * len(settings.tenants)

    def count_arrival(self, arrival: Arrival, rng: Random) -> int:
        """Count an arrival and return its bucket; which of a tenant's requests are over quota is random."""
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
        """Refuse the share 1 - mean of arrivals, from the bucket of least value upwards.

        A single bucket may go below the floor of the mean: a tenant at many times its quota, admitted at the
        floor, would crowd out what other tenants are entitled to.
        """
        for i, count in enumerate(self.tenant_count):
            self.tenant_rate[i] += min(1.0, seconds / TENANT_RATE_SPAN_S) * (
                count / seconds - self.tenant_rate[i]
            )
            self.tenant_count[i] = 0
        values = []
        for i, cls in enumerate(self.settings.classes):
            value = cls.value if self.settings.value_by_work else cls.value / max(1.0, latency[i].mean)
            values += [value, value * self.settings.over_quota_value]
        refuse = (1.0 - mean) * sum(self.counts)
        for i in sorted(range(len(values)), key=values.__getitem__):
            refused = min(refuse, self.counts[i])
            self.admit_probability[i] = 1.0 - refused / self.counts[i] if self.counts[i] > 0.0 else 1.0
            refuse -= refused
            self.counts[i] *= 0.7
