"""Which servers a proxy asks at all: a stretch of the ring, even over the fleet without a word. Pure.

All proxies put the servers in one order, and each begins where its own place among the proxies is: the
stretches cover every server alike (deterministic subsetting: Beyer, Jones, Petoff and Murphy, "Site
Reliability Engineering", 2016, chapter 20; the ring is Finagle's deterministic aperture). A server that comes
or goes moves the ends of each stretch by one or two. Of 200 servers each proxy then keeps connections to some
30 that it asks again before they are closed at rest, and hears of each of these several times as often.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import chain, islice
from typing import TypeVar

MIN_SUBSET_SIZE = (
    32  # servers in a stretch: with fewer, one that fails is felt, and a key finds too few homes
)
MIN_PROXIES_PER_SERVER = (
    16  # proxies that ask each server, at least: of fewer, one with much traffic would show
)


Member = TypeVar("Member")


class Aperture:
    """One proxy's place among all."""

    def __init__(self, rank: int, peers: int) -> None:
        """``rank``: from 0 to ``peers`` - 1; one out of that is taken round."""
        self._peers = max(1, peers)
        self._rank = rank % self._peers

    def size(self, servers: int) -> int:
        """Servers in the stretch, of so many."""
        return min(servers, max(MIN_SUBSET_SIZE, -(-MIN_PROXIES_PER_SERVER * servers // self._peers)))

    def subset(self, salts: Sequence[int], usable: Sequence[bool]) -> list[int]:
        """The stretch, as indices in rising order.

        ``salts``: each listed server's place in the order, alike at all proxies. ``usable``: whether this
        proxy may ask it at all just now; past those that it may not, the stretch goes on.
        """
        order = sorted(range(len(salts)), key=salts.__getitem__)
        return sorted(self.ring_subset(order, usable.__getitem__))

    def ring_subset(self, ring: Sequence[Member], usable: Callable[[Member], bool]) -> list[Member]:
        """The stretch of a ring that all proxies have in the same order; ``usable`` as for ``near``."""
        first = self._rank * len(ring) // self._peers
        around = chain(islice(ring, first, None), islice(ring, first))
        return list(islice(filter(usable, around), self.size(len(ring))))
