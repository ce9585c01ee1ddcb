"""The pool of connections to one process of an application server."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass, field

from lupinlink.net.application_servers.idle_connections import IdleConnections
from lupinlink.net.application_servers.idle_connections import PooledConnection as PooledConnection

log = logging.getLogger("lupinlink.net.application_servers")
SENT_LATELY_MS = 10_000.0  # neither: of others nobody asks


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one process of an application server."""

    name: str
    host: str
    port: int
    started_ms: float
    all_idle: IdleConnections = field(default_factory=IdleConnections)  # those of all pools
    current: bool = True  # False: that process is gone, or wants nothing more
    trip_ms: float = math.inf  # there and back: of the connection that came up quickest
    reached: bool = True  # whether the last connection came up; its changes are logged, not each failure
    sent_at: float = -math.inf  # the first byte of the last request
    idle: list[PooledConnection] = field(default_factory=list)  # the most recently used last

    def dialled(self, took_ms: float = math.inf, why: str = "") -> None:
        """A connection came up in that time, or did not and why."""
        self.trip_ms = min(self.trip_ms, took_ms)
        if self.reached == bool(why):
            self.reached = not why
            what = "application server out of reach" if why else "application server in reach again"
            log.info(what, extra={"kv": {"server": self.name, "why": why or "connected"}})

    def leaves_service(self, now: float) -> None:
        """It takes nothing new from now on: whether that was kept can be seen by when it was sent to last."""
        if now - self.sent_at < SENT_LATELY_MS:
            kv = {"server": self.name, "sent_ms_ago": int(now - self.sent_at)}
            log.info("backend leaves service", extra={"kv": kv})

    def rest(self, connection: PooledConnection) -> None:
        """It stands idle from now on."""
        self.idle.append(connection)
        self.all_idle.add(connection)

    def take(self) -> PooledConnection:
        """The one that was used last; there has to be one."""
        connection = self.idle.pop()
        self.all_idle.remove(connection)
        return connection

    def forget(self, connection: PooledConnection) -> None:
        """It stands idle no longer, if it did."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.all_idle.remove(connection)

    def void(self) -> None:
        """Close what is idle; what is busy closes after its attempt."""
        self.current = False
        while self.idle:
            self.take().drop()
