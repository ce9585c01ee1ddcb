"""IdleConnections, compared with a plain list, and the closing of idle connections."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.interface import Endpoint
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.application_servers.idle_connections import IdleConnections, PooledConnection
from lupinlink.net.application_servers.pool import Pool
from lupinlink.net.counters import Counters
from lupinlink.net.request_types import EndReason
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.recording_reactor import RecordingReactor


@dataclass(eq=False)
class Connection:
    handle: int
    idle_since: float
    pool: Any = field(default=None)
    dropped: bool = False

    def drop(self, why: EndReason) -> None:
        self.dropped = True


@given(st.lists(st.tuples(st.sampled_from(["add", "remove", "oldest"]), st.integers(0, 9)), max_size=60))
def test_the_connection_that_is_idle_longest_is_found(steps: list[tuple[str, int]]) -> None:
    idle, plain = IdleConnections(), list[Connection]()
    for number, (step, value) in enumerate(steps):
        if step == "add":
            plain.append(Connection(number, float(value)))
            idle.add(cast(PooledConnection, plain[-1]))
        elif step == "remove" and plain:
            idle.remove(cast(PooledConnection, plain.pop(value % len(plain))))
        due = [one for one in plain if one.idle_since <= value]
        expected = min(due, key=lambda one: (one.idle_since, one.handle), default=None)
        assert idle.oldest(float(value)) is cast(PooledConnection | None, expected)
        assert len(idle) == len(plain)
    assert idle.oldest(-math.inf) is None


class WatchedPools(dict[str, Pool]):
    """Counts passes over all pools."""

    passes = 0

    def values(self) -> Any:
        self.passes += 1
        return super().values()


# Guards against a pass over thousands of pools four times a second, and for each connection over the cap.
def test_idle_connections_are_closed_in_time_without_a_pass_over_all_pools() -> None:
    seen = RecordingReactor()
    settings = Settings(classes=(SAFE,), idle_close_ms=1000.0)
    servers = ApplicationServers(cast(Any, seen), cast(Any, seen), settings, 8, Counters())
    servers._pools = pools = WatchedPools()
    servers.update_list([(Endpoint(f"s-{i}"), "127.0.0.1", 1) for i in range(100)], False)
    begin, connections = seen.time, [Connection(i, seen.time + 10.0 * i) for i in range(100)]
    for number, connection in enumerate(connections):
        connection.pool = pools[f"s-{number}"]
        connection.pool.rest(cast(PooledConnection, connection))
    seen.until(begin + 1000.0)
    assert [one.dropped for one in connections] == [one.idle_since <= begin + 400.0 for one in connections]
    assert servers.gauges()["server_connections_idle"] == 59 and pools.passes == 0
