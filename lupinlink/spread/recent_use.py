"""Servers that this process has used lately, and so has a connection to that still stands open. Pure."""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

MOST_REMEMBERED = 512  # of them; the one used longest ago is forgotten first

Item = TypeVar("Item")


class RecentUse(Generic[Item]):
    """Remembers them for some time, in ms."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._used_at: dict[Item, float] = {}  # the one used longest ago first

    def __len__(self) -> int:
        return len(self._used_at)

    def used(self, item: Item, now: float) -> None:
        """It has just been used."""
        self._used_at.pop(item, None)
        self._used_at[item] = now
        if len(self._used_at) > MOST_REMEMBERED:
            self._forget_first()

    def draw(self, share: float, now: float) -> Item | None:
        """One of them, each alike; ``share``: from [0, 1). None if nothing was used lately."""
        while self._used_at and next(iter(self._used_at.values())) + self._span_ms <= now:
            self._forget_first()
        return next(islice(self._used_at, int(share * len(self._used_at)), None), None)

    def _forget_first(self) -> None:
        del self._used_at[next(iter(self._used_at))]
