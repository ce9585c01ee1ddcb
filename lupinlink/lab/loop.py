"""Real time for the lab's parts: the model's clock on an asyncio loop, and how late that loop runs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LAG_MS = 10.0  # between two looks at how late the loop is


class LoopClock:
    """A ``lupinlink.clock.Clock`` on an asyncio loop: Unix time that never steps back, milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, offset_ms: float | None = None) -> None:
        """``offset_ms``: what another process's clock adds to the machine's own, to agree with it."""
        self._loop = loop
        self.offset_ms = time.time() * 1000.0 - loop.time() * 1000.0 if offset_ms is None else offset_ms
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._next = 0
        self.made = 0  # calls made so far

    def now(self) -> float:
        return self.offset_ms + self._loop.time() * 1000.0

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        number = self._next = self._next + 1
        when = (at_ms - self.offset_ms) / 1000.0
        self._handles[number] = self._loop.call_at(when, self._make, number, call)
        return number

    def _make(self, number: int, call: Callable[[], None]) -> None:
        self._handles.pop(number, None)
        self.made += 1
        call()

    def drop(self, number: int) -> None:
        handle = self._handles.pop(number, None)
        if handle is not None:
            handle.cancel()

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        return self.at(self.now() + delay_ms, call)

    def stop(self) -> None:
        """Drop every call."""
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()


class Lag:
    """How late the loop makes its calls: its own head-room, measured while it works."""

    def __init__(self, clock: LoopClock) -> None:
        self._clock = clock
        self.late_us = HdrHistogram(1, 60_000_000, 3)
        self._due = clock.now() + LAG_MS
        clock.at(self._due, self._look)

    def _look(self) -> None:
        now = self._clock.now()
        self.late_us.record_value(max(1, int((now - self._due) * 1000.0)))
        self._due = now + LAG_MS
        self._clock.at(self._due, self._look)

    def figures(self) -> dict[str, float]:
        """Milliseconds late, at the middle, the 99th percentile and the worst."""
        at = self.late_us.get_value_at_percentile
        return {"late_p50_ms": at(50.0) / 1000.0, "late_p99_ms": at(99.0) / 1000.0,
                "late_worst_ms": at(100.0) / 1000.0}  # fmt: skip
