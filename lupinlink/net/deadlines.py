"""The deadlines of all requests and attempts in one heap, exact to the millisecond."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

STALE_FLOOR = 256  # dropped entries that are left in the heap in any case


class Deadlines:
    """A heap of (time, number). A dropped number leaves a stale entry, removed once these dominate."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._calls: dict[int, Callable[[], None]] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, at_ms: float, call: Callable[[], None]) -> int:
        """Add a deadline; ``call`` is called then. Returns the number for ``drop``."""
        self._next += 1
        self._calls[self._next] = call
        heappush(self._heap, (at_ms, self._next))
        return self._next

    def drop(self, number: int) -> None:
        """Remove a deadline; no error if it has passed or was dropped."""
        self._calls.pop(number, None)
        # Requests usually end long before their deadlines: the heap would collect seconds of stale entries.
        if len(self._heap) > STALE_FLOOR + 2 * len(self._calls):
            self._heap = [entry for entry in self._heap if entry[1] in self._calls]
            heapify(self._heap)

    def next_at(self) -> float | None:
        """The time of the earliest deadline, None if there is none."""
        while self._heap and self._heap[0][1] not in self._calls:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def due(self, now_ms: float) -> list[Callable[[], None]]:
        """Remove the deadlines that are due; returns their calls, in order of time."""
        calls = []
        while self._heap and self._heap[0][0] <= now_ms:
            call = self._calls.pop(heappop(self._heap)[1], None)
            if call is not None:
                calls.append(call)
        return calls
