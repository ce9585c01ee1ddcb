"""How many requests a second ask for each quota at this gateway, let in or not. Pure.

Two means of the counts, a quick one and a slow one (exponentially weighted: Roberts, "Control Chart Tests
Based on Geometric Moving Averages", Technometrics 1(3), 1959). The slow one is told; where the quick one has
left it by more than chance allows for arrivals of Poisson, the traffic has shifted and it starts anew.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lupinlink.quota.model import Charge

QUICK_MS, SLOW_MS = 700.0, 5000.0
CHANCE = 4.0  # standard deviations of the quick mean, and that many requests more: no chance
KEEPS_MS = 30000.0  # without requests, until a quota is of no interest
LEAST_PER_S = 1.0 / 30.0  # told for so long after a request: who asks seldom asks too


class Flow:
    """Of one quota."""

    __slots__ = ("age", "idle", "quick", "slow")

    def __init__(self) -> None:
        self.quick = self.slow = 0.0  # requests a second
        self.age = self.idle = 0.0  # ms that the slow mean is made of; since the last request

    def look(self, count: int, passed_ms: float) -> bool:
        """Take what came in the time passed; gives whether the traffic has shifted."""
        self.age += passed_ms
        self.idle = 0.0 if count else self.idle + passed_ms
        per_s = count * 1000.0 / passed_ms
        self.quick += (1.0 - math.exp(-passed_ms / min(QUICK_MS, self.age))) * (per_s - self.quick)
        self.slow += (1.0 - math.exp(-passed_ms / min(SLOW_MS, self.age))) * (per_s - self.slow)
        # The variance of such a mean of Poisson counts is the rate over twice its time.
        spread = math.sqrt(max(self.slow, self.quick) / (2.0 * QUICK_MS / 1000.0))
        if abs(self.quick - self.slow) > CHANCE * spread + CHANCE:
            self.slow, self.age = self.quick, QUICK_MS
            return True
        return False

    def per_s(self) -> float:
        """To be told."""
        return max(self.slow, LEAST_PER_S)


class Meter:
    """Of one version."""

    def __init__(self, now: float) -> None:
        self._at = now
        self.flows: dict[Charge, Flow] = {}

    def look(self, counts: Iterable[tuple[Charge, int]], now: float) -> bool:
        """Take the counts since the last look; gives whether any quota's traffic has shifted, or is new."""
        passed = now - self._at
        if passed <= 0.0:
            return False
        self._at = now
        shifted, left = False, dict(self.flows)
        for charge, count in counts:
            flow = left.pop(charge, None)
            if count and flow is None:
                self.flows[charge] = flow = Flow()
                shifted = True
            if flow is not None:
                shifted |= flow.look(count, passed)
                if flow.idle > KEEPS_MS:
                    del self.flows[charge]
        for charge in left:  # its bucket was forgotten
            del self.flows[charge]
        return shifted
