"""What becomes of each request: admitted, sent, tried again, called off or turned away."""

from random import Random

from lupinlink.brain.dispatching import ANSWER_MARGIN_MS, DispatchingNode
from lupinlink.interface import Attempt, Effect, Outcome, RefusalCause, Request, Settings, Status

RETRY_RATIO, RETRY_BURST = 0.2, 20.0  # tokens an arrival, their most


class Balancer(DispatchingNode):
    """One node's decisions: takes events, returns actions. Clock and random source are the caller's."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.retry_tokens = RETRY_BURST / 2

    def request_arrived(self, request: Request, now: float) -> None:
        if not self.in_time(request, now):  # nor is it counted: however many come, they say nothing of load
            return self.finish(request, RefusalCause.NO_TIME)
        self.period.arrivals += 1
        self.period.retries += request.arrival.is_retry
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.probe_some()
        if now >= self.selector.due_at:
            self.look_ahead(now)
        bucket = self.shedding_order.bucket(request.arrival, self.rng)
        if self.admission.refusing and self.rng.random() >= self.shedding_order.admit_probability[bucket]:
            self.period.refused += 1
            return self.finish(request, RefusalCause.SHED)
        self.dispatch(request, now)

    def attempt_ended(self, request: Request, attempt: Attempt, event: Outcome, now: float) -> None:
        self.evidence(request, attempt, event, now)
        self.freed(attempt.server, now)
        if request.done:
            return
        if event.status == Status.REJECTED:  # no server will take it
            return self.finish(request, None)
        cost = event.status not in (Status.UNREACHABLE, Status.NOT_SENT)  # those have cost no server anything
        final = request.cls.effect == Effect.UNSAFE and attempt.may_have_run()
        if final or not self.again(request, now, cost):
            return self.finish(request, RefusalCause.NO_RETRY)
        self.retry_tokens -= cost
        self.dispatch(request, now)

    def again(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can still be useful and the budget lasts: retries must make no storm."""
        return self.retry_tokens >= cost and self.in_time(request, now)

    def in_time(self, request: Request, now: float) -> bool:
        """Whether an answer may still come before the client has gone."""
        usual = self.latency[request.arrival.class_index].observed_mean()
        return request.arrival.deadline - now >= ANSWER_MARGIN_MS + usual / 2
