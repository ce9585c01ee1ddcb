"""The fleet by the second: what servers and discovery did, and what the judge knew when each was over."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.ground import RIG, Ground
from lupinlink.lab.model import windows
from lupinlink.lab.model.windows import FleetSecond, ServerSecond

STALLED_S = 10.0  # a process of the rig that tells nothing for so long makes all figures worthless


class Seconds:
    """Hears all witnesses, and closes each second once everybody has told what they saw in it."""

    def __init__(self, ground: Ground) -> None:
        self.told_ms: dict[int, float] = {}  # by proxy: from its last start until it was told something
        self._ground = ground
        self._rows: dict[int, dict[str, ServerSecond]] = {}
        self._calls: dict[int, tuple[int, int, int, int]] = {}
        self._fallen: list[int] = []  # cold servers pushed over by the end of each second
        self._noted, self._at = (0, 0), 0

    def heard(self, second: int, rows: dict[str, dict[str, Any]]) -> None:
        """Some servers in one second."""
        found = self._rows.setdefault(second, {})
        found |= {name: msgspec.convert(row, ServerSecond) for name, row in rows.items()}

    async def hear(self) -> None:
        """Tell the judge, in order, what everybody has seen, until the end."""
        ground = self._ground
        while True:
            await asyncio.sleep(0.05)
            now = ground.clock.now()
            ground.hearing.put(RIG, now, ground.witness.take())
            until = ground.hearing.known
            if now - until > STALLED_S * 1000.0:
                ground.fail(f"a process of the rig stood still for {STALLED_S:g} s")
            self.note_until(until)
            ground.hearing.tell(until)
            ground.judge.overdue(until)

    def note_until(self, until: float) -> None:
        """Close the seconds that are over, as the judge knows them."""
        ground, world = self._ground, self._ground.world
        while until >= (edge := world.began + 1000.0 * (len(world.seconds) + 1)):
            ground.hearing.tell(edge)
            at = len(world.seconds)
            absolute = int(world.began // 1000.0) + at
            taken = ground.hearing.taken
            count = ground.scenario.proxies.count
            world.taken_by = [taken.pop((absolute, i), 0) for i in range(count)]
            rows = self._rows.get(at, {})
            self._fallen.append(ground.judge.tally.fallen)
            world.note({name: round(row.held) for name, row in rows.items() if row.held >= 0.5})

    def second(self, discovery: Discovery, bank: Bank) -> None:
        """What discovery was asked, by the second."""
        world, roster = self._ground.world, self._ground.world.roster
        at, self._at = self._at, self._at + 1
        if at:
            calls, failed = roster.calls - self._noted[0], roster.calls_failed - self._noted[1]
            self._calls[at - 1] = (calls, failed, roster.watching, len(bank.up))
        self._noted = (roster.calls, roster.calls_failed)
        for i, side in enumerate(discovery.sides):
            if side.first_told:
                self.told_ms[i] = side.first_told - bank.started_at[i]
        self._ground.clock.at(world.began + 1000.0 * (at + 1), lambda: self.second(discovery, bank))

    def all(self) -> list[FleetSecond]:
        """Every second of the scenario."""
        found = []
        for at in range(int(self._ground.scenario.seconds)):
            calls, failed, watching, up = self._calls.get(at, (0, 0, 0, 0))
            found.append(FleetSecond(at, self._rows.get(at, {}), calls, failed, watching, up))
        return found

    def told(self) -> dict[str, float]:
        """From a proxy's last start until it was told something, in milliseconds."""
        told = sorted(self.told_ms.values())
        if not told:
            return {}
        return {
            "p50": round(told[len(told) // 2], 1), "max": round(told[-1], 1), "proxies": len(told)
        }  # fmt: skip

    def returns(self, outages: list[tuple[str, float]], fleet: list[FleetSecond]) -> list[dict[str, Any]]:
        """How the fleet came back from each power loss; ``fleet``: every second."""
        found = []
        ground, world = self._ground, self._ground.world
        first = int(world.began // 1000.0)
        for number, (name, at) in enumerate(outages):
            fault = ground.scenario.faults[name]
            power = int((at - world.began) / 1000.0 + fault.for_s)
            later = [int((t - world.began) / 1000.0) for _, t in outages[number + 1 :]]
            until = later[0] if later else int(ground.scenario.seconds)
            rows = world.seconds[power:until]
            plan = world.script.plans[name]
            found.append({
                "fault": name, "order": plan.order, "power_s": power,
                "discovery_s": round(plan.discovery / 1000.0 - fault.for_s, 2),
                "back_after_s": windows.back(ground.judge.by_second, first + power, first + until),
                "fallen": self._fallen[until - 1] - self._fallen[power],
                "refused": sum(r.refused for r in rows),
                "failed": sum(r.failed for r in rows), "offered": sum(r.offered for r in rows),
                **windows.costs(fleet[power:until], ground.scenario.proxies.count),
            })  # fmt: skip
        return found
