"""What was let in, against what may be: told from the requests alone, whoever let them in."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from lupinlink.quota.model import Charge, Limit


class Referee:
    """Over any window no quota lets in more than rate * window + burst.

    That holds for every window just if it holds of a bucket that leaks at the rate and never overflows
    (Turner, "New Directions in Communications", IEEE Communications Magazine 24(10), 1986): one figure a
    quota tells the worst window so far.
    """

    def __init__(self, limits: Mapping[int, Limit]) -> None:
        self._limits = limits
        self._levels: dict[Charge, tuple[float, float]] = {}  # as of when
        self.over: dict[Charge, float] = defaultdict(float)  # tokens beyond, in the worst window
        self.worst_ms = 0.0  # when that was

    def admitted(self, charge: Charge, now_ms: float) -> None:
        """One request was let in, at the true time."""
        limit = self._limits[charge.limit]
        level, at = self._levels.get(charge, (0.0, now_ms))
        level = max(0.0, level - (now_ms - at) * limit.rate_per_s / 1000.0) + 1.0
        self._levels[charge] = (level, now_ms)
        if level - limit.burst > self.over[charge]:
            self.over[charge], self.worst_ms = level - limit.burst, now_ms

    def quota_over(self) -> float:
        """Tokens, rounded as sums of floats call for."""
        return round(max(self.over.values(), default=0.0), 6)
