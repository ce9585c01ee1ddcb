"""A helper as one zone's front: its clients, their connections, and which proxies it hands them to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

import aiohttp

from lupinlink.lab.asking import Asking
from lupinlink.lab.callers import Call, Pool
from lupinlink.lab.fleet import addresses
from lupinlink.lab.loop import LoopClock
from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.world import World
from lupinlink.lab.sockets import AGENT_SHARE

LOOK_S = 1.0  # between two looks at a proxy that is in
SEEK_S = 0.1  # and at one that is not
ANSWER = aiohttp.ClientTimeout(total=1.0)  # so long may the answer to a look take
NOTICE_S = 2.0  # a proxy that answers no look is noticed to be dead after so long
LEAVES_MS = 600.0  # past its time a client closes its connection


class FleetAsking(Asking):
    """Clients of a fleet: their requests say in the path what they cost, and they leave in the end."""

    def target(self, ask: Ask) -> str:
        return f"{super().target(ask)}?work={ask.want.work_ms:.3f}&wait={ask.want.wait_ms:.3f}"

    def wrote(self, call: Call) -> None:
        ask = self.asks.get(call.name)
        super().wrote(call)
        if ask is not None and not call.again:
            self.clock.at(ask.deadline + LEAVES_MS, partial(self._gone, ask))
            if ask.name in self.asks:
                del self.asks[ask.name]

    def ended_early(self, ask: Ask) -> None:
        self.world.referee.broken_off(ask.name, self.clock.now())


class Look:
    """Asks one proxy again and again whether it is up, on a connection that is kept."""

    def __init__(self, session: aiohttp.ClientSession, host: str, port: int) -> None:
        self._session, self._url = session, f"http://{host}:{port}/up"

    async def status(self) -> int:
        """The status of ``GET /up``; 0: no answer came."""
        try:
            # A kept connection may be closed at rest: the client then asks again on a new one.
            async with self._session.get(self._url, headers={"Host": "lab"}, timeout=ANSWER) as answer:
                return answer.status
        except (OSError, aiohttp.ClientError, TimeoutError):
            return 0


class ZoneFront:
    """One zone's clients and front. ``changed`` is told of its proxies that come in or go out, and of
    the time of the last look at which that was certainly not so, or, of one that goes out, of this one, and
    whether it said so itself; it is told again of one that was silent and is up as before."""

    def __init__(
        self,
        scenario: Scenario,
        world: World,
        asking: FleetAsking,
        clock: LoopClock,
        loop: asyncio.AbstractEventLoop,
        zone: int,
        port: int,
        changed: Callable[[int, bool, float, bool], None],
        lacking: Callable[[OSError], None],
    ) -> None:
        self.world, self._clock, self._changed = world, clock, changed
        self._front = world.agents.front
        self._random = Random(world.streams.number(f"looks {zone}"))
        zones, most = self._front.zone_of, int(scenario.proxies.sockets * AGENT_SHARE)
        for i, its_zone in enumerate(zones):
            host = addresses.listens(its_zone, i)
            asking.pools.append(Pool(loop, host, port, most, asking.wrote, lacking=lacking))
        self._leaving: set[int] = set()
        self._front.alive = [False] * len(zones)
        self._front.revise()
        self._session = session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        )
        self._tasks = [
            loop.create_task(self._watch(i, Look(session, addresses.listens(zone, i), port)))
            for i, its_zone in enumerate(zones)
            if its_zone == zone
        ]
        self._pools = asking.pools

    async def _watch(self, proxy: int, look: Look) -> None:
        up, quiet_since, before = False, 0.0, self._clock.now()
        await asyncio.sleep(self._random.uniform(0.0, SEEK_S))
        while True:
            status = await look.status()
            now, silent = self._clock.now(), bool(quiet_since)
            if status:
                quiet_since = 0.0
            elif not quiet_since:
                quiet_since = now
            dead = bool(quiet_since) and now - quiet_since >= NOTICE_S * 1000.0
            is_up = status == 200 or (up and not status and not dead)
            is_up = is_up and proxy not in self._leaving
            if is_up != up or (is_up and silent and status):
                up = is_up
                self.put(proxy, up)
                self._changed(proxy, up, before if up else now, bool(status))
            before = now
            await asyncio.sleep(LOOK_S if status else SEEK_S)

    def put(self, proxy: int, up: bool) -> None:
        """A proxy is handed connections from now on, or no more."""
        if self._front.alive[proxy] != up:
            self._front.alive[proxy] = up
            self._front.revise()

    def leaving(self, proxy: int, leaves: bool) -> None:
        """A planned restart: nothing more for it until it has started again."""
        if leaves:
            self._leaving.add(proxy)
            self.put(proxy, False)
        else:
            self._leaving.discard(proxy)

    async def close(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()
        for pool in self._pools:
            pool.close()
