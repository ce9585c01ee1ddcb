"""The bank of proxies while it is played: who is started, ended, stopped and continued, and who fell over."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.processes import FleetProxy
from lupinlink.lab.fleet.seen import Seen

LEAVE_S = 4.5  # a proxy that was told to end is killed after so long
FRONT_MS = 300.0  # after SIGTERM new connections keep coming for so long


class Bank:
    """All proxies, by number."""

    def __init__(self, ground: Ground, discovery: Discovery, tell: Callable[..., None]) -> None:
        """``tell``: what is said to the rig's own processes."""
        count = ground.scenario.proxies.count
        self.proxies: list[FleetProxy] = []
        self.up: set[int] = set()  # as their fronts see it
        self.paused: set[int] = set()
        self.crashes: list[str] = []
        self.started_at = [0.0] * count
        self.seen: Seen | None = None  # of a fleet that agrees
        self.wanted: Callable[[int], Awaitable[None]] | None = None  # sees to what is started in its place
        self.idle: set[int] = set()  # proxies of pools that do not serve at the start
        self.left = 0  # times that one ended by itself, in order, and was started again
        self._ground, self._discovery, self._tell = ground, discovery, tell
        self._epochs = [0] * count  # a later fault ends an earlier one's restart

    def heard_up(self, proxy: int, up: bool, at: float, told: bool) -> None:
        """Its front finds it up, or no more; ``told``: it said so, and was not just silent."""
        self.up.add(proxy) if up else self.up.discard(proxy)
        one = self.proxies[proxy]
        if up:
            one.is_up()
        if self.seen is not None and one.runs:
            self.seen.up(proxy, up, at, told and not one.leaving and proxy not in self.paused)

    def start(self, proxy: int) -> None:
        """Start a proxy's process, from what it was told last."""
        ground = self._ground
        one, side = self.proxies[proxy], self._discovery.sides[proxy]
        side.start()
        self.started_at[proxy] = ground.clock.now()
        ground.witness.proxy_started(proxy)
        self._tell("leaving", proxy, False)
        one.start(side.known(), ground.world.streams.number(f"proxy {proxy} start {one.starts}"))

    def start_at(self, proxy: int, at: float) -> None:
        """Start it then, unless something else has happened to it by then."""
        epoch = self._epochs[proxy]

        def start() -> None:
            if self._epochs[proxy] == epoch and not self.proxies[proxy].runs and not self._ground.closing:
                self.start(proxy)

        self._ground.clock.at(at, start)

    def kill(self, proxy: int) -> None:
        """It dies at once."""
        self._epochs[proxy] += 1
        self.paused.discard(proxy)
        self._ground.witness.proxy_died(proxy)
        self._hurt(proxy)
        self.proxies[proxy].kill()

    def _hurt(self, proxy: int) -> None:
        if self.seen is not None:
            self.seen.hurt(proxy)

    def roll(self, proxy: int) -> None:
        """A planned restart."""
        one = self.proxies[proxy]
        if not one.runs or proxy in self.paused or self._ground.closing:
            return
        one.leaving = True
        self._hurt(proxy)
        one.signal(signal.SIGTERM)
        self._epochs[proxy] += 1
        self._ground.clock.after(
            FRONT_MS, lambda: self._tell("leaving", proxy, True) if one.leaving else None
        )
        self._ground.spawn(self._after_leaving(proxy, self._epochs[proxy]))

    async def _after_leaving(self, proxy: int, epoch: int) -> None:
        one, until = self.proxies[proxy], time.monotonic() + LEAVE_S
        while one.runs and self._epochs[proxy] == epoch:
            if time.monotonic() > until:
                self.crashes.append(f"proxy {proxy} had not ended {LEAVE_S:g} s after SIGTERM")
                self.kill(proxy)
                epoch = self._epochs[proxy]
            await asyncio.sleep(0.02)
        self.look_for_crashes()
        if self._epochs[proxy] == epoch and not self._ground.closing:
            self.start(proxy)

    def pause(self, proxy: int) -> None:
        """Its machine vanishes: what it has open is lost with it."""
        self.paused.add(proxy)
        self._ground.witness.proxy_died(proxy)
        self._hurt(proxy)
        self.proxies[proxy].signal(signal.SIGSTOP)

    def go_on(self, proxy: int) -> None:
        """Its machine is there again."""
        if proxy in self.paused:
            self.paused.discard(proxy)
            self.proxies[proxy].signal(signal.SIGCONT)
            self._ground.witness.proxy_started(proxy)
            if self.seen is not None and proxy in self.up:  # its front never missed it
                self.seen.up(proxy, True, self._ground.clock.now(), False)

    def reload(self, proxy: int) -> None:
        """A new configuration: discovery is found at its other port."""
        one = self.proxies[proxy]
        one.config["discovery"] = self._discovery.address(proxy, moved=True)
        one.write()
        one.signal(signal.SIGHUP)

    def look_for_crashes(self) -> None:
        """See who has ended, and whether it was told to."""
        for one in self.proxies:
            if one.process is None or one.process.poll() is None:
                continue
            leaving, code = one.leaving, one.reap()
            self.up.discard(one.index)
            if leaving and code == 0:
                self._ground.witness.proxy_ended(one.index)
                continue
            if code == 0 and self.wanted is not None and not self._ground.closing:
                self._ground.witness.proxy_ended(one.index)
                self._ground.spawn(self._again(one.index, self.wanted))
                continue
            self._hurt(one.index)
            self._ground.witness.proxy_died(one.index)
            self.crashes.append(f"proxy {one.index} ended by itself, exit {code}: {one.last_words()}")

    async def _again(self, proxy: int, wanted: Callable[[int], Awaitable[None]]) -> None:
        """It ended by itself, in order: what is wanted in its place is started, as a supervisor does."""
        self.left += 1
        if self.seen is not None:
            self.seen.ended(proxy)
        epoch = self._epochs[proxy] = self._epochs[proxy] + 1
        await wanted(proxy)
        if self._epochs[proxy] == epoch and not self._ground.closing:
            self.start(proxy)

    def sample(self, first: int = 0) -> None:
        """What the processes use, a few at a time: all at once would make the rig late."""
        count = len(self.proxies)
        step = max(1, count // 20)
        for i in range(first, min(first + step, count)):
            self.proxies[i].look()
        following = first + step if first + step < count else 0
        self._ground.clock.after(100.0, partial(self.sample, following))

    async def end(self, logs: Path | None, played: bool) -> None:
        """Leave nothing behind: every process that was started here is ended, by its number."""
        for one in self.proxies:
            one.look()
            one.signal(signal.SIGCONT)
            one.leaving = True
            one.signal(signal.SIGTERM)
        until = time.monotonic() + LEAVE_S
        while any(one.runs for one in self.proxies) and time.monotonic() < until:
            await asyncio.sleep(0.02)
        for one in self.proxies:
            one.signal(signal.SIGKILL)
            one.bury()
            code = one.reap()
            if logs is not None and one.log.exists():
                (logs / one.log.name).write_bytes(one.log.read_bytes())
            if code == -signal.SIGTERM and self.wanted is not None:
                continue  # it was ending by itself, and had let go of the signal just then
            if code and played:
                self.crashes.append(f"proxy {one.index} ended with {code}: {one.last_words()}")

    def figures(self) -> dict[str, float]:
        """What the processes used, at most."""
        uses = [one.use for one in self.proxies]
        return {
            "proxy_memory_mb": max(use.memory_mb for use in uses),
            "proxy_own_memory_mb_mean": sum(use.own_mb for use in uses) / len(uses),
            "proxy_descriptors": float(max(use.descriptors for use in uses)),
            "fleet_left": float(self.left),
            "fleet_starts": float(sum(one.starts for one in self.proxies)),
        }
