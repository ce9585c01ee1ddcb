"""How long the event loop's turns take: the longest of each second, and what took it.

While a turn lasts nothing is read, no deadline is kept and no close is seen, so a long one is an operator's
business: it is logged, and counted. Times are milliseconds.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

log = logging.getLogger(__name__)
LONG_ITERATION_MS = 100.0  # from here on a turn is logged
WINDOW_MS = 1000.0  # the longest turn is told for each such span; at most one line in it
OTHER = "sockets"  # a turn's time outside of all named steps


class LoopIterations:
    """Measures each turn from the end of the reactor's wait to the beginning of the next one."""

    def __init__(self, monotonic_ms: Callable[[], float] = lambda: time.monotonic() * 1000.0) -> None:
        self._now = monotonic_ms
        self._began: float | None = None
        self._steps: dict[str, float] = {}  # of this turn, by name
        self._window_from = monotonic_ms()
        self._longest, self._what = 0.0, ""  # in the window that runs
        self._last_window = 0.0  # the longest turn of the one before
        self.longest_ms = 0.0  # since the start
        self.long_turns = 0

    @contextmanager
    def step(self, what: str) -> Iterator[None]:
        """Whatever runs inside counts as this part of the turn."""
        began = self._now()
        try:
            yield
        finally:
            self._steps[what] = self._steps.get(what, 0.0) + self._now() - began

    def begin(self) -> None:
        """The reactor's wait is over."""
        self._began = self._now()
        self._steps.clear()

    def end(self) -> None:
        """The reactor is about to wait."""
        if self._began is None:
            return
        now = self._now()
        took_ms, self._began = now - self._began, None
        if now - self._window_from >= WINDOW_MS:
            self._close_window(now)
        if took_ms > self._longest:
            self._longest, self._what = took_ms, self._largest_step(took_ms)
            self.longest_ms = max(self.longest_ms, took_ms)
        self.long_turns += took_ms >= LONG_ITERATION_MS

    def gauges(self) -> dict[str, int]:
        """The longest turn of the last whole second and since the start, and how many were long."""
        return {
            "longest_turn_ms": int(max(self._last_window, self._longest)),
            "longest_turn_ever_ms": int(self.longest_ms),
            "long_turns": self.long_turns,
        }

    def _largest_step(self, took_ms: float) -> str:
        steps = {OTHER: took_ms - sum(self._steps.values()), **self._steps}
        return max(steps, key=steps.__getitem__)

    def _close_window(self, now: float) -> None:
        if self._longest >= LONG_ITERATION_MS:
            kv = {"longest_ms": int(self._longest), "mostly": self._what, "long_turns": self.long_turns}
            log.warning("event loop was held up", extra={"kv": kv})
        self._last_window, self._longest, self._what = self._longest, 0.0, ""
        self._window_from = now


class TimedPoller:
    """A reactor's poller that tells when a wait begins and ends; all else is handed through."""

    def __init__(self, poller: Any, turns: LoopIterations) -> None:
        self._poller, self._turns = poller, turns

    def poll(self, *words: Any) -> Any:
        """Wait for the sockets."""
        self._turns.end()
        try:
            return self._poller.poll(*words)
        finally:
            self._turns.begin()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)


def measure(reactor: Any, turns: LoopIterations) -> None:
    """Measure this reactor's turns from now on, if it waits by a poller of the operating system."""
    poller = getattr(reactor, "_poller", None)
    if hasattr(poller, "poll"):
        reactor._poller = TimedPoller(poller, turns)
