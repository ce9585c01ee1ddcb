"""A purse under any order of requests, refunds, new figures and time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lupinlink.quota.compiled_policy import CompiledPolicy
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import Charge, Limit, Policy, QuotaRequest
from tests.quota_reference import asks, policies

SOON = 1e-6


class AnyOrder(RuleBasedStateMachine):
    """What was let in over any window fits the largest figures that were ever in force."""

    @initialize(policy=policies())
    def begin(self, policy: Policy) -> None:
        self.limits: Sequence[Limit] = policy.limits
        self.compiled, self.store, self.now = (
            CompiledPolicy(policy.limits, 1e9),
            LocalTokenStore(policy.limits),
            0.0,
        )
        self.most = {i: (limit.rate_per_s, limit.burst) for i, limit in enumerate(policy.limits)}
        self.came: dict[Charge, list[float]] = defaultdict(list)

    @rule(ms=st.sampled_from((1.0, 30.0, 400.0, 5000.0)))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule(asked=asks, times=st.sampled_from((1, 5, 15)), refunded=st.booleans())
    def ask(self, asked: QuotaRequest, times: int, refunded: bool) -> None:
        charges, _ = self.compiled.charges_for(asked)
        for _ in range(times):
            if self.store.take(charges, self.now) is not None:
                return
            if refunded:
                self.store.refund(charges, self.now)
                continue
            for charge in charges:
                came = self.came[charge]
                came.append(self.now)
                rate, burst = self.most[charge.limit]
                for number, first in enumerate(reversed(came), 1):
                    assert number <= rate * (self.now - first) / 1000.0 + burst + SOON

    @rule(factor=st.sampled_from((0.5, 1.0, 2.0)), values=st.integers(1, 3))
    def renew(self, factor: float, values: int) -> None:
        """Another season: rates and bursts other, fewer or more values."""
        self.limits = [
            replace(
                limit,
                rate_per_s=limit.rate_per_s * factor,
                burst=max(6.0, limit.burst * factor),
                guaranteed_per_s=limit.guaranteed_per_s * factor,
                max_values=values,
            )
            for limit in self.limits
        ]
        for i, limit in enumerate(self.limits):
            rate, burst = self.most[i]
            self.most[i] = (max(rate, limit.rate_per_s), max(burst, limit.burst))
        self.store.renew(self.limits, self.now)

    @invariant()
    def bounded(self) -> None:
        if hasattr(self, "limits"):
            assert len(self.store) <= sum(limit.max_values for limit in self.limits)


AnyOrder.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestAnyOrder = AnyOrder.TestCase
