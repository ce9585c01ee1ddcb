"""Virtual time: calls in the order of their times, and of their making where those are equal."""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heapify, heappop, heappush

STALE_FLOOR = 4096  # so many dropped calls in the heap are no burden


class VirtualClock:
    """A ``lupinlink.clock.Clock`` that moves only when it is run.

    ``tick_ms``: ``after`` rounds up to such a step, as the wheel of the real one does; 0: it is exact.
    """

    def __init__(self, start_ms: float = 0.0, tick_ms: float = 0.0) -> None:
        self._now, self._tick = start_ms, tick_ms
        self._heap: list[tuple[float, int]] = []
        self._calls: dict[int, Callable[[], None]] = {}
        self._next = 0
        self.made = 0  # calls made so far
        self.stopped = False  # no further call is made

    def __len__(self) -> int:
        """Calls that are still to be made."""
        return len(self._calls)

    def now(self) -> float:
        return self._now

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        number = self._next = self._next + 1
        self._calls[number] = call
        heappush(self._heap, (at_ms if at_ms > self._now else self._now, number))
        return number

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        at_ms = self._now + delay_ms
        if self._tick:
            at_ms = -(-at_ms // self._tick) * self._tick
        return self.at(at_ms, call)

    def drop(self, number: int) -> None:
        self._calls.pop(number, None)
        if len(self._heap) > STALE_FLOOR + 2 * len(self._calls):
            self._heap = [entry for entry in self._heap if entry[1] in self._calls]
            heapify(self._heap)

    def run(self, until_ms: float) -> None:
        """Make every call up to and at that time, and let it be that time; infinity: while there are any."""
        heap, calls = self._heap, self._calls
        while heap and heap[0][0] <= until_ms and not self.stopped:
            at_ms, number = heappop(heap)
            call = calls.pop(number, None)
            if call is not None:
                self._now = at_ms
                self.made += 1
                call()
                heap = self._heap  # it may have been swept
        if until_ms < math.inf:
            self._now = max(self._now, until_ms)
