"""What a fleet that agrees has beside: the service, fleet files, operators, and eyes on what comes of it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from lupinlink.lab.fleet.agreement_faults import AgreementFaults
from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.befalling import Befalling
from lupinlink.lab.fleet.fleet_file import FleetFiles
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.operators import Operators
from lupinlink.lab.fleet.platform import Platform
from lupinlink.lab.fleet.seen import Seen
from lupinlink.lab.fleet.service import AgreementService
from lupinlink.lab.model.agreement import Agreement
from lupinlink.lab.model.windows import FleetSecond


class Agreeing:
    """All of it, for one play."""

    def __init__(self, ground: Ground, spec: Agreement) -> None:
        self.seen = Seen(ground, spec)
        ground.taken.append(self.seen.take)
        self._ground, self._spec = ground, spec
        self._service = AgreementService(ground, spec)
        self._operators: Operators | None = None

    async def start(self, bank: Bank, folder: Path) -> None:
        """Start the service, and give every proxy its fleet file; raises FleetError."""
        await self._service.start()
        files = FleetFiles(self._ground, self._service, folder)
        for one in bank.proxies:
            one.fleet = lambda proxy=one.index: files.write(proxy)  # type: ignore[misc]
        first = next(iter(self._spec.pools), "")
        bank.idle = {proxy for proxy, pool in files.pools.items() if pool != first}
        bank.seen = self.seen

        async def wanted(proxy: int) -> None:
            permit = (await self._service.permits()).get(f"n{proxy}", {})
            version = permit.get("version") or files.versions[proxy]
            if version not in self._spec.missing:
                files.versions[proxy] = version

        bank.wanted = wanted

    def plan(self, bank: Bank, befalling: Befalling, tell: Callable[..., None]) -> None:
        """The play begins: plan what operators do and what befalls the service."""
        self.seen.begin(set(bank.up))
        befalling.agreement = faults = AgreementFaults(self._ground, bank, self._service)
        faults.plan()
        self._operators = operators = Operators(self._ground, bank, self.seen.called)
        operators.plan()
        if self._spec.restarts_servers:
            self._ground.spawn(Platform(self._ground, self._service, tell).work())

    async def sums(self, seconds: list[FleetSecond]) -> dict[str, Any]:
        """The figures under ``agreed``."""
        world = self._ground.world
        moments = [t for h in world.script.happened for t in (h.start_ms, h.end_ms)]
        calls = await self._service.calls(world.began, world.began + self._ground.scenario.seconds * 1000.0)
        found = self.seen.sums(
            seconds, calls, [(at - world.began) / 1000.0 for at in moments], self._ground.judge.lost
        )
        return {**found, "orders": self._operators.answers if self._operators is not None else []}

    async def end(self) -> None:
        """End the service."""
        await self._service.end()
