"""How often each limit refused, or would have in shadow mode: what to look at before and after a change."""

from __future__ import annotations

from collections import Counter

from lupinlink.quota.model import Verdict


class DecisionCounts:
    """Counts of one process since it began; no more rows than the policies it had have limits."""

    def __init__(self) -> None:
        self.allowed = 0
        self.refused: Counter[str] = Counter()  # by path of the limit
        self.shadowed: Counter[str] = Counter()  # let in, though this limit in shadow mode would not have

    def add(self, verdict: Verdict) -> None:
        """Count one decision."""
        if verdict.allowed:
            self.allowed += 1
            if verdict.shadowed:
                self.shadowed[verdict.shadowed] += 1
        else:
            self.refused[verdict.refused_by] += 1

    def table(self) -> str:
        """Lines for the operators' door, the limit that refuses most first."""
        refused, shadowed = self.refused.total(), self.shadowed.total()
        lines = [f"quota: let in {self.allowed}, refused {refused}, would have refused {shadowed}"]
        paths = sorted(self.refused | self.shadowed, key=lambda p: (-self.refused[p], -self.shadowed[p], p))
        lines += [f"{self.refused[p]:>10} {self.shadowed[p]:>10}  {p}" for p in paths]
        if paths:
            lines.insert(1, f"{'refused':>10} {'shadow':>10}  limit")
        return "\n".join(lines) + "\n"
