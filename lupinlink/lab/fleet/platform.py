"""The platform under the application servers: it starts those anew that are out of use by permit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.service import AgreementService

LOOK_S = 1.0
QUIET_S = 2.0  # after its permit: what the proxies had sent there has its answer
DOWN_S = 7.0  # from the drain to the new process: the old one leaves in between


class Platform:
    """Looks who is out, as a deploy tool at the doors would."""

    def __init__(self, ground: Ground, service: AgreementService, tell: Callable[..., None]) -> None:
        self._ground, self._service, self._tell = ground, service, tell
        self._known: set[str] = set()

    async def work(self) -> None:
        """Until the end of the play."""
        while not self._ground.closing:
            held = set(await self._service.permits("servers"))
            for name in held - self._known:
                self._ground.spawn(self._anew(name))
            self._known = held
            await asyncio.sleep(LOOK_S)

    async def _anew(self, name: str) -> None:
        await asyncio.sleep(QUIET_S)
        self._tell("drain", name)
        self._ground.world.farm.drain(name)
        await asyncio.sleep(DOWN_S)
        if not self._ground.closing:
            self._tell("restart", name)
            self._ground.world.farm.restart(name)
