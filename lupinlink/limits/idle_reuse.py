"""Decides which idle client connections to keep, by the estimated probability that they are used again.

A client may send one request, keep its connection and never use it again. The number of its connections is
limited on its own side, where the proxy cannot see it, so unused connections can keep its next requests from
being sent at all. Closing a connection that would have been used again costs a new connection. An idle
connection is therefore closed once its reuse probability falls below a threshold that rises with the share of
connection slots in use.

The probability is the product-limit estimate (Kaplan and Meier, 1958) with two competing events: the
connection is used again, or the client closes it. Connections that are still idle or were closed by the proxy
count as censored observations, so that clients which never come back are detected within tenths of a second
and not only when they close their connections. Performs no I/O; the caller passes the current time in
milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

AGE_BUCKETS_MS = (0.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)  # lower bounds
# Prior share of connections reused within each age bucket; most that are reused at all are reused soon.
PRIOR_REUSE = (0.3, 0.3, 0.3, 0.3, 0.2, 0.1, 0.05, 0.02)
# Weights of the priors in observations: of the global estimate for one address, of PRIOR_REUSE for the global
# one.
ADDRESS_PRIOR_WEIGHT, GLOBAL_PRIOR_WEIGHT = 8.0, 4.0
HALF_LIFE_MS = 5000.0  # of the weight of an observation
REFRESH_MS = 100.0  # minimum interval between two updates of the probabilities
MAX_ADDRESSES = 64  # tracked individually; the least recently used one is dropped
# Shares of connection slots in use: up to the first all idle connections are kept, from the second on none
# is.
LOW_OCCUPANCY, HIGH_OCCUPANCY = 0.25, 0.75
# One idle connection in EXEMPT_EVERY is kept regardless: without such samples a low estimate would never be
# corrected. Each sample costs a slot for as long as it lasts, so they may take only this share of all slots.
EXEMPT_EVERY, MAX_EXEMPT_SHARE = 8, 0.02


class IdleEnd(Enum):
    """How an idle period ended."""

    REUSED = "asked again"
    CLOSED_BY_CLIENT = "left"
    CLOSED_BY_PROXY = "cut short by the proxy"


class History:
    """Exponentially decayed counts of idle periods by the age bucket in which they ended."""

    __slots__ = ("censored", "closed", "decayed_at", "reuse_probability", "reused")

    def __init__(self) -> None:
        self.reused = [0.0] * len(AGE_BUCKETS_MS)
        self.closed = [0.0] * len(AGE_BUCKETS_MS)
        self.censored = [0.0] * len(AGE_BUCKETS_MS)  # closed by the proxy in that bucket
        # Of a connection that has been idle up to that bucket.
        self.reuse_probability = [0.0] * len(AGE_BUCKETS_MS)
        self.decayed_at = -math.inf

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_MS)
        self.decayed_at = now
        for counts in (self.reused, self.closed, self.censored):
            counts[:] = [count * factor for count in counts]

    def update_probabilities(
        self, idle_counts: list[int], prior: list[float], prior_weight: float
    ) -> list[float]:
        """Recompute the probabilities and return the share reused within each age bucket.

        ``idle_counts``: numbers of connections now idle in each bucket; ``prior``: shares assumed with the
        weight of ``prior_weight`` observations.
        """
        survivors, reuse_probability = 0.0, 0.0
        shares = [0.0] * len(AGE_BUCKETS_MS)
        for i in reversed(range(len(AGE_BUCKETS_MS))):
            reused, closed = self.reused[i], self.closed[i]
            at_risk = prior_weight + survivors + reused + closed
            shares[i] = (prior_weight * prior[i] + reused) / at_risk
            reuse_probability = shares[i] + max(0.0, 1.0 - shares[i] - closed / at_risk) * reuse_probability
            self.reuse_probability[i] = reuse_probability
            survivors += reused + closed + self.censored[i] + idle_counts[i]
        return shares


class IdlePeriod:
    """The time that a connection is idle between two requests; ``exempt``: it is kept as a sample."""

    __slots__ = ("exempt", "history", "since")

    def __init__(self, history: History, since: float, exempt: bool) -> None:
        self.history, self.since, self.exempt = history, since, exempt


def age_bucket(age_ms: float) -> int:
    """Return the index of the age bucket."""
    return max(0, bisect_right(AGE_BUCKETS_MS, age_ms) - 1)


class IdleReuse:
    """Estimates the reuse probability of idle connections, in total and by client address."""

    def __init__(self, capacity: int) -> None:
        self._max_exempt = max(1, int(capacity * MAX_EXEMPT_SHARE))
        self._exempt = 0
        self._global = History()
        self._by_address: OrderedDict[str, History] = OrderedDict()
        self._count = 0
        self._refreshed_at = -math.inf
        self._global.update_probabilities([0] * len(AGE_BUCKETS_MS), list(PRIOR_REUSE), GLOBAL_PRIOR_WEIGHT)

    def __len__(self) -> int:
        """The number of tracked addresses."""
        return len(self._by_address)

    def idle_began(self, address: str, now: float) -> IdlePeriod:
        """Record that a connection from ``address`` has become idle."""
        exempt = self._is_exempt()
        self._count += 1
        self._exempt += exempt
        return IdlePeriod(self._history_of(address, now), now, exempt)

    def idle_ended(self, idle: IdlePeriod, now: float, end: IdleEnd) -> None:
        """Record how an idle period has ended."""
        self._exempt -= idle.exempt
        bucket = age_bucket(now - idle.since)
        for history in (self._global, idle.history):
            if end is IdleEnd.REUSED:
                history.reused[bucket] += 1.0
            elif end is IdleEnd.CLOSED_BY_CLIENT:
                history.closed[bucket] += 1.0
            else:
                history.censored[bucket] += 1.0

    def reuse_probability(self, address: str, age_ms: float = 0.0) -> float:
        """The probability, 0 to 1, that a connection from ``address``, idle for ``age_ms``, is used again."""
        return self._by_address.get(address, self._global).reuse_probability[age_bucket(age_ms)]

    def worth_keeping(self, address: str, occupancy: float) -> bool:
        """Whether to keep a connection whose request was just answered.

        ``occupancy``: share of connection slots in use, 0 to 1.
        """
        keep = self.reuse_probability(address) >= keep_threshold(occupancy) or self._is_exempt()
        self._count += not keep
        return keep

    def _is_exempt(self) -> bool:
        return (self._count + 1) % EXEMPT_EVERY == 0 and self._exempt < self._max_exempt

    def should_close(self, idle: IdlePeriod, occupancy: float, now: float) -> bool:
        """Whether to close a connection that is idle now; ``occupancy`` as for ``worth_keeping``."""
        return not idle.exempt and idle.history.reuse_probability[
            age_bucket(now - idle.since)
        ] < keep_threshold(occupancy)

    def refresh(self, idle_periods: Iterable[IdlePeriod], now: float) -> None:
        """Update all probabilities, at most every REFRESH_MS; ``idle_periods``: all present ones."""
        if now - self._refreshed_at < REFRESH_MS:
            return
        self._refreshed_at = now
        all_counts = [0] * len(AGE_BUCKETS_MS)
        by_history: dict[History, list[int]] = {}
        for idle in idle_periods:
            bucket = age_bucket(now - idle.since)
            all_counts[bucket] += 1
            by_history.setdefault(idle.history, [0] * len(AGE_BUCKETS_MS))[bucket] += 1
        self._global.decay(now)
        shares = self._global.update_probabilities(all_counts, list(PRIOR_REUSE), GLOBAL_PRIOR_WEIGHT)
        no_idle = [0] * len(AGE_BUCKETS_MS)
        for history in self._by_address.values():
            history.decay(now)
            history.update_probabilities(by_history.get(history, no_idle), shares, ADDRESS_PRIOR_WEIGHT)

    def _history_of(self, address: str, now: float) -> History:
        history = self._by_address.get(address)
        if history is None:
            history = self._by_address[address] = History()
            history.decayed_at, history.reuse_probability = now, list(self._global.reuse_probability)
            if len(self._by_address) > MAX_ADDRESSES:
                self._by_address.popitem(last=False)
        self._by_address.move_to_end(address)
        return history


def keep_threshold(occupancy: float) -> float:
    """The minimum reuse probability for keeping an idle connection at this share of slots in use, 0 to 1."""
    return min(max((occupancy - LOW_OCCUPANCY) / (HIGH_OCCUPANCY - LOW_OCCUPANCY), 0.0), 1.0)
