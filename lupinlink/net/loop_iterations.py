"""Measures how long the event loop's iterations take, and which step took most of the longest one.

During an iteration no other socket is read, no deadline is kept and no close is noticed, so long ones are
logged and counted for operators. Times are milliseconds.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

log = logging.getLogger(__name__)
LONG_ITERATION_MS = 100.0  # iterations of at least this length are logged
WINDOW_MS = 1000.0  # the longest iteration is determined, and logged at most once, per window
OTHER_STEPS = "sockets"  # the time of an iteration outside of all named steps


class LoopIterations:
    """Measures each iteration, from the end of the reactor's wait to the start of the next wait."""

    def __init__(self, monotonic_ms: Callable[[], float] = lambda: time.monotonic() * 1000.0) -> None:
        self._now = monotonic_ms
        self._iteration_start: float | None = None
        self.last_change: float | None = None  # when an iteration or a wait began; None: not known
        self._steps: dict[str, float] = {}  # milliseconds in this iteration, by name
        self._window_start = monotonic_ms()
        self._window_longest_ms, self._window_step = 0.0, ""  # of the current window
        self._previous_longest_ms = 0.0  # of the window before
        self.longest_ms = 0.0  # since the start
        self.long_turns = 0

    @contextmanager
    def step(self, name: str) -> Iterator[None]:
        """Attributes the time spent inside to the named step of the iteration."""
        start = self._now()
        try:
            yield
        finally:
            self._steps[name] = self._steps.get(name, 0.0) + self._now() - start

    def begin(self) -> None:
        """An iteration starts: the reactor's wait is over."""
        self._iteration_start = self.last_change = self._now()
        self._steps.clear()

    def end(self) -> None:
        """An iteration ends: the reactor is about to wait."""
        now = self.last_change = self._now()
        if self._iteration_start is None:
            return
        took_ms, self._iteration_start = now - self._iteration_start, None
        if now - self._window_start >= WINDOW_MS:
            self._close_window(now)
        if took_ms > self._window_longest_ms:
            self._window_longest_ms, self._window_step = took_ms, self._largest_step(took_ms)
            self.longest_ms = max(self.longest_ms, took_ms)
        self.long_turns += took_ms >= LONG_ITERATION_MS

    def gauges(self) -> dict[str, int]:
        """The longest iteration of the last window and since the start, and the number of long ones."""
        return {
            "longest_turn_ms": int(max(self._previous_longest_ms, self._window_longest_ms)),
            "longest_turn_ever_ms": int(self.longest_ms),
            "long_turns": self.long_turns,
        }

    def _largest_step(self, took_ms: float) -> str:
        steps = {OTHER_STEPS: took_ms - sum(self._steps.values()), **self._steps}
        return max(steps, key=steps.__getitem__)

    def _close_window(self, now: float) -> None:
        if self._window_longest_ms >= LONG_ITERATION_MS:
            kv = {
                "longest_ms": int(self._window_longest_ms),
                "mostly": self._window_step,
                "long_turns": self.long_turns,
            }
            log.warning("event loop was held up", extra={"kv": kv})
        self._previous_longest_ms, self._window_longest_ms, self._window_step = (
            self._window_longest_ms,
            0.0,
            "",
        )
        self._window_start = now


class TimedPoller:
    """Wraps a reactor's poller to report when a wait starts and ends."""

    def __init__(self, poller: Any, iterations: LoopIterations) -> None:
        self._poller, self._iterations = poller, iterations

    def poll(self, *args: Any) -> Any:
        """Wait for events on the sockets."""
        self._iterations.end()
        try:
            return self._poller.poll(*args)
        finally:
            self._iterations.begin()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)


def measure_iterations(reactor: Any, iterations: LoopIterations) -> None:
    """Measure the iterations of this reactor from now on, if it waits by a poller of the operating system."""
    poller = getattr(reactor, "_poller", None)
    if hasattr(poller, "poll"):
        reactor._poller = TimedPoller(poller, iterations)
