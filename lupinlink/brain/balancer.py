"""The life of a request: admission, first attempt, retries and the final answer."""

from random import Random

from lupinlink.brain.dispatching import DispatchingNode
from lupinlink.brain.overdue import ANSWER_MARGIN_MS
from lupinlink.interface import Attempt, Effect, Outcome, RefusalCause, Request, Settings, Status

RETRY_RATIO, RETRY_BURST = 0.2, 20.0  # retry budget: tokens earned per arrival, and the bucket's size


class Balancer(DispatchingNode):
    """One node's decisions: takes events, returns actions. The caller passes time and randomness."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.retry_tokens = RETRY_BURST / 2

    def request_arrived(self, request: Request, now: float) -> None:
        if not self.in_time(request, now):  # not counted as an arrival: such requests say nothing about load
            return self.finish(request, RefusalCause.NO_TIME)
        self.period.arrivals += 1
        self.period.retries += request.arrival.is_retry
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.maybe_probe()
        if now >= self.selector.weights_due_at:
            self.apply_capacity_bound(now)
        bucket = self.shedding_order.count_arrival(request.arrival, self.rng)
        if self.admission.refusing and self.rng.random() >= self.shedding_order.admit_probability[bucket]:
            self.period.refused += 1
            return self.finish(request, RefusalCause.SHED)
        self.dispatch(request, now)

    def attempt_ended(self, request: Request, attempt: Attempt, event: Outcome, now: float) -> None:
        self.record_outcome(request, attempt, event, now)
        self.server_freed(attempt.server, now)
        if request.done:
            return
        if event.status == Status.REJECTED:  # the request itself is unusable for any server
            return self.finish(request, None)
        cost = event.status not in (Status.UNREACHABLE, Status.NOT_SENT)  # these caused no server any work
        final = request.cls.effect == Effect.UNSAFE and attempt.may_have_run()
        if final or not self.may_retry(request, now, cost):
            return self.finish(request, RefusalCause.NO_RETRY)
        self.retry_tokens -= cost
        self.dispatch(request, now)

    def may_retry(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can be in time and the budget, which prevents retry storms, allows it."""
        return self.retry_tokens >= cost and self.in_time(request, now)

    def in_time(self, request: Request, now: float) -> bool:
        """Whether an answer may still come before the client's deadline."""
        typical_ms = self.latency[request.arrival.class_index].observed_mean()
        return request.arrival.deadline - now >= ANSWER_MARGIN_MS + typical_ms / 2
