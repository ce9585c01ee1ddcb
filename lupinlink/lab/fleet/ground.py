"""What all parts of the rig stand on: one world, one judge, one clock, and whether the play can go on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.fleet.size import shares
from lupinlink.lab.loop import LoopClock
from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.lost import LossReferee
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.witnesses import Hearing, Witness
from lupinlink.lab.model.world import World
from lupinlink.lab.sockets import SLACK_MS

RIG = 0  # the rig's own number among the witnesses


class Ground:
    """One play of one scenario with one seed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        ended: Callable[[Try], None] | None,
    ) -> None:
        self.scenario, self.seed, self.loop = scenario, seed, loop
        self.clock = LoopClock(loop)
        self.taken: list[Callable[[Try], None]] = [ended] if ended is not None else []  # told of ended tries
        self.judge = LossReferee(scenario, self._took, SLACK_MS)
        self.shares = shares(scenario)
        self.hearing = Hearing(self.judge, 1 + len(scenario.network.zones) + self.shares)
        self.witness = Witness(scenario, self.clock)
        self.world = World(scenario, seed, self.clock, _nobody, _nobody, referee=self.witness, zone=-1)
        self.world.referee = self.judge  # what is read of the run is the judge's
        self.failure = ""
        self.stopped = False  # by whoever started it
        self.closing = False  # nothing is started again
        self._tasks: set[asyncio.Task[None]] = set()

    def _took(self, one: Try) -> None:
        for call in self.taken:
            call(one)

    def fail(self, why: str) -> None:
        """The play cannot go on; what was wrong first is kept."""
        self.failure = self.failure or why

    @property
    def goes_on(self) -> bool:
        """Whether nobody has ended it and nothing is wrong with the rig."""
        return not (self.stopped or self.failure)

    def zone(self, name: str | None) -> int:
        """A zone's number."""
        return self.scenario.network.zones.index(name or "")

    def spawn(self, work: Any) -> None:
        """Let work go on beside; its failure is the rig's."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(f"the rig cannot go on: {' '.join(str(task.exception()).split())}")

    async def within(self, seconds: float, why: str, done: Callable[[], bool]) -> None:
        """Wait for something; raises FleetError when it is not so in time."""
        until = time.monotonic() + seconds
        while not done():
            if self.failure or time.monotonic() > until:
                raise FleetError(self.failure or f"the rig cannot begin: {why} within {seconds:g} s")
            if self.stopped:
                return
            await asyncio.sleep(0.02)

    def late(self, name: str, targets: list[str]) -> None:
        """A fault that waited for its moment begins only now."""
        for happened in self.world.script.happened:
            if happened.name == name:
                length = happened.end_ms - happened.start_ms
                happened.start_ms = self.clock.now()
                happened.end_ms, happened.targets = happened.start_ms + length, targets

    async def pass_time(self, seconds: float) -> None:
        """Let so much time pass, or less if the play is ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.goes_on:
            await asyncio.sleep(0.05)

    def close(self) -> None:
        """Nothing goes on."""
        for task in list(self._tasks):
            task.cancel()
        self.clock.stop()


def _nobody(ask: Ask) -> None:
    raise AssertionError("the rig's own copy of the world asks nothing")
