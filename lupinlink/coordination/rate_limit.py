"""How often one process may put its standing questions, all of them together. Pure.

A virtual-scheduling leaky bucket (the generic cell rate algorithm, ITU-T I.371): one call each ``gap_ms`` on
average, ``burst`` at once after a rest. Records that change all the time are then looked at once a gap, not
at each change, and questions that all failed together come back one by one. Renewals and commits do not wait,
but the next question pays for up to ``MOST_OWED`` of them.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OWED_CALLS = 2  # who commits all the time still hears a third of what it might


@dataclass(frozen=True, slots=True)
class CallTiming:
    """How often the service is asked."""

    ask_ms: float = 1000.0  # between two calls of this process, on average; standing questions wait for it
    wait_ms: float = 10000.0  # how long a question may stand while nothing changes, at most
    retry_ms: float = 500.0  # the shortest wait after one that failed


class CallRateLimiter:
    """Hands out moments; one that was handed out and not used is lost."""

    def __init__(self, gap_ms: float, burst: int) -> None:
        self._gap, self._credit = gap_ms, gap_ms * (burst - 1)
        self._next = float("-inf")
        self._owed = 0

    def wait_ms(self, now: float) -> float:
        """How long the caller must wait before it asks; the moment is its own."""
        start = max(self._next, now - self._credit)
        self._next = start + self._gap * (1 + self._owed)
        self._owed = 0
        return max(0.0, start - now)

    def spend(self) -> None:
        """A call that did not wait."""
        self._owed = min(MAX_OWED_CALLS, self._owed + 1)
