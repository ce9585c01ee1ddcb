"""Selects the subset of servers that one proxy uses, without any communication between proxies.

All proxies order the servers by hash on one ring, and each begins its subset at a point given by its own rank
among the proxies, so that the subsets cover all servers evenly (deterministic subsetting: Beyer, Jones,
Petoff and Murphy, "Site Reliability Engineering", 2016, chapter 20; the ring is Finagle's deterministic
aperture). A server that is added or removed moves the ends of each subset by one or two servers. With 200
servers each proxy keeps connections to about 30, which it uses again before they are closed as idle, and it
gets several times as many observations of each. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import chain, islice
from typing import TypeVar

# With fewer servers, one failing server affects much of the traffic, and a popular key has too few servers.
MIN_SUBSET_SIZE = 32
# With fewer proxies per server, one proxy with much traffic would unbalance the load.
MIN_PROXIES_PER_SERVER = 16

Member = TypeVar("Member")


class Aperture:
    """The subset of one proxy."""

    def __init__(self, rank: int, peers: int) -> None:
        """``rank``: this proxy's number from 0 to ``peers`` - 1, taken modulo ``peers``."""
        self._peers = max(1, peers)
        self._rank = rank % self._peers

    def size(self, servers: int) -> int:
        """The size of the subset of ``servers`` servers."""
        return min(servers, max(MIN_SUBSET_SIZE, -(-MIN_PROXIES_PER_SERVER * servers // self._peers)))

    def subset(self, salts: Sequence[int], usable: Sequence[bool]) -> list[int]:
        """Return the subset as indices in ascending order.

        ``salts``: the hashes of the listed servers, the same at all proxies. ``usable``: whether this proxy
        may use each server now; unusable ones are skipped and replaced by the next servers on the ring.
        """
        order = sorted(range(len(salts)), key=salts.__getitem__)
        return sorted(self.ring_subset(order, usable.__getitem__))

    def ring_subset(self, ring: Sequence[Member], usable: Callable[[Member], bool]) -> list[Member]:
        """Return the subset of a ring, whose order is the same at all proxies; ``usable``: see ``subset``."""
        first = self._rank * len(ring) // self._peers
        around = chain(islice(ring, first, None), islice(ring, first))
        return list(islice(filter(usable, around), self.size(len(ring))))
