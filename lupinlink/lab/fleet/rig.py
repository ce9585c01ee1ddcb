"""The rig: starts a fleet and all that stands round it, plays the scenario, and ends all it started."""

from __future__ import annotations

import asyncio
import math
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.agreeing import Agreeing
from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.befalling import Befalling
from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.gate import FIRST_PORT, FleetError, claim
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.helpers import Helpers
from lupinlink.lab.fleet.processes import Program
from lupinlink.lab.fleet.seconds import Seconds
from lupinlink.lab.fleet.size import check_size, idle_s
from lupinlink.lab.fleet.starting import furnish, start_fleet
from lupinlink.lab.loop import Lag
from lupinlink.lab.model import windows
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.windows import FleetSecond
from lupinlink.lab.model.world import World
from lupinlink.lab.sockets import LEAD_MS

DOOR = 60  # the ports of operators' doors, after the proxies' own
NOBODY = 9  # a port that nothing listens at


class FleetDrive:
    """Plays one scenario with one seed on a fleet of real processes."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        ended: Callable[[Try], None] | None = None,
        *,
        program: Program,
        logs: Path | None = None,
    ) -> None:
        """``logs``: the proxies' logs are kept there; else they go with the run."""
        self._ground = ground = Ground(scenario, seed, loop, ended)
        self.clock, self.world = ground.clock, ground.world
        self.seconds: list[FleetSecond] = []
        self.figures: dict[str, float] = {}
        self.fleet: dict[str, Any] = {}
        self._program, self._logs = program, logs
        self._notes = Seconds(ground)
        self._helpers = Helpers(ground, self._notes.heard, self._heard_up)
        self._discovery: Discovery | None = None
        self._bank: Bank | None = None
        self._agreeing = Agreeing(ground, scenario.agreement) if scenario.agreement is not None else None

    @property
    def stopped(self) -> bool:
        """Whether it was ended before the end."""
        return self._ground.stopped

    def stop(self) -> None:
        """End before the end."""
        self._ground.stopped = True

    async def run(self) -> World:
        """Play it to its end; raises FleetError in one line where the rig could not do its part."""
        check_size(self._ground.scenario)
        try:
            with tempfile.TemporaryDirectory(prefix="lupinlink-fleet-") as folder:
                if self._logs is not None:
                    self._logs.mkdir(parents=True, exist_ok=True)
                try:
                    await self._play(Path(folder))
                finally:
                    await self._end()
        except OSError as exc:
            raise FleetError(f"the rig cannot go on: {(exc.strerror or str(exc)).lower()}") from exc
        return self.world

    async def _play(self, folder: Path) -> None:
        ground = self._ground
        probe = claim(FIRST_PORT + (os.getpid() * 37) % 15_000)
        port = probe.getsockname()[1]
        probe.close()
        await self._helpers.start(port)
        self._discovery = discovery = Discovery(self.world, ground.loop, self._endpoint, port + 50)
        await discovery.open()
        await self._helpers.ready()
        self._bank = bank = Bank(ground, discovery, self._helpers.tell)
        door = port + DOOR if self._agreeing is not None else 0
        furnish(ground, bank, discovery, self._program, folder, port, door)
        if self._agreeing is not None:
            await self._agreeing.start(bank, folder)
        self.figures["ready_s"] = await start_fleet(ground, bank)
        self.fleet["never_ready"] = sorted(set(range(len(bank.proxies))) - bank.up - bank.idle)
        befalling = Befalling(ground, bank, discovery)
        await self._serve(bank, discovery, befalling)
        await self._helpers.last_words()
        ground.hearing.tell(math.inf)
        if not ground.stopped:
            ground.judge.overdue(ground.clock.now())
        self._sum_up(bank, befalling)
        if self._agreeing is not None:
            self.fleet["agreed"] = await self._agreeing.sums(self.seconds)

    async def _serve(self, bank: Bank, discovery: Discovery, befalling: Befalling) -> None:
        """Clients ask, and faults befall the fleet, until the scenario's end."""
        ground, clock, world = self._ground, self.clock, self.world
        if ground.scenario.agreement is not None:
            await ground.pass_time(ground.scenario.agreement.ready_after_s)
        lag = Lag(clock)
        busy, began, idle_before = time.process_time(), time.monotonic(), idle_s()
        start_ms = math.ceil((clock.now() + LEAD_MS) / 1000.0) * 1000.0
        world.began = start_ms
        self._helpers.tell("start", start_ms)

        def befell(name: str, targets: list[str]) -> None:
            self._helpers.tell("fault", name, targets)
            befalling.play(name, targets)

        def begin() -> None:
            world.script.begun.append(befell)
            if self._agreeing is not None:
                self._agreeing.plan(bank, befalling, self._helpers.tell)
            world.script.start()
            self._notes.second(discovery, bank)
            bank.sample()

        clock.at(start_ms, begin)
        hear = ground.loop.create_task(self._notes.hear())
        while clock.now() < world.last_end and ground.goes_on:
            await asyncio.sleep(0.1)
            bank.look_for_crashes()
        span = time.monotonic() - began
        self.figures |= {
            **{f"rig_{name}": value for name, value in lag.figures().items()},
            "rig_cpu_share": (time.process_time() - busy) / span,
            "machine_idle_share": (idle_s() - idle_before) / span / (os.cpu_count() or 1),
        }
        hear.cancel()
        if ground.failure:
            raise FleetError(ground.failure)

    def _heard_up(self, proxy: int, up: bool, at: float, told: bool) -> None:
        if self._bank is not None:
            self._bank.heard_up(proxy, up, at, told)

    def _endpoint(self, proxy: int, name: str) -> str:
        zone, ports = self.world.agents.front.zone_of[proxy], self._helpers.ports
        if name not in ports:
            self._ground.fail(f"the rig cannot go on: {name} was listed before it listened")
        return f"{addresses.finds(zone, proxy)}:{ports.get(name, NOBODY)}"

    async def _end(self) -> None:
        """Leave nothing behind."""
        self._ground.closing = True
        if self._bank is not None:
            await self._bank.end(self._logs, played=bool(self.seconds))
            self.figures["proxy_cpu_s"] = sum(one.cpu_s for one in self._bank.proxies)
        await self._helpers.end()
        if self._agreeing is not None:
            await self._agreeing.end()
        if self._discovery is not None:
            self._discovery.close()
        self._ground.close()

    def _sum_up(self, bank: Bank, befalling: Befalling) -> None:
        """The fleet's figures."""
        notes = self._notes
        notes.note_until(self.clock.now())
        self.seconds = notes.all()
        self.figures |= {**self._helpers.figures(), **bank.figures()}
        returns = notes.returns(befalling.outages, self.seconds)
        self.fleet |= windows.summed(self.seconds, len(bank.proxies), returns)
        self.fleet["crashes"] = bank.crashes
        self.fleet["told_ms"] = notes.told()
