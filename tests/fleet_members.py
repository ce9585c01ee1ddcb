"""Processes of a fleet on a virtual clock, for tests; each can be suspended, cut off and resumed."""

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
    """A process's ``Clock``: while the process is suspended, time goes on but calls wait until it resumes."""

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

    def resume(self) -> None:
        """As after SIGCONT: make the calls that came due meanwhile."""
        self.stopped = False
        late, self._late = self._late, []
        for call in late:
            call()


class Candidate:
    """One process that takes part in the election."""

    def __init__(self, service: MemoryService, clock: VirtualClock, number: int) -> None:
        self.clock = StoppableClock(clock)
        self.transport = service.transport(self.clock)
        draw = random.Random(number).random
        self.client = AgreementClient(self.transport, self.clock, draw)
        self.process_lease = ProcessLease(self.client, self.clock, TTL_MS, draw)
        self.highest_fence = HighestFence()
        self.fences_led: list[int] = []
        self.lost = self.failed_writes = 0
        self.lead = LeaderElection(
            self.client,
            self.clock,
            self.process_lease,
            KEY,
            f"p{number}",
            draw,
            self._on_elected,
            self._lost,
            self.highest_fence,
        )
        self.process_lease.start()
        self.lead.start()

    def _on_elected(self, fence: int) -> None:
        self.fences_led.append(fence)

    def _lost(self, error: object) -> None:
        self.lost += 1

    def prepare_write(self) -> Callable[[], None]:
        """Prepare a write as leader, if the process is one by its own clock; the result performs it."""
        if not self.lead.is_leader:
            return lambda: None
        value = b"%d %d" % (
            self.lead.fence,
            next(_numbers),
        )  # unique, since an equal value would be no change
        steps: list[Step] = [*self.lead.guard(), Put("work", value, None)]

        def write() -> None:
            self.client.commit(steps).addErrback(self._failed)

        return write

    def _failed(self, failure: Failure) -> None:
        assert isinstance(failure.value, CoordinationError)
        self.failed_writes += 1


class AcceptedWrites:
    """The fences of the writes that the service accepted since its last restore, in order."""

    def __init__(self, service: MemoryService) -> None:
        self.fences: list[int] = []
        store, do = service.store, service.store.commit

        def commit(steps: list[Step], now: float) -> dict[str, Record]:
            written = do(steps, now)
            self.fences += [int(step.value.split()[0]) for step in steps
                            if isinstance(step, Put) and step.key == "work"]  # fmt: skip
            return written

        store.commit = commit  # type: ignore[method-assign, assignment]
