"""All deadlines in one ordered structure: requests' and attempts' alike, to the millisecond."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

STALE_FLOOR = 256  # so many dropped entries are no burden


class Deadlines:
    """A heap of (time, number); a dropped number leaves a dead entry that is swept when they prevail."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._calls: dict[int, Callable[[], None]] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, at_ms: float, call: Callable[[], None]) -> int:
        """Have ``call`` made at that time; the number drops it."""
        self._next += 1
        self._calls[self._next] = call
        heappush(self._heap, (at_ms, self._next))
        return self._next

    def drop(self, number: int) -> None:
        """Forget a deadline; one that has passed or was dropped is no error."""
        self._calls.pop(number, None)
        # Requests end long before their deadlines: without this the heap would hold seconds of dead ones.
        if len(self._heap) > STALE_FLOOR + 2 * len(self._calls):
            self._heap = [entry for entry in self._heap if entry[1] in self._calls]
            heapify(self._heap)

    def next_at(self) -> float | None:
        """When the earliest live deadline falls."""
        while self._heap and self._heap[0][1] not in self._calls:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def due(self, now_ms: float) -> list[Callable[[], None]]:
        """Take out what has come due, in order."""
        calls = []
        while self._heap and self._heap[0][0] <= now_ms:
            call = self._calls.pop(heappop(self._heap)[1], None)
            if call is not None:
                calls.append(call)
        return calls
