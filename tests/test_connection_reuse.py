"""When a connection to an application server may carry another request, and which one is taken."""

from __future__ import annotations

from typing import Any, cast

import pytest

from lupinlink.limits.connection_reuse import (
    MAX_RESTING,
    MAX_SUSPECT_MS,
    REST_MS,
    SUSPECT_MS,
    ConnectionReuse,
    Suspicion,
    wait_ms,
)
from lupinlink.net.application_servers.pool import LATELY_MS, Pool
from tests.test_idle_connections import Connection

SOON_MS, LATE_MS = 2.0, REST_MS


# Guards against a second answer that follows another one at the same server.
def test_a_server_that_sent_unrequested_bytes_gets_one_request_a_connection_for_a_while() -> None:
    reuse, server, other = ConnectionReuse(), Suspicion(), Suspicion()
    assert reuse.is_allowed(server, 0.0)
    assert not reuse.note_unrequested(server, SOON_MS, 0.0)
    assert not reuse.is_allowed(server, SUSPECT_MS - 1.0) and reuse.is_allowed(other, 0.0)
    assert reuse.is_allowed(server, SUSPECT_MS)


# Guards against delays over the rest: the next server to send that late would meet a request.
def test_bytes_that_come_late_in_the_rest_put_all_servers_under_suspicion() -> None:
    reuse, other = ConnectionReuse(), Suspicion()
    assert reuse.note_unrequested(Suspicion(), LATE_MS, 0.0)
    assert not reuse.is_allowed(other, SUSPECT_MS - 1.0)


def test_suspicion_lasts_longer_each_time_and_has_an_upper_limit() -> None:
    server, now = Suspicion(), 0.0
    for times in (1, 2, 3):
        server.renew(now)
        server.renew(now + 1.0)  # while it holds: only prolonged
        assert server.until_ms == now + 1.0 + times * SUSPECT_MS
        now = server.until_ms
    server.times = 10_000
    server.renew(now)
    assert server.until_ms == now + MAX_SUSPECT_MS


@pytest.mark.parametrize(
    "rested_ms, left_ms, resting, may_open, expected",
    [
        (REST_MS, 1000.0, 1, True, 0.0),
        (REST_MS - 5.0, 1000.0, 1, True, 5.0),  # a short wait costs less than a connection
        (REST_MS - 50.0, 1000.0, 1, True, None),
        (REST_MS - 50.0, 1000.0, MAX_RESTING, True, 10.0),  # it may open no more: it waits, then uses it
        (REST_MS - 50.0, 1000.0, 1, False, 10.0),
        (0.0, -3.0, MAX_RESTING, True, 0.0),  # its time is up: the attempt's own checks say so
    ],
)
def test_a_request_waits_shortly_or_gets_a_new_connection(
    rested_ms: float, left_ms: float, resting: int, may_open: bool, expected: float | None
) -> None:
    assert wait_ms(rested_ms, left_ms, resting, may_open) == expected


# Guards against using first what was used last, which meets a second answer within its delay.
def test_connections_that_were_used_lately_are_used_in_turn_and_older_ones_left_to_age() -> None:
    now, pool = 10_000.0, Pool("s", "127.0.0.1", 1, 0.0)
    ages = (3000.0, 2000.0, 0.9 * LATELY_MS, 500.0, 2.0)
    connections = [Connection(number, now - age, pool) for number, age in enumerate(ages)]
    for connection in connections:
        pool.rest(cast(Any, connection))

    def taken() -> Any:
        return pool.take(now)

    # Used lately and rested, the longest first; then the least old; then the one that has rested least.
    assert [taken() for _ in ages] == [connections[place] for place in (2, 3, 1, 0, 4)]
