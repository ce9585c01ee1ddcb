"""The idle connections of all pools, ordered by how long they have been idle."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable
from operator import itemgetter
from typing import TYPE_CHECKING, Protocol

from lupinlink.net.application_servers.attempts import Attempt
from lupinlink.net.request_types import EndReason

if TYPE_CHECKING:
    from lupinlink.net.application_servers.pool import Pool

BY_AGE = itemgetter(0, 1)  # idle since, then handle, which is never the same twice


class PooledConnection(Protocol):
    """A connection that can be idle in a pool."""

    handle: int
    idle_since: float
    requests_carried: int
    on_closed: Callable[[], None] | None  # called when it ends while it is reserved
    pool: Pool

    def carry(self, attempt: Attempt) -> None: ...
    def usable(self) -> bool: ...
    def drop(self, why: EndReason) -> None: ...


class IdleConnections:
    """The idle connections, the one that has been idle longest first."""

    def __init__(self) -> None:
        self._by_age: list[tuple[float, int, PooledConnection]] = []

    def __len__(self) -> int:
        return len(self._by_age)

    def add(self, connection: PooledConnection) -> None:
        """Add an idle connection; its ``idle_since`` and ``handle`` must not change until it is removed."""
        insort(self._by_age, (connection.idle_since, connection.handle, connection), key=BY_AGE)

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection, if it is here."""
        place = bisect_left(self._by_age, (connection.idle_since, connection.handle), key=BY_AGE)
        if place < len(self._by_age) and self._by_age[place][2] is connection:
            del self._by_age[place]

    def oldest(self, since: float = math.inf) -> PooledConnection | None:
        """The one that has been idle longest, if it has been idle since ``since`` or before."""
        if not self._by_age or self._by_age[0][0] > since:
            return None
        return self._by_age[0][2]
