"""Watches attempts whose response is overdue: load samples, stuck servers, and cancels for a retry.

A response that has begun is not given up while it may still come whole in time, however long it pauses:
nothing tells one that goes on from one that never ends. Only where a retry is allowed is it given up, for the
time that another attempt usually takes.
"""

from lupinlink.brain.discovery_node import DiscoveryNode
from lupinlink.brain.health import MAX_EJECTED_SHARE
from lupinlink.brain.retry_rules import bound_to_cell, may_retry_anywhere, may_retry_at
from lupinlink.brain.server_selection import LATENCY, OVERDUE_GAIN
from lupinlink.interface import Attempt, Cancel, Request

# Factor on its age until the next check; deviations until it is lost; silent attempts of a stuck server.
OVERDUE_RECHECK_FACTOR, LOST_DEVS, MAX_SILENT = 1.5, 20.0, 3
# Left for a retry of a response that pauses: deviations over the mean, and the most of a request's time.
RETRY_DEVS, MAX_RETRY_SHARE = 2.0, 0.25
ANSWER_MARGIN_MS = 15.0  # a final answer goes out so long before the client's deadline


class OverdueNode(DiscoveryNode):
    """Checks on each open attempt again and again once it is overdue."""

    def may_retry(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can be in time and the retry budget allows it."""
        raise NotImplementedError

    def overdue(self, request: Request, attempt: Attempt, now: float, is_first: int = 0) -> None:
        """Take an open attempt's age for a load sample: an overloaded server also reports late."""
        if attempt.status is not None:
            return
        server, age, stats = attempt.server, now - attempt.sent_at, self.latency[request.arrival.class_index]
        self.selector.observe(server, age / stats.mean, LATENCY, OVERDUE_GAIN, now)
        self.call_later((OVERDUE_RECHECK_FACTOR - 1.0) * age, lambda t: self.overdue(request, attempt, t))
        # A stuck server loses all it is sent. If it answers others, only this connection is silent.
        unheard = server.last_response_at < attempt.sent_at
        server.unanswered += is_first * unheard
        is_stuck = unheard and (server.unanswered >= MAX_SILENT or (server.on_probation and not is_first))
        if is_stuck:
            self.eject(server, now, MAX_EJECTED_SHARE * self.ready)
        is_lost = is_stuck or age > stats.mean + LOST_DEVS * stats.deviation
        if is_lost and not attempt.answer_begun:
            self.cancel_for_retry(request, attempt, now)

    def cancel_for_retry(self, request: Request, attempt: Attempt, now: float) -> None:
        """Cancel the last attempt of a request, if another one may follow and be in time."""
        elsewhere = self.may_go_elsewhere(request, attempt, now)
        if elsewhere and self.settings.may_cancel and self.may_retry(request, now):
            self.actions.append(Cancel(request.arrival.request_id, len(request.attempts) - 1))

    def answer_began(self, request: Request, attempt: Attempt, now: float) -> None:
        """Look again when there is just time for another attempt."""
        if not may_retry_anywhere(attempt, request.cls, now):
            return
        stats, deadline = self.latency[request.arrival.class_index], request.arrival.deadline
        usual_ms = ANSWER_MARGIN_MS + stats.observed_mean() + RETRY_DEVS * stats.deviation
        left_ms = min(usual_ms, MAX_RETRY_SHARE * (deadline - request.attempts[0].sent_at))
        self.call_later(
            max(0.0, deadline - left_ms - now), lambda t: self.still_silent(request, attempt, t, left_ms)
        )

    def still_silent(self, request: Request, attempt: Attempt, now: float, silent_ms: float) -> None:
        """Give up a response that has brought nothing for so long, for the last retry that may be in time."""
        if attempt.status is None and not request.done and now - attempt.last_data_at >= silent_ms:
            self.cancel_for_retry(request, attempt, now)

    def may_go_elsewhere(self, request: Request, attempt: Attempt, now: float) -> bool:
        """Whether a usable server that has not had the request may get it after this attempt."""
        if not may_retry_anywhere(attempt, request.cls, now):
            return False
        used = {a.server.endpoint.name for a in request.attempts}  # by name: a restart changes nothing
        at, subset = bound_to_cell(request), self.selector.subset
        servers = subset.usable() if at is None else subset.cell(at.zone, at.cell)
        others = (s for s in servers if s.endpoint.name not in used)
        return any(may_retry_at(attempt, request.cls, s.endpoint, now) for s in others)
