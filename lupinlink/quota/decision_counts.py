"""Counts the refusals of each limit, and those it would have made in shadow mode."""

from __future__ import annotations

from collections import Counter

from lupinlink.quota.model import Verdict


class DecisionCounts:
    """Counts since the process started; bounded by the number of limits in its policies."""

    def __init__(self) -> None:
        self.allowed = 0
        self.refused: Counter[str] = Counter()  # by the path of the limit
        self.shadowed: Counter[str] = Counter()  # admitted, but refused by this limit if it were enforced

    def add(self, verdict: Verdict) -> None:
        """Count one decision."""
        if verdict.allowed:
            self.allowed += 1
            if verdict.shadowed:
                self.shadowed[verdict.shadowed] += 1
        else:
            self.refused[verdict.refused_by] += 1

    def table(self) -> str:
        """Text for the admin endpoint, most refusals first."""
        refused, shadowed = self.refused.total(), self.shadowed.total()
        lines = [f"quota: let in {self.allowed}, refused {refused}, would have refused {shadowed}"]
        paths = sorted(self.refused | self.shadowed, key=lambda p: (-self.refused[p], -self.shadowed[p], p))
        lines += [f"{self.refused[p]:>10} {self.shadowed[p]:>10}  {p}" for p in paths]
        if paths:
            lines.insert(1, f"{'refused':>10} {'shadow':>10}  limit")
        return "\n".join(lines) + "\n"
