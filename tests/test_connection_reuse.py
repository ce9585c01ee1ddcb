"""When a connection to an application server may carry another request, and which one is taken."""

from __future__ import annotations

from typing import Any, cast

import pytest

from lupinlink.limits.connection_reuse import (
    MAX_REMEMBERED_MS,
    REMEMBERED_MS,
    REST_MS,
    RESTS_PER_DELAY,
    ConnectionReuse,
    LateBytes,
    patience_ms,
    wait_ms,
)
from lupinlink.net.application_servers.pool import LATELY_MS, Pool
from tests.test_idle_connections import Connection

SOON_MS, LATE_MS = 20.0, REST_MS


# Guards against a second answer that is later than those seen so far at the same server.
def test_connections_rest_longer_at_a_server_that_sent_unrequested_bytes() -> None:
    reuse, server, other = ConnectionReuse(), LateBytes(), LateBytes()
    for after_ms in (SOON_MS, 0.0):
        reuse.note_unrequested(server, after_ms, 0.0)
        assert server.rest_ms(REMEMBERED_MS - 1.0) == RESTS_PER_DELAY * SOON_MS
    assert not reuse.may_carry(server, RESTS_PER_DELAY * SOON_MS - 1.0, 0.0)
    assert reuse.may_carry(server, RESTS_PER_DELAY * SOON_MS, 0.0)
    assert not reuse.may_carry(other, REST_MS - 1.0, 0.0) and reuse.may_carry(other, REST_MS, 0.0)
    assert server.rest_ms(REMEMBERED_MS) == REST_MS
    reuse.note_unrequested(server, 0.0, REMEMBERED_MS)  # the longer delay is forgotten
    assert server.rest_ms(REMEMBERED_MS) == REST_MS


# Guards against delays over the rest: the next server to send that late would meet a request.
def test_bytes_that_the_rest_hardly_covers_leave_one_request_a_connection_at_all_servers() -> None:
    reuse, other = ConnectionReuse(), LateBytes()
    reuse.note_unrequested(LateBytes(), LATE_MS, 0.0)
    assert not reuse.may_carry(other, 1e9, REMEMBERED_MS - 1.0)
    assert reuse.may_carry(other, REST_MS, REMEMBERED_MS)


def test_they_are_remembered_longer_on_each_occasion_up_to_a_limit() -> None:
    reuse, server, now = ConnectionReuse(), LateBytes(), 0.0
    for occasion in (1, 2, 3):
        reuse.note_unrequested(server, LATE_MS, now)
        reuse.note_unrequested(server, LATE_MS, now + 1.0)  # the same occasion
        assert reuse.forbidden_until_ms == now + 1.0 + occasion * REMEMBERED_MS
        now = reuse.forbidden_until_ms
    reuse.occasions = 10_000
    reuse.note_unrequested(server, LATE_MS, now)
    assert reuse.forbidden_until_ms == now + MAX_REMEMBERED_MS


@pytest.mark.parametrize(
    "rested_ms, rest_ms, patience, expected",
    [
        (REST_MS, REST_MS, 10.0, 0.0),
        (REST_MS - 5.0, REST_MS, 10.0, 5.0),  # a short wait costs less than a connection
        (REST_MS - 50.0, REST_MS, 10.0, None),  # no rest is cut short
        (REST_MS, 5.0 * REST_MS, 10.0, None),
    ],
)
def test_a_request_waits_shortly_or_gets_a_new_connection(
    rested_ms: float, rest_ms: float, patience: float, expected: float | None
) -> None:
    assert wait_ms(rested_ms, rest_ms, patience) == expected


def test_a_request_waits_for_a_part_of_the_usual_answer_time_and_of_its_own() -> None:
    assert patience_ms(1000.0, 40.0) == 10.0
    assert patience_ms(100.0, 400.0) == 10.0
    assert patience_ms(-5.0, 400.0) == 0.0


def test_where_one_has_to_be_closed_for_a_new_one_it_waits_as_long_as_that_takes() -> None:
    assert patience_ms(1000.0, 40.0, 30.0) == 30.0
    assert patience_ms(100.0, 40.0, 30.0) == 10.0


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
