"""The sockets' drive: real proxies as processes, and the same model before them on loopback, in real time."""

from __future__ import annotations

import asyncio
import gc
import json
import math
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from lupinlink.lab.asking import Asking
from lupinlink.lab.callers import Flood, Pool
from lupinlink.lab.emulated import HOST, Fronts, RosterFront
from lupinlink.lab.errors import DriveError as DriveError
from lupinlink.lab.loop import Lag, LoopClock
from lupinlink.lab.model.proxy_settings import settings
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.streams import Draws
from lupinlink.lab.model.world import World
from lupinlink.settings import ENVIRONMENT_VARIABLES

START_S, STOP_S = 20.0, 6.0  # so long may a proxy take to serve, and to end
LEAD_MS = 300.0  # at least, from the moment all is ready to the first request
SLACK_MS = 50.0  # every time limit is so much longer on sockets
AGENT_SHARE = 1.0 / 3.0  # of a proxy's descriptors: clients hold no more connections there


class ProxyProcess:
    """One real proxy."""

    def __init__(
        self, folder: Path, index: int, config: dict[str, Any], more: dict[str, str] | None = None
    ) -> None:
        """``more``: further variables of its environment."""
        self.index = index
        path = folder / f"proxy-{index}.json"
        path.write_text(json.dumps(config))
        self.log = folder / f"proxy-{index}.log"
        env = {n: v for n, v in os.environ.items() if n not in ENVIRONMENT_VARIABLES}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lupinlink"],
                env={**env, "LB_CONFIG": str(path), **(more or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.port = self.door = 0
        self.cpu_s = self.memory_mb = 0.0

    async def ready(self) -> None:
        """Wait until it says that it serves."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            for line in self.log.read_text(errors="replace").splitlines():
                if "msg=door" in line:
                    self.door = int(line.rsplit("mgmt_port=", 1)[1])
                if "msg=serving" in line:
                    self.port = int(line.rsplit("port=", 1)[1])
                    return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        tail = self.log.read_text(errors="replace").strip().splitlines()[-1:]
        raise DriveError(f"proxy {self.index} does not serve: {' '.join(tail) or 'it said nothing'}")

    def end(self) -> int:
        """Stop it; its exit code. Its use of the machine is known afterwards."""
        if self.process.returncode is None:
            # Not what wait4 tells: a child begins with the peak of the program that started it.
            with suppress(OSError):
                status_lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
                peak = next((line for line in status_lines if line.startswith("VmHWM:")), "VmHWM: 0 kB")
                self.memory_mb = int(peak.split()[1]) / 1024.0
            self.process.send_signal(signal.SIGTERM)
            until = time.monotonic() + STOP_S
            while True:
                number, status, usage = os.wait4(self.process.pid, os.WNOHANG)
                if number:
                    break
                if time.monotonic() > until:
                    self.process.kill()
                time.sleep(0.01)
            self.process.returncode = os.waitstatus_to_exitcode(status)
            self.cpu_s = usage.ru_utime + usage.ru_stime
        return self.process.returncode


class SocketsDrive:
    """Plays one scenario with one seed in real time."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        ended: Callable[[Try], None] | None = None,
    ) -> None:
        self.scenario, self.seed, self.loop = scenario, seed, loop
        self.clock = LoopClock(loop)
        self._ended = ended
        self.asking = Asking(scenario, self.clock)
        # On sockets every time limit is a little longer: bytes and this program's own turns take time.
        asking = self.asking
        self.world = World(
            scenario, seed, self.clock, asking.ask, asking.leave, self._over, slack_ms=SLACK_MS
        )
        asking.world = self.world
        self.proxies: list[ProxyProcess] = []
        self._floods: list[Flood] = []
        self.figures: dict[str, float] = {}
        self.stopped = False

    def stop(self) -> None:
        """End before the end."""
        self.stopped = True

    async def run(self) -> World:
        """Play it to its end."""
        world, clock = self.world, self.clock
        fronts = Fronts(world, self.loop, self.asking.asks)
        rosters = [RosterFront(world, fronts, i) for i in range(self.scenario.proxies.count)]
        try:
            with tempfile.TemporaryDirectory(prefix="lupinlink-lab-") as folder:
                await self._play(world, clock, fronts, rosters, Path(folder))
        finally:
            for proxy in self.proxies:
                proxy.end()
            for flood in self._floods:
                flood.end()
            for pool in self.asking.pools:
                pool.close()
            for roster in rosters:
                roster.close()
            fronts.close()
            clock.stop()
        return world

    async def _play(
        self, world: World, clock: LoopClock, fronts: Fronts, rosters: list[RosterFront], folder: Path
    ) -> None:
        spec = self.scenario.proxies
        for i, roster in enumerate(rosters):
            rows = list(world.roster.rows.values())
            world.roster.hear(i, roster.tell)
            world.told.start(i, rows)
            zone = world.agents.front.zone_of[i]
            config = {
                "name": f"n{i}", "listen": f"{HOST}:0", "discovery": f"{HOST}:{roster.port}",
                "seed": f"{world.streams.number(f'proxy {i}'):x}",
                "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
                "known": roster.document(rows, True), "settings": settings(self.scenario, zone, i),
            }  # fmt: skip
            self.proxies.append(ProxyProcess(folder, i, config))
        for proxy in self.proxies:
            await proxy.ready()
            most = int(spec.sockets * AGENT_SHARE)
            once = partial(self._asks_once, world.streams.draws(f"once {proxy.index}"))
            rest_s = self.scenario.clients.rest_ms / 1000.0
            self.asking.pools.append(Pool(self.loop, HOST, proxy.port, most, self.asking.wrote, once, rest_s))
        world.script.flooded.append(self._flood)
        lag = Lag(clock)
        # What the world is made of stays for good: full collections over it would be pauses of their own.
        gc.collect()
        gc.freeze()
        start = math.ceil((clock.now() + LEAD_MS) / 1000.0) * 1000.0  # seconds of the run are whole seconds
        clock.at(start, world.start)
        busy = time.process_time()
        began = clock.now()
        while clock.now() < max(start, world.last_end):
            await asyncio.sleep(0.1)
            gone = [p.index for p in self.proxies if p.process.poll() is not None]
            if gone:
                code = self.proxies[gone[0]].process.returncode
                raise DriveError(f"proxy {gone[0]} ended by itself, exit {code}")
            played = clock.now() - world.began > self.scenario.seconds * 1000.0
            if self.stopped or (played and world.agents.done and not world.referee.open):
                break
        if not self.stopped:
            world.referee.overdue(clock.now())
        span = (clock.now() - began) / 1000.0
        self.figures = {**lag.figures(), "emulator_cpu_share": (time.process_time() - busy) / span}
        codes = [await self.loop.run_in_executor(None, proxy.end) for proxy in self.proxies]
        self.figures |= {
            "proxy_cpu_s": sum(p.cpu_s for p in self.proxies),
            "proxy_memory_mb": max(p.memory_mb for p in self.proxies),
            "flood_connections": float(sum(f.dialled for f in self._floods)),
            "agent_connections": float(sum(p.dialled for p in self.asking.pools)),
            "agents_without_connection": float(sum(p.turned_away for p in self.asking.pools)),
        }
        bad = [i for i, code in enumerate(codes) if code]
        if bad:
            raise DriveError(f"proxy {bad[0]} ended with {codes[bad[0]]}")

    def _asks_once(self, draws: Draws) -> bool:
        share = self.scenario.clients.once
        return share > 0.0 and draws.even() < share

    def _flood(self, count: int, end: float) -> None:
        flood = Flood(self.loop, [(HOST, proxy.port) for proxy in self.proxies], count)
        self._floods.append(flood)
        self.clock.at(end, flood.end)

    def _over(self, request: Try) -> None:
        self.asking.asks.pop(request.name, None)
        if self._ended is not None:
            self._ended(request)
