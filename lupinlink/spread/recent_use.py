"""Servers that this process began to use lately, and so has a connection to that still stands open. Pure.

Further uses do not prolong it: the same few servers would be used for ever.
"""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

MAX_REMEMBERED = 512  # of them; the one first used longest ago is forgotten

Item = TypeVar("Item")


class RecentUse(Generic[Item]):
    """Remembers each for some time, in ms, from its first use on."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._used_at: dict[Item, float] = {}  # the first use of each, the earliest first

    def used(self, item: Item, now: float) -> None:
        """It has just been used."""
        self._forget_until(now)
        self._used_at.setdefault(item, now)
        if len(self._used_at) > MAX_REMEMBERED:
            self._forget_first()

    def count(self, now: float) -> int:
        """How many there are."""
        self._forget_until(now)
        return len(self._used_at)

    def draw(self, share: float, now: float) -> Item | None:
        """One of them, each alike; ``share``: from [0, 1). None if there is none."""
        self._forget_until(now)
        return next(islice(self._used_at, int(share * len(self._used_at)), None), None)

    def _forget_until(self, now: float) -> None:
        while self._used_at and next(iter(self._used_at.values())) + self._span_ms <= now:
            self._forget_first()

    def _forget_first(self) -> None:
        del self._used_at[next(iter(self._used_at))]
