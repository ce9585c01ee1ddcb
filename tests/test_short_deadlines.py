"""Requests whose deadline is shorter than an answer takes are refused at once and blamed on no server."""

from __future__ import annotations

import pytest

from lupinlink.brain.overdue import ANSWER_MARGIN_MS
from lupinlink.interface import Refuse, Settings, Status
from tests.helpers import SAFE, NodeHarness, finals, sends

TYPICAL_MS = 100.0


def trained_harness(count: int = 60) -> NodeHarness:
    """A node that has seen only answers after ``TYPICAL_MS``."""
    settings = Settings(classes=(SAFE,), max_attempts=3, max_retry_after_ms=2000.0)
    harness = NodeHarness(settings)
    for i in range(count):
        out = sends(harness.ask(f"w{i}"))
        harness.advance_to(harness.now + TYPICAL_MS)
        harness.end(f"w{i}", Status.OK, out[0].endpoint)
    assert harness.node.latency[0].mean == pytest.approx(TYPICAL_MS, rel=0.1)
    return harness


def test_requests_without_enough_time_are_refused_at_once_and_not_counted() -> None:
    harness = trained_harness()
    before = harness.node.period.arrivals
    for i in range(100):
        (answer,) = harness.ask(f"h{i}", left=25.0)
        assert isinstance(answer, Refuse) and answer.retry_after_ms > 0.0
    assert harness.node.period.arrivals == before and not harness.node.open_requests
    assert sends(harness.ask("earnest", left=ANSWER_MARGIN_MS + TYPICAL_MS))


def test_a_slow_class_is_not_refused_for_ever() -> None:
    harness = trained_harness()
    # Answers within the class's deadline have no mean beyond it, however overloaded the servers were.
    harness.node.latency[0].mean = SAFE.deadline_ms
    assert sends(harness.ask("next"))


def time_out_all(harness: NodeHarness, left: float) -> None:
    """Thirty concurrent requests that time out at their deadline, without any other answer."""
    out = [sends(harness.ask(f"o{i}", left=left)) for i in range(30)]
    assert all(out)
    harness.advance_to(harness.now + left)
    for i, (send,) in enumerate(out):
        harness.end(f"o{i}", Status.TIMEOUT, send.endpoint)


@pytest.mark.parametrize(("left", "blamed"), [(0.8 * TYPICAL_MS, False), (4.0 * TYPICAL_MS, True)])
def test_only_a_time_out_after_the_typical_latency_is_blamed_on_the_server(left: float, blamed: bool) -> None:
    harness = trained_harness()
    time_out_all(harness, left)
    servers = harness.node.servers.values()
    assert any(s.failure_rate > 0.0 or s.ejected_until > harness.now for s in servers) == blamed
    harness.advance_to(harness.now + 500.0)
    assert bool(finals(harness.ask("next"))) <= blamed
