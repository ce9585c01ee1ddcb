"""Exponential backoff with decorrelated jitter, for retries after failures. Performs no I/O.

``sleep = min(cap, uniform(base, 3 * sleep))``: Brooker, "Exponential Backoff And Jitter", AWS Architecture
Blog, 2015, the variant called decorrelated jitter. Callers that failed together drift apart with the first
wait, since each wait is drawn from the caller's own last one and not from a common count of attempts.
"""

from __future__ import annotations

from collections.abc import Callable


class Backoff:
    """The successive waits of one caller, ms."""

    def __init__(self, base_ms: float, cap_ms: float, draw: Callable[[], float]) -> None:
        """``draw``: random, from [0, 1), independent for each process."""
        self._base, self._cap, self._draw = base_ms, max(base_ms, cap_ms), draw
        self._last = base_ms

    def next_ms(self) -> float:
        """The next wait, between the base and the cap."""
        self._last = min(self._cap, self._base + self._draw() * (3.0 * self._last - self._base))
        return self._last

    def reset(self) -> None:
        """Start again from the base, after a success."""
        self._last = self._base
