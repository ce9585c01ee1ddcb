"""The rig: starts a fleet and all that stands round it, plays the faults, and hears what every part saw."""

from __future__ import annotations

import asyncio
import math
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.gate import FIRST_PORT, FleetError, claim
from lupinlink.lab.fleet.helper import Task
from lupinlink.lab.fleet.processes import HOME, FleetProxy, Program, room
from lupinlink.lab.fleet.wire import Channel
from lupinlink.lab.loop import Lag, LoopClock
from lupinlink.lab.model import windows
from lupinlink.lab.model.outage import Return
from lupinlink.lab.model.referee import Referee, Try
from lupinlink.lab.model.scenario import Fault, Scenario, settings
from lupinlink.lab.model.user_agents import Ask
from lupinlink.lab.model.windows import FleetSecond, ServerSecond
from lupinlink.lab.model.witnesses import Hearing, Witness
from lupinlink.lab.model.world import World
from lupinlink.lab.sockets import LEAD_MS, SLACK_MS

LAST_S = 30.0  # so long may the rig's own processes take to tell their last
HELLO_S = 60.0  # so long may the rig's own processes take to begin
STALLED_S = 10.0  # a process of the rig that tells nothing for so long makes all figures worthless
LEAVE_S = 4.5  # a proxy that was told to end is killed after so long
FRONT_MS = 300.0  # after SIGTERM new connections keep coming for so long
STEPS = 10  # a roll restarts a tenth at a time
HELPER_MB = 120.0
SERVERS_A_SHARE, MOST_SHARES = 70, 5
MOST_PROXIES, MOST_SERVERS = 300, 400
SPARE_DESCRIPTORS = 200  # of a helper, beside connections and listeners
NOBODY = 9  # a port that nothing listens at
RIG = 0  # the rig's own number among the witnesses


