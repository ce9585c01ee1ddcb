"""Processes of a fleet on a virtual clock, for tests: each may stand still, be cut off, and go on."""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import count

from twisted.python.failure import Failure

from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.contract import Put, Record, Step
from lupinlink.coordination.errors import CoordinationError
from lupinlink.coordination.fence import HighestFence
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.lab.model.clock import VirtualClock

TTL_MS = 10000.0
_numbers = count(1)
KEY = "release/lead"


class StoppableClock:
    """A process's ``Clock``: time goes on while it stands still, its calls are made when it goes on."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock, self.stopped = clock, False
        self._late: list[Callable[[], None]] = []

    def now(self) -> float:
        return self._clock.now()

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        return self._clock.at(at_ms, lambda: self._late.append(call) if self.stopped else call())

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        return self.at(self.now() + delay_ms, call)

    def drop(self, number: int) -> None:
        self._clock.drop(number)

    def go_on(self) -> None:
        """SIGCONT: what came due meanwhile is made now."""
        self.stopped = False
        late, self._late = self._late, []
        for call in late:
            call()


class Candidate:
    """One process that campaigns."""

    def __init__(self, service: MemoryService, clock: VirtualClock, number: int) -> None:
        self.clock = StoppableClock(clock)
        self.transport = service.transport(self.clock)
        draw = random.Random(number).random
        self.client = AgreementClient(self.transport, self.clock, draw)
        self.process_lease = ProcessLease(self.client, self.clock, TTL_MS, draw)
        self.seen = HighestFence()
        self.became: list[int] = []
        self.lost = self.failed = 0
        self.lead = LeaderElection(
            self.client,
            self.clock,
            self.process_lease,
            KEY,
            f"p{number}",
            draw,
            self._became,
            self._lost,
            self.seen,
        )
        self.process_lease.start()
        self.lead.start()

    def _became(self, fence: int) -> None:
        self.became.append(fence)

    def _lost(self, error: object) -> None:
        self.lost += 1

    def decide(self) -> Callable[[], None]:
        """Something to write under its lead, as far as it believes in one now; it is written when called."""
        if not self.lead.is_leader:
            return lambda: None
        value = b"%d %d" % (self.lead.fence, next(_numbers))  # an equal one would be no change
        steps: list[Step] = [*self.lead.guard(), Put("work", value, None)]

        def write() -> None:
            self.client.commit(steps).addErrback(self._failed)

        return write

    def _failed(self, failure: Failure) -> None:
        assert isinstance(failure.value, CoordinationError)
        self.failed += 1


class Works:
    """The fences under which work was accepted, in order, in the service's present history."""

    def __init__(self, service: MemoryService) -> None:
        self.fences: list[int] = []
        store, do = service.store, service.store.commit

        def commit(steps: list[Step], now: float) -> dict[str, Record]:
            written = do(steps, now)
            self.fences += [int(step.value.split()[0]) for step in steps
                            if isinstance(step, Put) and step.key == "work"]  # fmt: skip
            return written

        store.commit = commit  # type: ignore[method-assign, assignment]
