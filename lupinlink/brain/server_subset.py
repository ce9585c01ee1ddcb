"""The subset of servers that a node draws from, updated as servers are listed, leave, fail and return."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from itertools import chain, islice
from operator import itemgetter

from lupinlink.interface import Server
from lupinlink.spread.aperture import Aperture
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE, WeightedBuckets

RingPlace = tuple[int, str, Server]  # salt, name, server: sorts alike on all nodes
server_at: Callable[[RingPlace], Server] = itemgetter(2)


class ServerSubset:
    """The usable servers of this node's part of the ring, with their weights (deterministic subsetting)."""

    def __init__(self, aperture: Aperture, weigh: Callable[[Server, float], float]) -> None:
        """``weigh(server, now)`` returns the weight of a server that joins the subset."""
        self.table: WeightedBuckets[Server] = WeightedBuckets()
        self._aperture, self._weigh = aperture, weigh
        self._ring: list[RingPlace] = []
        self._usable: dict[Server, None] = {}
        self._cells: dict[tuple[int, int], dict[Server, None]] = {}  # usable servers by zone and cell
        self._stale = False  # whether the ends of the subset may have moved since ``settle``
        self._next_outside = 0  # index in the ring from which ``outside`` continues

    def listed(self, server: Server) -> None:
        """A server is new on the list."""
        covered_all = self._covers_all()
        insort(self._ring, (server.salt, server.endpoint.name, server))
        self._stale = self._stale or not (covered_all and self._covers_all())

    def left(self, server: Server, now: float) -> None:
        """A server has left the list."""
        covered_all = self._covers_all()
        self.set_usable(server, False, now)
        place = bisect_left(self._ring, (server.salt, server.endpoint.name), key=itemgetter(0, 1))
        if place < len(self._ring) and self._ring[place][2] is server:
            del self._ring[place]
        self._stale = self._stale or not (covered_all and self._covers_all())

    def set_usable(self, server: Server, usable: bool, now: float) -> None:
        """Record whether a listed server is ready and not ejected."""
        if usable == (server in self._usable):
            return
        cell = self._cells.setdefault((server.endpoint.zone, server.endpoint.cell), {})
        if usable:
            self._usable[server] = None
            cell[server] = None
        else:
            self._usable.pop(server, None)
            self._leave_cell(server)
            self.table.remove(server)
        if not self._covers_all():
            self._stale = True
        elif usable:
            self.table.add(server, server.salt, self._weigh(server, now))

    def _leave_cell(self, server: Server) -> None:
        """Remove a server from its cell; its endpoint may name another cell by now than when it joined."""
        cell = (server.endpoint.zone, server.endpoint.cell)
        cells = [cell] if server in self._cells.get(cell, ()) else list(self._cells)
        for one in cells:
            self._cells[one].pop(server, None)
            if not self._cells[one]:
                del self._cells[one]

    def cell(self, zone: int, cell: int) -> Iterable[Server]:
        """The usable servers of a cell, in the subset or not."""
        return list(self._cells.get((zone, cell), ()))

    def usable(self) -> Iterable[Server]:
        """All usable servers, in the subset or not."""
        return self._usable

    def settle(self, now: float) -> None:
        """Recompute the subset if servers have come or gone since the last call."""
        if not self._stale:
            return
        self._stale = False
        usable = self._usable
        subset = self._aperture.ring_subset(self._ring, lambda place: place[2] in usable)
        wanted = dict.fromkeys(map(server_at, subset))
        for server in [server for server in self.table if server not in wanted]:
            self.table.remove(server)
        for server in wanted:
            if server not in self.table:
                self.table.add(server, server.salt, self._weigh(server, now))

    def outside(self) -> list[Server]:
        """Some usable servers outside the subset; each call returns the next ones on the ring."""
        if self._covers_all():
            return []
        begin = self._next_outside % max(1, len(self._ring))
        around = chain(islice(self._ring, begin, None), islice(self._ring, begin))
        self._next_outside = begin + MAX_MEAN_BUCKET_SIZE
        some = map(server_at, islice(around, MAX_MEAN_BUCKET_SIZE))
        return [server for server in some if server in self._usable and server not in self.table]

    def _covers_all(self) -> bool:
        return self._aperture.size(len(self._ring)) >= len(self._ring)
