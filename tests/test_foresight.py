"""What a shrunken farm bears is foreseen, before any delay tells of it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupinlink.brain.server_selection import WEIGHTS_INTERVAL_MS
from lupinlink.interface import Arrival, Endpoint, EndpointState, Refuse, Settings, Status
from lupinlink.limits.capacity_bound import (
    COLD_KEY_OVERHEAD,
    MAX_UTILIZATION,
    MIN_SHARE,
    SHARE_GAIN,
    CapacityBound,
)
from tests.helpers import SAFE, NodeHarness, sends

FARM = "abcdefgh"


def test_the_need_by_hand() -> None:
    capacity_bound = CapacityBound()
    assert capacity_bound.update(0.0) == 1.0  # nothing is known, so nothing is bounded
    capacity_bound.observe_period(None, 8.0, 1.0)
    assert capacity_bound.update(0.0) == 1.0
    # 8 servers at 0.6 with four fifths let in: over the share of the last second, all need 5.3 of them.
    capacity_bound.observe_period(0.6, 8.0, 0.8)
    assert capacity_bound.needed_servers == pytest.approx(0.6 * 8.0 / (1.0 - 0.2 * SHARE_GAIN))
    assert capacity_bound.admissible_share(4.0) == pytest.approx(
        MAX_UTILIZATION * 4.0 / capacity_bound.needed_servers
    )


def test_reports_from_before_a_fall_are_not_taken_for_those_of_the_few_left() -> None:
    capacity_bound = CapacityBound()
    capacity_bound.observe_period(0.6, 8.0, 1.0)
    assert capacity_bound.update(4.0) == pytest.approx(MAX_UTILIZATION * 4.0 / 4.8)
    capacity_bound.observe_period(0.6, 4.0, 0.7)  # counted for four they would say that 2.8 do
    assert capacity_bound.needed_servers == pytest.approx(4.8)
    capacity_bound.observe_period(0.8, 4.0, 0.7)
    assert capacity_bound.needed_servers < 4.8


def test_keys_that_lost_their_server_need_more_and_one_that_comes_and_goes_does_not_count() -> None:
    capacity_bound = CapacityBound(warm_keys=True)
    capacity_bound.observe_period(0.6, 8.0, 1.0)
    assert capacity_bound.update(7.0) == 1.0 and capacity_bound.needed_servers == pytest.approx(4.8)
    capacity_bound.update(4.0)
    assert capacity_bound.needed_servers == pytest.approx(4.8 * (1.0 + COLD_KEY_OVERHEAD * 0.5))
    before = capacity_bound.needed_servers
    capacity_bound.update(4.0)  # told once, it counts once
    assert capacity_bound.needed_servers == before


@given(st.lists(st.tuples(st.floats(0, 16), st.floats(0, 1000), st.floats(0, 1))), st.floats(0, 1000))
def test_whatever_is_reported_the_share_stays_within_its_bounds(
    periods: list[tuple[float, float, float]], left: float
) -> None:
    capacity_bound = CapacityBound()
    for busy, servers, admitted_share in periods:
        capacity_bound.observe_period(busy, servers, admitted_share)
        assert MIN_SHARE <= capacity_bound.update(servers / 2.0) <= 1.0
    assert MIN_SHARE <= capacity_bound.admissible_share(left) <= 1.0
    assert capacity_bound.admissible_share(left) <= capacity_bound.admissible_share(left + 1.0)


def at_work(use: float | None) -> NodeHarness:
    """A node whose farm of eight has served two seconds at that reported use."""
    harness = NodeHarness(Settings(classes=(SAFE,), max_attempts=3, reports_in_answers=True), FARM)
    for i in range(100):
        harness.advance_to(20.0 * i)
        for send in sends(harness.ask(f"w{i}")):
            report = {"utilization": use} if use is not None else None
            harness.end(f"w{i}", Status.OK, send.endpoint, report=report)
    return harness


def refused(harness: NodeHarness, count: int = 200) -> float:
    """The share that is turned away on arrival, with nothing answered meanwhile."""
    actions = [harness.handle(Arrival(f"n{i}", 0, 0, harness.now + 1000.0)) for i in range(count)]
    return sum(any(isinstance(a, Refuse) for a in some) for some in actions) / count


def drain(harness: NodeHarness, names: str) -> None:
    state = {name: EndpointState.DRAINING if name in names else EndpointState.READY for name in FARM}
    harness.discover([Endpoint(name, state=state[name]) for name in FARM])


@pytest.mark.parametrize(("use", "gone", "share"), [(0.6, "abcd", 0.29), (0.6, "a", 0.0), (0.3, "abcd", 0.0)])
def test_half_a_farm_that_drains_is_answered_for_at_once(use: float, gone: str, share: float) -> None:
    harness = at_work(use)
    assert refused(harness, 20) == 0.0
    drain(harness, gone)
    assert refused(harness) == pytest.approx(share, abs=0.1)  # 1 - 0.85 * 4 / 4.8 where half has gone


def test_without_reports_nothing_is_foreseen() -> None:
    harness = at_work(None)
    drain(harness, "abcd")
    assert refused(harness) == 0.0


def test_servers_that_nobody_reaches_count_as_gone() -> None:
    harness = at_work(0.6)
    for i in range(200):
        request, attempt = f"d{i}", 0
        out = sends(harness.ask(request))
        while out and out[0].endpoint in "abcd":
            out = sends(harness.end(request, Status.UNREACHABLE, out[0].endpoint, attempt))
            attempt += 1
        if out:
            harness.end(request, Status.OK, out[0].endpoint, attempt)
    harness.advance_to(harness.now + WEIGHTS_INTERVAL_MS)
    assert refused(harness) == pytest.approx(0.29, abs=0.1)
