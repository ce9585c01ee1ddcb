"""The connection pool of one process of an application server."""

from __future__ import annotations

import logging
import math
from bisect import bisect_left, insort
from dataclasses import dataclass, field
from operator import attrgetter

from lupinlink.limits.connection_reuse import LateBytes
from lupinlink.net.application_servers.idle_connections import IdleConnections
from lupinlink.net.application_servers.idle_connections import PooledConnection as PooledConnection
from lupinlink.net.request_types import EndReason

log = logging.getLogger("lupinlink.net.application_servers")
LATELY_MS = 1000.0  # connections that were used this recently are used in turn
ANSWER_GAIN = 0.1  # of the moving average
_idle_since = attrgetter("idle_since")
RECENTLY_SENT_MS = 10_000.0  # a server that leaves service is logged if it was sent a request this recently


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one process of an application server."""

    name: str
    host: str
    port: int
    started_ms: float
    all_idle: IdleConnections = field(default_factory=IdleConnections)  # shared by all pools
    current: bool = True  # False: the process is gone, or takes no new requests
    round_trip_ms: float = math.inf  # the shortest time in which a connection was established
    reached: bool = True  # whether the last connection was established; only changes are logged
    usual_answer_ms: float = 0.0  # from a request to its answer, a moving average
    sent_at: float = -math.inf  # when the first byte of the last request was sent
    late_bytes: LateBytes = field(default_factory=LateBytes)
    idle: list[PooledConnection] = field(default_factory=list)  # by ``idle_since``

    def record_dial(self, took_ms: float = math.inf, why: str = "") -> None:
        """Note that a connection was established in this time, or why it failed."""
        self.round_trip_ms = min(self.round_trip_ms, took_ms)
        if self.reached == bool(why):
            self.reached = not why
            what = "application server out of reach" if why else "application server in reach again"
            log.info(what, extra={"kv": {"server": self.name, "why": why or "connected"}})

    def record_answer(self, took_ms: float) -> None:
        """Note how long a server took to answer a request that it served."""
        gain = ANSWER_GAIN if self.usual_answer_ms else 1.0
        self.usual_answer_ms += gain * (took_ms - self.usual_answer_ms)

    def log_out_of_service(self, now: float) -> None:
        """Log that it takes no new requests and when it was last sent one, which shows if one was late."""
        if now - self.sent_at < RECENTLY_SENT_MS:
            kv = {"server": self.name, "sent_ms_ago": int(now - self.sent_at)}
            log.info("backend leaves service", extra={"kv": kv})

    def rest(self, connection: PooledConnection) -> None:
        """Return a connection to the pool."""
        insort(self.idle, connection, key=_idle_since)
        self.all_idle.add(connection)

    def take(self, now: float) -> PooledConnection:
        """Take out the idle connection to use next; there has to be one.

        It is the one that has rested longest among those used lately; the others are left to grow too old.
        """
        rest_ms = self.late_bytes.rest_ms(now)
        first = bisect_left(self.idle, now - LATELY_MS, key=_idle_since)
        is_rested = first < len(self.idle) and now - self.idle[first].idle_since >= rest_ms
        connection = self.idle[first if is_rested else max(0, first - 1)]
        self.forget(connection)
        return connection

    def return_unused(self, connection: PooledConnection) -> None:
        """Return a connection that was taken and not used; it goes on resting."""
        if self.current:
            self.rest(connection)
        else:
            connection.drop(EndReason.NOT_IN_SERVICE)

    def forget(self, connection: PooledConnection) -> None:
        """Remove a connection, if it is idle here."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.all_idle.remove(connection)

    def retire(self) -> None:
        """Close the idle connections; busy ones are closed after their attempts."""
        self.current = False
        self.close_idle(EndReason.NOT_IN_SERVICE)

    def close_idle(self, why: EndReason) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            self.forget(connection)
            connection.drop(why)
