"""The capacity bound: a loss of backends reduces the admitted share at once, before delays grow."""

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

BACKENDS = "abcdefgh"


def test_needed_servers_and_share_match_a_calculation_by_hand() -> None:
    capacity_bound = CapacityBound()
    assert capacity_bound.update(0.0) == 1.0  # without any observation nothing is bounded
    capacity_bound.observe_period(None, 8.0, 1.0)
    assert capacity_bound.update(0.0) == 1.0
    # 0.6 * 8 servers are busy with the smoothed admitted share of 0.9: all arrivals need 5.3 servers.
    capacity_bound.observe_period(0.6, 8.0, 0.8)
    assert capacity_bound.needed_servers == pytest.approx(0.6 * 8.0 / (1.0 - 0.2 * SHARE_GAIN))
    assert capacity_bound.admissible_share(4.0) == pytest.approx(
        MAX_UTILIZATION * 4.0 / capacity_bound.needed_servers
    )


def test_reports_from_before_a_loss_are_not_attributed_to_the_remaining_servers() -> None:
    capacity_bound = CapacityBound()
    capacity_bound.observe_period(0.6, 8.0, 1.0)
    assert capacity_bound.update(4.0) == pytest.approx(MAX_UTILIZATION * 4.0 / 4.8)
    capacity_bound.observe_period(0.6, 4.0, 0.7)  # taken as a report of four servers it would give 2.8
    assert capacity_bound.needed_servers == pytest.approx(4.8)
    capacity_bound.observe_period(0.8, 4.0, 0.7)
    assert capacity_bound.needed_servers < 4.8


def test_a_loss_with_cold_keys_raises_the_need_once_and_a_single_server_does_not() -> None:
    capacity_bound = CapacityBound(warm_keys=True)
    capacity_bound.observe_period(0.6, 8.0, 1.0)
    assert capacity_bound.update(7.0) == 1.0 and capacity_bound.needed_servers == pytest.approx(4.8)
    capacity_bound.update(4.0)
    assert capacity_bound.needed_servers == pytest.approx(4.8 * (1.0 + COLD_KEY_OVERHEAD * 0.5))
    before = capacity_bound.needed_servers
    capacity_bound.update(4.0)  # no further loss
    assert capacity_bound.needed_servers == before


@given(st.lists(st.tuples(st.floats(0, 16), st.floats(0, 1000), st.floats(0, 1))), st.floats(0, 1000))
def test_the_share_stays_within_its_bounds_for_any_reports(
    periods: list[tuple[float, float, float]], remaining: float
) -> None:
    capacity_bound = CapacityBound()
    for utilization, servers, admitted_share in periods:
        capacity_bound.observe_period(utilization, servers, admitted_share)
        assert MIN_SHARE <= capacity_bound.update(servers / 2.0) <= 1.0
    assert MIN_SHARE <= capacity_bound.admissible_share(remaining) <= 1.0
    assert capacity_bound.admissible_share(remaining) <= capacity_bound.admissible_share(remaining + 1.0)


def harness_at_utilization(utilization: float | None) -> NodeHarness:
    """A node that has sent requests to eight backends for two seconds, which reported this utilization."""
    harness = NodeHarness(Settings(classes=(SAFE,), max_attempts=3, reports_in_answers=True), BACKENDS)
    for i in range(100):
        harness.advance_to(20.0 * i)
        for send in sends(harness.ask(f"w{i}")):
            report = {"utilization": utilization} if utilization is not None else None
            harness.end(f"w{i}", Status.OK, send.endpoint, report=report)
    return harness


def refused_share(harness: NodeHarness, count: int = 200) -> float:
    """The share of ``count`` arrivals that is refused while no request is answered."""
    actions = [harness.handle(Arrival(f"n{i}", 0, 0, harness.now + 1000.0)) for i in range(count)]
    return sum(any(isinstance(a, Refuse) for a in some) for some in actions) / count


def drain(harness: NodeHarness, names: str) -> None:
    state = {name: EndpointState.DRAINING if name in names else EndpointState.READY for name in BACKENDS}
    harness.discover([Endpoint(name, state=state[name]) for name in BACKENDS])


@pytest.mark.parametrize(
    ("utilization", "gone", "share"), [(0.6, "abcd", 0.29), (0.6, "a", 0.0), (0.3, "abcd", 0.0)]
)
def test_draining_half_of_the_backends_reduces_admission_at_once(
    utilization: float, gone: str, share: float
) -> None:
    harness = harness_at_utilization(utilization)
    assert refused_share(harness, 20) == 0.0
    drain(harness, gone)
    assert refused_share(harness) == pytest.approx(share, abs=0.1)  # 1 - 0.85 * 4 / 4.8 if half is gone


def test_without_reports_nothing_is_bounded() -> None:
    harness = harness_at_utilization(None)
    drain(harness, "abcd")
    assert refused_share(harness) == 0.0


def test_unreachable_servers_count_as_lost() -> None:
    harness = harness_at_utilization(0.6)
    for i in range(200):
        request, attempt = f"d{i}", 0
        out = sends(harness.ask(request))
        while out and out[0].endpoint in "abcd":
            out = sends(harness.end(request, Status.UNREACHABLE, out[0].endpoint, attempt))
            attempt += 1
        if out:
            harness.end(request, Status.OK, out[0].endpoint, attempt)
    harness.advance_to(harness.now + WEIGHTS_INTERVAL_MS)
    assert refused_share(harness) == pytest.approx(0.29, abs=0.1)
