"""A token store under any order of requests, refunds, parameter changes and time steps."""

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
from tests.quota_reference import policies, requests

TOLERANCE = 1e-6


class TokenStoreMachine(RuleBasedStateMachine):
    """No window admits more than the largest rate and burst that were ever in force."""

    @initialize(policy=policies())
    def start(self, policy: Policy) -> None:
        self.limits: Sequence[Limit] = policy.limits
        self.compiled, self.store, self.now = (
            CompiledPolicy(policy.limits, 1e9),
            LocalTokenStore(policy.limits),
            0.0,
        )
        self.max_parameters = {i: (limit.rate_per_s, limit.burst) for i, limit in enumerate(policy.limits)}
        self.admitted: dict[Charge, list[float]] = defaultdict(list)

    @rule(ms=st.sampled_from((1.0, 30.0, 400.0, 5000.0)))
    def advance(self, ms: float) -> None:
        self.now += ms

    @rule(request=requests, times=st.sampled_from((1, 5, 15)), refunded=st.booleans())
    def take_tokens(self, request: QuotaRequest, times: int, refunded: bool) -> None:
        charges, _ = self.compiled.charges_for(request)
        for _ in range(times):
            if self.store.take(charges, self.now) is not None:
                return
            if refunded:
                self.store.refund(charges, self.now)
                continue
            for charge in charges:
                admitted = self.admitted[charge]
                admitted.append(self.now)
                rate, burst = self.max_parameters[charge.limit]
                for number, first in enumerate(reversed(admitted), 1):
                    assert number <= rate * (self.now - first) / 1000.0 + burst + TOLERANCE

    @rule(factor=st.sampled_from((0.5, 1.0, 2.0)), values=st.integers(1, 3))
    def renew(self, factor: float, values: int) -> None:
        """Another schedule: other rates, bursts and maximum numbers of values."""
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
            rate, burst = self.max_parameters[i]
            self.max_parameters[i] = (max(rate, limit.rate_per_s), max(burst, limit.burst))
        self.store.renew(self.limits, self.now)

    @invariant()
    def buckets_are_bounded(self) -> None:
        if hasattr(self, "limits"):
            assert len(self.store) <= sum(limit.max_values for limit in self.limits)


TokenStoreMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestAnyOrder = TokenStoreMachine.TestCase
