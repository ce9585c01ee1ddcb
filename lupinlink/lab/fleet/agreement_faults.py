"""What befalls the agreement service, and faults aimed by what is agreed: at the lead, at a holder."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.service import AgreementService
from lupinlink.lab.model.fault_kinds import Fault

LOOK_S = 0.1  # between two looks at what is agreed
WRITES = ["txn", "kv_put", "kv_delete"]  # of records: a session's own calls keep their answers
PLAIN = {  # kinds that one fault of the stand-in plays
    "agreement_gone": "gone", "agreement_hangs": "hang", "agreement_leaderless": "no_leader",
    "agreement_busy": "too_many", "agreement_slow": "slow", "agreement_cut": "cut",
    "agreement_loses_answers": "lose_answers",
}  # fmt: skip


class AgreementFaults:
    """Plays them."""

    def __init__(self, ground: Ground, bank: Bank, service: AgreementService) -> None:
        self._ground, self._bank, self._service = ground, bank, service

    def plan(self) -> None:
        """Save the states that are put back later."""
        ground = self._ground
        for fault in ground.scenario.faults.values():
            if fault.save_at_s is not None:
                at = ground.world.began + fault.save_at_s * 1000.0
                ground.clock.at(at, lambda: ground.spawn(self._service.save()))

    def aim(self, fault: Fault, proxies: list[int], hit: Callable[[list[int]], None]) -> None:
        """Wait for the fault's moment and find whom it meets: ``proxies``, if it aims at nobody."""
        self._ground.spawn(self._aim(fault, proxies, hit))

    async def _aim(self, fault: Fault, proxies: list[int], hit: Callable[[list[int]], None]) -> None:
        await self._moment(fault)
        targets = proxies if fault.whom is None else []
        while not targets and not self._ground.closing:
            if fault.whom == "lead":
                lead = await self._service.lead()
                targets = [] if lead is None else [lead]
            else:
                # The one that went first: its permit has been in use for longest.
                held = await self._service.permits()
                targets = [int(name[1:]) for name in held if name[1:].isdigit()][:1]
            if targets and not all(self._bank.proxies[i].runs for i in targets):
                targets = []
            if not targets:
                await asyncio.sleep(LOOK_S)
        if not self._ground.closing:
            hit(targets)

    async def _moment(self, fault: Fault) -> None:
        while fault.when is not None and not self._ground.closing:
            if await self._service.holds(fault.when):
                return
            await asyncio.sleep(LOOK_S)

    def play(self, name: str, fault: Fault, proxies: list[int]) -> None:
        """A fault of the service begins; ``proxies``: those that are cut off."""
        self._ground.spawn(self._play(name, fault, proxies))

    async def _play(self, name: str, fault: Fault, proxies: list[int]) -> None:
        service = self._service
        if fault.when is not None:
            await self._moment(fault)
            self._ground.late(name, [f"n{i}" for i in proxies])
        if fault.kind == "agreement_restarted":
            await service.restart(fault.for_s * 1000.0)
        elif fault.kind == "agreement_restored":
            await service.restore()
        else:
            kind = PLAIN[fault.kind]
            more: dict[str, Any] = {"ms": fault.ms} if fault.ms else {}
            if fault.kind == "agreement_loses_answers":
                more |= {"count": fault.count, "calls": WRITES}
            whom = proxies if fault.kind == "agreement_cut" else None
            await service.fault(kind, True, whom, **more)
            await asyncio.sleep(fault.for_s)
            await service.fault(kind, False, whom)
