"""Requests with less time than an answer takes: refused at once, and no server's fault."""

from __future__ import annotations

import pytest

from lupinlink.brain.dispatching import ANSWER_MARGIN_MS
from lupinlink.interface import Refuse, Settings, Status
from tests.helpers import SAFE, NodeHarness, finals, sends

USUAL_MS = 100.0


def served(count: int = 60) -> NodeHarness:
    """A node that has met nothing but answers after ``USUAL_MS``."""
    settings = Settings(classes=(SAFE,), max_attempts=3, max_retry_after_ms=2000.0)
    harness = NodeHarness(settings)
    for i in range(count):
        out = sends(harness.ask(f"w{i}"))
        harness.advance_to(harness.now + USUAL_MS)
        harness.end(f"w{i}", Status.OK, out[0].endpoint)
    assert harness.node.latency[0].mean == pytest.approx(USUAL_MS, rel=0.1)
    return harness


def test_what_nobody_can_answer_in_time_is_refused_at_once_and_counted_nowhere() -> None:
    harness = served()
    before = harness.node.period.arrivals
    for i in range(100):
        (answer,) = harness.ask(f"h{i}", left=25.0)
        assert isinstance(answer, Refuse) and answer.retry_after_ms > 0.0
    assert harness.node.period.arrivals == before and not harness.node.open_requests
    assert sends(harness.ask("earnest", left=ANSWER_MARGIN_MS + USUAL_MS))


def test_a_class_that_is_met_slowly_is_never_refused_for_good() -> None:
    harness = served()
    # What was served within the class's deadline has no mean beyond it, however jammed the farm was.
    harness.node.latency[0].mean = SAFE.deadline_ms
    assert sends(harness.ask("next"))


def overdue(harness: NodeHarness, left: float) -> None:
    """Thirty requests side by side that end with their clients' patience, nothing else being heard."""
    out = [sends(harness.ask(f"o{i}", left=left)) for i in range(30)]
    assert all(out)
    harness.advance_to(harness.now + left)
    for i, (send,) in enumerate(out):
        harness.end(f"o{i}", Status.TIMEOUT, send.endpoint)


@pytest.mark.parametrize(("left", "blamed"), [(0.8 * USUAL_MS, False), (4.0 * USUAL_MS, True)])
def test_only_a_time_out_after_the_usual_time_is_a_servers_fault(left: float, blamed: bool) -> None:
    harness = served()
    overdue(harness, left)
    servers = harness.node.servers.values()
    assert any(s.failure_rate > 0.0 or s.ejected_until > harness.now for s in servers) == blamed
    harness.advance_to(harness.now + 500.0)
    assert bool(finals(harness.ask("next"))) <= blamed
