"""A process's share in the fleet's quotas, carried over an ``Agreement``; a fleet ``Component``.

Calls to the service in steady state: an ask and the question that brings its answer each half of a slice's
life; the lead reads all asks once a round and writes the answers, as many as fit into a commit.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.component import AdminRoutes
from lupinlink.coordination.contract import Agreement, Delete, Put, View, Watch
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.errors import LupinError
from lupinlink.quota.sharing.allocator import Allocator
from lupinlink.quota.sharing.door import Door
from lupinlink.quota.sharing.errors import GarbledError, OnFloorError
from lupinlink.quota.sharing.gateway import Gateway
from lupinlink.quota.sharing.leading import Leading, record_of
from lupinlink.quota.sharing.messages import ASKS, DEALT, LEAD, POLICY, pack, read_dealt
from lupinlink.quota.sharing.policies import Build, Holding, InForce, KnownPolicies
from lupinlink.quota.sharing.settling import Settling
from lupinlink.quota.sharing.terms import Terms

log = logging.getLogger(__name__)
TICK_MS = 250.0  # between two looks at what was counted
MOST_AGAIN_MS = 10000.0  # between two asks that failed


class QuotaAgent:
    """One process; ``start`` it once."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        process_lease: ProcessLease,
        draw: Callable[[], float],
        terms: Terms,
        name: str,
        place: int,
        text: str,
        build: Build,
        holding: Holding,
        changed: Callable[[Sequence[InForce]], None],
        told: Callable[[LupinError], None],
    ) -> None:
        """``name``: the same after a restart; ``place``: from 0 to ``terms.gateways`` - 1, of no other.

        ``draw``: from [0, 1), of this process alone. For the rest see ``policies.KnownPolicies``. Raises what
        ``build`` raises for ``text``.
        """
        self._agreement, self._clock, self._draw, self._terms, self._told = (
            agreement,
            clock,
            draw,
            terms,
            told,
        )
        born = f"{int(draw() * 2.0**48):012x}"
        self.gateway = Gateway(terms, name, born, place)
        self.policies = KnownPolicies(
            agreement, clock, self.gateway, terms, text, build, holding, changed, told, draw
        )
        self.settling = Settling(self.policies, terms, told)
        self.lead = LeaderElection(
            agreement, clock, process_lease, LEAD, name, draw, self._became, self._lost
        )
        self.leading: Leading | None = None
        self._backoff = Backoff(terms.ask_ms, MOST_AGAIN_MS, draw)
        self._records = record_of((name, born))
        self._watches: list[Watch] = []
        self._call = 0
        self._not_before = 0.0  # an ask
        self._asking = self._stopped = False
        self._on_floor = True  # since its start, or since its slices ran out
        self._door = Door(self, agreement, clock, build, terms)

    def start(self) -> None:
        """Hold the own file's policy, ask, watch and stand for the lead."""
        own = DEALT + self._records
        self._watches = [
            self._agreement.watch(POLICY, self.policies.view, lambda error: None),
            self._agreement.watch(own, self._answers, lambda error: None),
        ]
        self.lead.start()
        self._tick()

    def leave(self) -> None:
        """This process drains: it uses no floor any more, so that another may start in its place."""
        self.gateway.leave(self._clock.now())

    def stop(self) -> Deferred[None]:
        """End; fires when the service knows, or cannot be told."""
        self._stopped = True
        self._clock.drop(self._call)
        for watch in self._watches:
            watch.stop()
        if self.leading is not None:
            self.leading.stop()
        self.lead.stop()
        self.leave()
        ask = self.gateway.ask(self._clock.now(), self._draw())
        done = self._agreement.commit(
            [Put(ASKS + self._records, pack(ask), None), Delete(DEALT + self._records, None)]
        )
        return done.addCallbacks(lambda written: None, lambda failure: None)

    def admin_routes(self) -> AdminRoutes:
        """``/control/quota`` and below it."""
        return self._door.admin_routes()

    def _tick(self) -> None:
        now = self._clock.now()
        self._call = self._clock.at(now + TICK_MS, self._tick)
        self.gateway.tick(now)
        late = now >= self.gateway.ends_ms()
        if late and not self._on_floor:
            age = (now - self.gateway.answered_ms) / 1000.0
            self._told(OnFloorError(f"no answer of the allocator to an ask of the last {age:.1f} s"))
        self._on_floor = late
        # The lead answers its own asks in its rounds, without the service.
        if self.leading is None and not self._asking and now >= self._not_before and self.gateway.due(now):
            self._ask(now)

    def _ask(self, now: float) -> None:
        self._asking = True
        ask = self.gateway.ask(now, self._draw())
        done = self._agreement.commit([Put(ASKS + self._records, pack(ask), None)])
        done.addCallbacks(self._asked, self._unasked)

    def _asked(self, written: object) -> None:
        self._asking = False
        self._backoff.reset()

    def _unasked(self, failure: Failure) -> None:
        self._asking = False
        self._not_before = self._clock.now() + self._backoff.next_ms()
        if not isinstance(failure.value, LupinError):
            log.error("an ask failed", exc_info=failure.value)

    def _answers(self, view: View) -> None:
        record = view.records.get(DEALT + self._records)
        if record is None:
            return
        try:
            dealt = read_dealt(record.value)
        except msgspec.DecodeError as exc:
            self._told(GarbledError(f"{record.key}: {exc}"))
            return
        self.gateway.hear(dealt, self._clock.now())

    def _became(self, fence: int) -> None:
        if self.leading is not None:
            self.leading.allocator.raise_fence(fence)
            return
        name = f"{int(self._draw() * 2.0**48):012x}"
        allocator = Allocator(self._terms, name, fence, self._clock.now())
        self.leading = Leading(
            self._agreement, self._clock, self.lead, allocator, self._terms, self.gateway, self.settling,
            self._draw,
        )  # fmt: skip

    def _lost(self, error: LupinError) -> None:
        if self.leading is not None:
            self.leading.stop()
        self.leading = None