class Part:
    """One helper process."""

    def __init__(self, number: int, role: str, process: subprocess.Popen[bytes], channel: Channel) -> None:
        self.number, self.role, self.process, self.channel = number, role, process, channel
        self.ready = asyncio.Event()
        self.over = asyncio.Event()
        self.figures: dict[str, float] = {}


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
        self.scenario, self.seed, self.loop = scenario, seed, loop
        self.clock = LoopClock(loop)
        self._judge = Referee(scenario, ended, SLACK_MS)
        self._shares = shares(scenario)
        self._hearing = Hearing(self._judge, 1 + len(scenario.network.zones) + self._shares)
        self._witness = Witness(scenario, self.clock)
        self.world = World(scenario, seed, self.clock, _nobody, _nobody, referee=self._witness, zone=-1)
        self.world.referee = self._judge  # what is read of the run is the judge's
        self.seconds: list[FleetSecond] = []
        self.figures: dict[str, float] = {}
        self.fleet: dict[str, Any] = {}
        self.stopped = False
        self._closing = False  # nothing is started again
        self.crashes: list[str] = []
        self._program, self._logs = program, logs
        self._ports: dict[str, int] = {}
        self._rows: dict[int, dict[str, ServerSecond]] = {}
        self._calls: dict[int, tuple[int, int, int, int]] = {}
        self._parts: list[Part] = []
        self._proxies: list[FleetProxy] = []
        self._epochs = [0] * scenario.proxies.count  # a later fault ends an earlier one's restart
        self._paused: set[int] = set()
        self._up: set[int] = set()
        self._failure = ""
        self._outages: list[tuple[str, float]] = []  # power losses: name and when
        self._fallen: list[int] = []  # cold servers pushed over by the end of each second
        self._watched_ms: dict[int, float] = {}  # by proxy: from its last start until it was told something
        self._started_at = [0.0] * scenario.proxies.count
        self._tasks: set[asyncio.Task[None]] = set()
        self._noted, self._at = (0, 0), 0
        self._port = 0
        self._discovery: Discovery | None = None

    def stop(self) -> None:
        """End before the end."""
        self.stopped = True

    async def run(self) -> World:
        """Play it to its end; raises FleetError in one line where the rig could not do its part."""
        check_size(self.scenario)
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

    # Beginning

    async def _play(self, folder: Path) -> None:
        scenario = self.scenario
        start = FIRST_PORT + (os.getpid() * 37) % 15_000
        probe = claim(start)
        self._port = probe.getsockname()[1]
        probe.close()
        shares = self._shares
        for zone in range(len(scenario.network.zones)):
            await self._helper("front", zone, 0, self._port)
        for share in range(shares):
            await self._helper("backends", share, shares, self._port + 100 + 500 * share)
        self._discovery = Discovery(self.world, self.loop, self._endpoint, self._port + 50)
        await self._discovery.open()
        await self._within(HELLO_S, "its own processes do not begin", self._helpers_ready)
        await self._start_fleet(folder)
        clock, world = self.clock, self.world
        lag = Lag(clock)
        busy, began = time.process_time(), time.monotonic()
        idle_before = idle_s()
        start_ms = math.ceil((clock.now() + LEAD_MS) / 1000.0) * 1000.0
        world.began = start_ms
        self._tell("start", start_ms)
        clock.at(start_ms, self._begin)
        hear = self.loop.create_task(self._hear())
        while clock.now() < world.last_end and not self.stopped and not self._failure:
            await asyncio.sleep(0.1)
            self._look_for_crashes()
        span = time.monotonic() - began
        self.figures |= {
            **{f"rig_{name}": value for name, value in lag.figures().items()},
            "rig_cpu_share": (time.process_time() - busy) / span,
            "machine_idle_share": (idle_s() - idle_before) / span / (os.cpu_count() or 1),
        }
        hear.cancel()
        if self._failure:
            raise FleetError(self._failure)
        await self._close_parts()
        self._hearing.tell(math.inf)
        if not self.stopped:
            self._judge.overdue(clock.now())
        self._sum_up()

    async def _helper(self, role: str, number: int, of: int, port: int) -> None:
        ours, theirs = socket.socketpair()
        process = subprocess.Popen(
            [sys.executable, "-m", "lupinlink.lab.fleet.helper", str(theirs.fileno())],
            pass_fds=[theirs.fileno()], stdin=subprocess.DEVNULL, start_new_session=True, cwd=HOME,
        )  # fmt: skip
        theirs.close()
        part = Part(len(self._parts) + 1, role, process, await Channel.over(ours))
        self._parts.append(part)
        task = Task(role, self.scenario, self.seed, self.clock.offset_ms, number, of, port)
        part.channel.send("task", msgspec.to_builtins(task))
        self._spawn(self._listen(part))

    def _helpers_ready(self) -> bool:
        return all(part.ready.is_set() for part in self._parts)

    async def _within(self, seconds: float, why: str, done: Callable[[], bool]) -> None:
        until = time.monotonic() + seconds
        while not done():
            if self._failure or time.monotonic() > until:
                raise FleetError(self._failure or f"the rig cannot begin: {why} within {seconds:g} s")
            if self.stopped:
                return
            await asyncio.sleep(0.02)

    async def _start_fleet(self, folder: Path) -> None:
        scenario, world = self.scenario, self.world
        discovery = self._discovery
        assert discovery is not None
        spec, zones = scenario.proxies, world.agents.front.zone_of
        rows = {row.name: row for row in world.roster.rows.values()}
        for i, side in enumerate(discovery.sides):
            side.held = dict(rows)
            config = {
                "name": f"n{i}", "listen": f"{addresses.listens(zones[i], i)}:{self._port}",
                "discovery": discovery.address(i),
                "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
                "settings": settings(scenario, zones[i], i),
            }  # fmt: skip
            self._proxies.append(FleetProxy(i, self._program, folder, config))
        if self.stopped:
            return
        # One is measured before the rest are started: a fleet that does not fit is refused, not swapped.
        self._start(0)
        first = self._proxies[0]
        await self._within(spec.ready_s, "proxy 0 is not up", lambda: 0 in self._up or not first.runs)
        if not self._proxies[0].runs and not self.stopped:
            raise FleetError(f"proxy 0 does not serve: {self._proxies[0].last_words()}")
        self._proxies[0].look()
        room(spec.count - 1, self._proxies[0].use.own_mb, HELPER_MB, Path("/proc/meminfo").read_text)
        began = time.monotonic()
        for i in range(1, spec.count):
            self._start(i)
            if i % 16 == 0:
                await asyncio.sleep(0)
        until = began + spec.ready_s
        while len(self._up) < spec.count and time.monotonic() < until and not (self.stopped or self._failure):
            await asyncio.sleep(0.02)
            self._look_for_crashes()
        self.figures["ready_s"] = time.monotonic() - began
        self.fleet["never_ready"] = sorted(set(range(spec.count)) - self._up)

    def _start(self, proxy: int) -> None:
        """Start a proxy's process, from what it was told last."""
        assert self._discovery is not None
        one, side = self._proxies[proxy], self._discovery.sides[proxy]
        side.start()
        self._started_at[proxy] = self.clock.now()
        self._witness.proxy_started(proxy)
        self._tell("leaving", proxy, False)
        one.start(side.known(), self.world.streams.number(f"proxy {proxy} start {one.starts}"))

    # What the parts say

    async def _listen(self, part: Part) -> None:
        while (message := await part.channel.receive()) is not None:
            what, figures = message[0], message[1:]
            if what == "reports":
                self._hearing.put(part.number, *figures)
            elif what == "second":
                self._heard_second(*figures)
            elif what == "up":
                self._heard_up(part, *figures)
            elif what == "port":
                self._ports[figures[0]] = figures[1]
            elif what == "ready":
                part.ready.set()
            elif what == "figures":
                part.figures = figures[0]
                part.over.set()
            elif what == "failed":
                self._failure = self._failure or figures[0]
        if not part.over.is_set():
            self._failure = self._failure or f"the rig's {part.role} process has ended by itself"
            part.over.set()

    def _heard_second(self, second: int, rows: dict[str, dict[str, Any]]) -> None:
        found = self._rows.setdefault(second, {})
        found |= {name: msgspec.convert(row, ServerSecond) for name, row in rows.items()}

    def _heard_up(self, part: Part, proxy: int, up: bool) -> None:
        self._up.add(proxy) if up else self._up.discard(proxy)
        if up:
            self._proxies[proxy].is_up()
        for other in self._parts:
            if other is not part and other.role == "front":
                other.channel.send("up", proxy, up)

    def _tell(self, *message: Any) -> None:
        for part in self._parts:
            part.channel.send(*message)

    def _endpoint(self, proxy: int, name: str) -> str:
        zone = self.world.agents.front.zone_of[proxy]
        if name not in self._ports:
            self._failure = self._failure or f"the rig cannot go on: {name} was listed before it listened"
        return f"{addresses.finds(zone, proxy)}:{self._ports.get(name, NOBODY)}"

    # The run

    def _begin(self) -> None:
        world = self.world
        world.script.begun.append(self._befell)
        world.script.start()
        self._second()
        self._sample(0)

    async def _hear(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = self.clock.now()
            self._hearing.put(RIG, now, self._witness.take())
            until = self._hearing.known
            if now - until > STALLED_S * 1000.0:
                self._failure = self._failure or f"a process of the rig stood still for {STALLED_S:g} s"
            self._note_until(until)
            self._hearing.tell(until)
            self._judge.overdue(until)

    def _note_until(self, until: float) -> None:
        """Close the seconds that are over, as the judge knows them."""
        while until >= (edge := self.world.began + 1000.0 * (len(self.world.seconds) + 1)):
            self._hearing.tell(edge)
            at = len(self.world.seconds)
            absolute = int(self.world.began // 1000.0) + at
            taken = self._hearing.taken
            count = self.scenario.proxies.count
            self.world.taken_by = [taken.pop((absolute, i), 0) for i in range(count)]
            rows = self._rows.get(at, {})
            self._fallen.append(self._judge.tally.fallen)
            self.world.note({name: round(row.held) for name, row in rows.items() if row.held >= 0.5})

    def _second(self) -> None:
        """What discovery was asked, by the second."""
        roster = self.world.roster
        at, self._at = self._at, self._at + 1
        if at:
            calls, failed = roster.calls - self._noted[0], roster.calls_failed - self._noted[1]
            self._calls[at - 1] = (calls, failed, roster.watching, len(self._up))
        self._noted = (roster.calls, roster.calls_failed)
        assert self._discovery is not None
        for i, side in enumerate(self._discovery.sides):
            if side.first_told:
                self._watched_ms[i] = side.first_told - self._started_at[i]
        self.clock.at(self.world.began + 1000.0 * (at + 1), self._second)

    def _sample(self, first: int) -> None:
        """What the processes use, a few at a time: all at once would make the rig late."""
        count = len(self._proxies)
        step = max(1, count // 20)
        for i in range(first, min(first + step, count)):
            self._proxies[i].look()
        following = first + step if first + step < count else 0
        self.clock.after(100.0, partial(self._sample, following))

    def _look_for_crashes(self) -> None:
        for one in self._proxies:
            if one.process is None or one.process.poll() is None:
                continue
            leaving, code = one.leaving, one.reap()
            self._up.discard(one.index)
            if leaving and code == 0:
                self._witness.proxy_ended(one.index)
                continue
            self._witness.proxy_died(one.index)
            self.crashes.append(f"proxy {one.index} ended by itself, exit {code}: {one.last_words()}")

    # Faults

    def _befell(self, name: str, targets: list[str]) -> None:
        self._tell("fault", name, targets)
        fault = self.scenario.faults[name]
        proxies = [int(target[1:]) for target in targets] if fault.kind.startswith("proxies_") else []
        end = self.clock.now() + fault.for_s * 1000.0
        if fault.kind == "proxies_killed":
            for i in proxies:
                self._kill(i)
                self._start_at(i, end)
        elif fault.kind == "proxies_rolled":
            step = fault.for_s * 1000.0 / STEPS
            size = math.ceil(len(proxies) / STEPS)
            for k, i in enumerate(proxies):
                self.clock.after(step * (k // max(1, size)), partial(self._roll, i))
        elif fault.kind == "proxies_stopped":
            for i in proxies:
                self._pause(i)
                self.clock.at(end, partial(self._go_on, i))
        elif fault.kind == "proxies_reloaded":
            for i in proxies:
                self._reload(i)
        elif fault.kind == "cut":
            self._cut(fault)
        elif fault.kind == "power_loss":
            self._power_loss(name, self.world.script.plans[name])

    def _kill(self, proxy: int) -> None:
        self._epochs[proxy] += 1
        self._paused.discard(proxy)
        self._witness.proxy_died(proxy)
        self._proxies[proxy].kill()

    def _start_at(self, proxy: int, at: float) -> None:
        epoch = self._epochs[proxy]

        def start() -> None:
            if self._epochs[proxy] == epoch and not self._proxies[proxy].runs and not self._closing:
                self._start(proxy)

        self.clock.at(at, start)

    def _roll(self, proxy: int) -> None:
        one = self._proxies[proxy]
        if not one.runs or proxy in self._paused or self._closing:
            return
        one.leaving = True
        one.signal(signal.SIGTERM)
        self._epochs[proxy] += 1
        self.clock.after(FRONT_MS, lambda: self._tell("leaving", proxy, True) if one.leaving else None)
        self._spawn(self._after_leaving(proxy, self._epochs[proxy]))

    async def _after_leaving(self, proxy: int, epoch: int) -> None:
        one, until = self._proxies[proxy], time.monotonic() + LEAVE_S
        while one.runs and self._epochs[proxy] == epoch:
            if time.monotonic() > until:
                self.crashes.append(f"proxy {proxy} had not ended {LEAVE_S:g} s after SIGTERM")
                self._kill(proxy)
                epoch = self._epochs[proxy]
            await asyncio.sleep(0.02)
        self._look_for_crashes()
        if self._epochs[proxy] == epoch and not self._closing:
            self._start(proxy)

    def _pause(self, proxy: int) -> None:
        """Its machine vanishes: what it has open is lost with it."""
        self._paused.add(proxy)
        self._witness.proxy_died(proxy)
        self._proxies[proxy].signal(signal.SIGSTOP)

    def _go_on(self, proxy: int) -> None:
        if proxy in self._paused:
            self._paused.discard(proxy)
            self._proxies[proxy].signal(signal.SIGCONT)
            self._witness.proxy_started(proxy)

    def _reload(self, proxy: int) -> None:
        """A new configuration: discovery is found at its other port."""
        assert self._discovery is not None
        one = self._proxies[proxy]
        one.config["discovery"] = self._discovery.address(proxy, moved=True)
        one.write()
        one.signal(signal.SIGHUP)

    def _cut(self, fault: Fault) -> None:
        discovery, zone = self._discovery, self.scenario.network.zones.index(fault.zone or "")
        assert discovery is not None
        discovery.cut(zone, True)
        self.clock.after(fault.for_s * 1000.0, lambda: discovery.cut(zone, False))

    def _power_loss(self, name: str, plan: Return) -> None:
        discovery, now, outage = self._discovery, self.clock.now(), self.world.script.outages
        assert discovery is not None
        self._outages.append((name, now))
        discovery.dark()
        for i in range(len(self._proxies)):
            self._kill(i)
        for i, after in enumerate(plan.proxies):
            self._start_at(i, now + after)

        def back() -> None:
            if self.world.script.outages == outage and not self._closing:
                self._spawn(discovery.back())

        self.clock.at(now + plan.discovery, back)

    # The end

    def _spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended_task)

    def _ended_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            self._failure = self._failure or f"the rig cannot go on: {' '.join(str(exc).split())}"

    async def _close_parts(self) -> None:
        self._tell("stop")
        waits = [asyncio.wait_for(part.over.wait(), LAST_S) for part in self._parts]
        await asyncio.gather(*waits, return_exceptions=True)
        self._hearing.put(RIG, self.clock.now(), self._witness.take())

    async def _end(self) -> None:
        """Leave nothing behind: every process that was started here is ended, by its number."""
        self._closing = True
        for one in self._proxies:
            one.look()
            one.signal(signal.SIGCONT)
            one.leaving = True
            one.signal(signal.SIGTERM)
        until = time.monotonic() + LEAVE_S
        while any(one.runs for one in self._proxies) and time.monotonic() < until:
            await asyncio.sleep(0.02)
        for one in self._proxies:
            one.signal(signal.SIGKILL)
            one.bury()
            code = one.reap()
            if code and self.seconds:
                self.crashes.append(f"proxy {one.index} ended with {code}: {one.last_words()}")
            if self._logs is not None and one.log.exists():
                (self._logs / one.log.name).write_bytes(one.log.read_bytes())
        for part in self._parts:
            part.channel.close()
            try:
                await self.loop.run_in_executor(None, partial(part.process.wait, 2.0))
            except subprocess.TimeoutExpired:
                part.process.kill()
                part.process.wait()
        for task in list(self._tasks):
            task.cancel()
        if self._discovery is not None:
            self._discovery.close()
        self.clock.stop()
        self.figures["proxy_cpu_s"] = sum(one.cpu_s for one in self._proxies)

    def _sum_up(self) -> None:
        """The fleet's figures."""
        self._note_until(self.clock.now())
        last = int(self.scenario.seconds)
        for at in range(last):
            calls, failed, watching, up = self._calls.get(at, (0, 0, 0, 0))
            self.seconds.append(FleetSecond(at, self._rows.get(at, {}), calls, failed, watching, up))
        for part in self._parts:
            for name, value in part.figures.items():
                key = f"{part.role}_{name}"
                self.figures[key] = max(self.figures.get(key, 0.0), value)
        uses = [one.use for one in self._proxies]
        self.figures |= {
            "proxy_memory_mb": max(use.memory_mb for use in uses),
            "proxy_own_memory_mb_mean": sum(use.own_mb for use in uses) / len(uses),
            "proxy_descriptors": float(max(use.descriptors for use in uses)),
            "fleet_starts": float(sum(one.starts for one in self._proxies)),
        }
        self.fleet |= windows.summed(self.seconds, len(self._proxies), self._returns())
        self.fleet["crashes"] = self.crashes
        told = sorted(self._watched_ms.values())
        self.fleet["told_ms"] = {
            "p50": round(told[len(told) // 2], 1), "max": round(told[-1], 1), "proxies": len(told)
        } if told else {}  # fmt: skip

    def _returns(self) -> list[dict[str, Any]]:
        """How the fleet came back from each power loss."""
        found = []
        began = self.world.began
        first = int(began // 1000.0)
        for number, (name, at) in enumerate(self._outages):
            fault = self.scenario.faults[name]
            power = int((at - began) / 1000.0 + fault.for_s)
            later = [int((t - began) / 1000.0) for _, t in self._outages[number + 1 :]]
            until = later[0] if later else int(self.scenario.seconds)
            after = windows.back(self._judge.by_second, first + power, first + until)
            rows = self.world.seconds[power:until]
            seconds = self.seconds[power:until]
            found.append({
                "fault": name, "order": self.world.script.plans[name].order, "power_s": power,
                "discovery_s": round(self.world.script.plans[name].discovery / 1000.0 - fault.for_s, 2),
                "back_after_s": after, "fallen": self._fallen[until - 1] - self._fallen[power],
                "refused": sum(r.refused for r in rows),
                "failed": sum(r.failed for r in rows), "offered": sum(r.offered for r in rows),
                **windows.costs(seconds, len(self._proxies)),
            })  # fmt: skip
        return found


def _nobody(ask: Ask) -> None:
    raise AssertionError("the rig's own copy of the world asks nothing")


def shares(scenario: Scenario) -> int:
    """In how many processes the servers stand: enough for their work, and for a connection of each proxy."""
    servers = max(1, scenario.farm.servers)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    room = max(1, (hard if hard != resource.RLIM_INFINITY else 1 << 20) - SPARE_DESCRIPTORS)
    for_room = math.ceil(servers * scenario.proxies.count / room)
    return min(MOST_SHARES, max(math.ceil(servers / SERVERS_A_SHARE), for_room))


def check_size(scenario: Scenario) -> None:
    """Refuse what this machine cannot hold, before anything is started; raises FleetError in one line."""
    proxies, servers = scenario.proxies.count, scenario.farm.servers
    if proxies > MOST_PROXIES or servers > MOST_SERVERS:
        raise FleetError(
            f"{proxies} proxies and {servers} servers; the rig plays up to {MOST_PROXIES} and {MOST_SERVERS}"
        )
    if len(scenario.network.zones) > addresses.MOST_ZONES:
        raise FleetError(f"network.zones names over {addresses.MOST_ZONES}")
    need = proxies * math.ceil(servers / shares(scenario)) + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and need > hard:
        raise FleetError(
            f"{proxies} proxies and {servers} servers need {need} descriptors in a process, of {hard} allowed"
        )
    if soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def idle_s() -> float:
    """Seconds that this machine's processors have idled since it started."""
    fields = Path("/proc/stat").read_text().splitlines()[0].split()
    return int(fields[4]) / os.sysconf("SC_CLK_TCK")
