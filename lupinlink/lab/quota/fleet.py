"""Gateways, their traffic, and what is counted of both."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Callable, Sequence

from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.errors import LupinError
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.lab.quota.clocks import ProcessClock
from lupinlink.lab.quota.referee import Referee
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import Charge, Limit, Policy, TokenStore
from lupinlink.quota.sharing.agent import QuotaAgent
from lupinlink.quota.sharing.policies import InForce
from lupinlink.quota.sharing.terms import Terms

CLOCK_ERROR = 5e-4  # clocks run fast or slow by up to so much: what NTP may slew
LEASE_MS = 15000.0
PURSES = ("shared", "divided", "whole")


class Process:
    """One gateway."""

    def __init__(self, fleet: Fleet, place: int) -> None:
        self.place, self.name = place, f"g-{place:03d}"
        rng = random.Random(f"{fleet.seed}/{place}/{fleet.born}")
        self.clock = ProcessClock(
            fleet.clock, 1.0 + CLOCK_ERROR * rng.uniform(-1.0, 1.0), rng.uniform(0.0, 1e6)
        )
        self.purses: list[TokenStore] = []
        self.agent: QuotaAgent | None = None
        self.transport = fleet.service.transport(self.clock)
        self.client = AgreementClient(self.transport, self.clock, rng.random)
        if fleet.kind != "shared":
            share = 1 if fleet.kind == "whole" else len(fleet.weights)
            limits = [_divided(limit, share) for limit in fleet.policy.limits]
            self.purses = [LocalTokenStore(limits)]
            return
        self.process_lease = ProcessLease(self.client, self.clock, LEASE_MS, rng.random)
        self.agent = QuotaAgent(
            self.client, self.clock, self.process_lease, rng.random, fleet.terms, self.name, place, "1",
            fleet.build, lambda policy: frozenset(), self._changed, fleet.told.append,
        )  # fmt: skip
        self.process_lease.start()
        self.agent.start()

    def _changed(self, versions: Sequence[InForce]) -> None:
        self.purses = [version.purse for version in versions]

    @property
    def serves(self) -> bool:
        """Whether a request that comes to it is looked at."""
        return not (self.clock.stopped or self.clock.dead)

    def admits(self, charges: Sequence[Charge]) -> bool:
        """Ask its purses, as ``compiled_policy.decide_all_versions`` does."""
        now, taken = self.clock.now(), list[TokenStore]()
        for purse in self.purses:
            if purse.take(charges, now) is not None:
                for other in taken:
                    other.refund(charges, now)
                return False
            taken.append(purse)
        return True


def _divided(limit: Limit, share: int) -> Limit:
    from dataclasses import replace

    return replace(limit, rate_per_s=limit.rate_per_s / share, burst=max(1.0, limit.burst / share))


class Fleet:
    """All of them, one true time, one service."""

    def __init__(
        self,
        policy: Policy,
        weights: Sequence[float],
        demand_per_s: Callable[[float], float],
        charges: Callable[[random.Random], Sequence[Charge]],
        seed: int,
        terms: Terms,
        kind: str = "shared",
    ) -> None:
        """``weights``: each gateway's part of the traffic; ``demand_per_s``: of all, by true ms."""
        self.policy, self.seed, self.terms, self.kind = policy, seed, terms, kind
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.service = MemoryService(self.clock, late=1.5, delay_ms=5.0)
        self.told: list[LupinError] = []
        self.born = 0
        self.referee = Referee(dict(enumerate(policy.limits)))
        self._demand, self._charges = demand_per_s, charges
        self.weigh(weights)
        self.processes = [Process(self, place) for place in range(len(weights))]
        self.offered: list[float] = []  # true ms
        self.admitted: list[float] = []
        self.clock.after(0.0, self._arrive)

    def build(self, text: str) -> Policy:
        return self.policy

    def weigh(self, weights: Sequence[float]) -> None:
        """From now on the traffic comes so."""
        self.weights = list(weights)
        self._sums = list(itertools.accumulate(weights))

    def restart(self, place: int) -> None:
        """A new process in a place."""
        self.born += 1
        self.processes[place] = Process(self, place)

    def lead(self) -> Process | None:
        """Who deals."""
        return next(
            (p for p in self.processes if p.agent is not None and p.agent.lead.is_leader and p.serves), None
        )

    def _arrive(self) -> None:
        now = self.clock.now()
        self.clock.after(self.rng.expovariate(1.0) * 1000.0 / self._demand(now), self._arrive)
        for _ in range(20):  # a front sends to one that answers
            process = self.processes[bisect.bisect(self._sums, self.rng.random() * self._sums[-1])]
            if process.serves:
                break
        else:
            return
        charges = self._charges(self.rng)
        self.offered.append(now)
        if process.admits(charges):
            self.admitted.append(now)
            for charge in charges:
                self.referee.admitted(charge, now)

    def calls(self) -> int:
        """To the service, of the processes that run."""
        return sum(process.client.calls for process in self.processes)
