"""Tracks the servers that this process began to use recently, and so still has an open connection to.

Further uses do not extend the time: otherwise the same few servers would be used forever. Performs no I/O;
the caller passes the current time.
"""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

MAX_REMEMBERED = 512  # items; the one with the earliest first use is dropped

Item = TypeVar("Item")


class RecentUse(Generic[Item]):
    """Remembers each item for ``span_ms`` milliseconds from its first use."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._first_used_at: dict[Item, float] = {}  # in ascending order

    def used(self, item: Item, now: float) -> None:
        """Record a use of the item."""
        self._forget_expired(now)
        self._first_used_at.setdefault(item, now)
        if len(self._first_used_at) > MAX_REMEMBERED:
            self._forget_first()

    def count(self, now: float) -> int:
        """The number of remembered items."""
        self._forget_expired(now)
        return len(self._first_used_at)

    def draw(self, share: float, now: float) -> Item | None:
        """Return the item at the position ``share``, a number in [0, 1), or None if there is none.

        A uniformly distributed ``share`` selects all items with the same probability.
        """
        self._forget_expired(now)
        return next(islice(self._first_used_at, int(share * len(self._first_used_at)), None), None)

    def _forget_expired(self, now: float) -> None:
        while self._first_used_at and next(iter(self._first_used_at.values())) + self._span_ms <= now:
            self._forget_first()

    def _forget_first(self) -> None:
        del self._first_used_at[next(iter(self._first_used_at))]
