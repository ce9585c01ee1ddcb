"""How long to wait before asking again after failures: exponential back-off, decorrelated. Pure.

``sleep = min(cap, uniform(base, 3 * sleep))``: Brooker, "Exponential Backoff And Jitter", AWS Architecture
Blog, 2015, the form called decorrelated jitter. Callers that failed together drift apart with the first wait,
and each next wait is drawn from the last one and not from a count that they have in common.
"""

from __future__ import annotations

from collections.abc import Callable


class Backoff:
    """One caller's waits in a row."""

    def __init__(self, base_ms: float, cap_ms: float, draw: Callable[[], float]) -> None:
        """``draw``: from [0, 1), of this process alone."""
        self._base, self._cap, self._draw = base_ms, max(base_ms, cap_ms), draw
        self._last = base_ms

    def next_ms(self) -> float:
        """The next wait: in [base, cap]."""
        self._last = min(self._cap, self._base + self._draw() * (3.0 * self._last - self._base))
        return self._last

    def reset(self) -> None:
        """It answered: the next failure is a first one."""
        self._last = self._base
