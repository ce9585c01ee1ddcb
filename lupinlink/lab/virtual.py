"""The virtual drive: many proxies' decisions in simulated time, on the very code that hosts them on sockets.

Each proxy is a real ``net.proxy.Proxy`` round a real decision module. Its clock is virtual, and the
application servers' side is the model's: connections are opened, kept and closed, and bytes take their time,
but no socket is there. What the clients' side of the real network adds (parsing, its cap on connections)
is left out.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from lupinlink.interface import Endpoint, MembershipKind, Status
from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.lab.model.farm import Place
from lupinlink.lab.model.proxy_settings import settings
from lupinlink.lab.model.referee import End, Reply, Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.servers import NEVER_RUN, Ending, Job, Server
from lupinlink.lab.model.world import World
from lupinlink.net import proxy as net
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.timer_wheel import TICK_MS
from lupinlink.settings import Settings, read_settings

START_MS = 1_000_000.0  # times of nought mean 'long ago' on the wire
IDLE_SHARE = 0.6  # of the servers' own limit, as the real pools give theirs up
RESENT = {"util": "utilization", "qps": "rate", "rif": "in_flight", "queue": "queued"}

MakeProxy = Callable[[Settings, int, VirtualClock, Any, Callable[[], None], Counters], Any]


class VirtualAttempt:
    """One attempt; ``ended`` fires once."""

    def __init__(self, side: Servers, place: Place, try_name: str) -> None:
        self.ended: Deferred[net.AttemptResult] = Deferred()
        self.side, self.place, self.try_name = side, place, try_name
        self.server: Server | None = None  # the process that it is out at
        self.job: Job | None = None
        self.number = -1  # among the attempts that went out; -1: not gone out yet
        self.over = False
        self.timer = 0
        self.on_answer_data: Callable[[], None] | None = None  # the model's answers come whole

    def give_up(self, status: Status) -> None:
        """The proxy closes its connection."""
        if not self.over:
            self.side.given_up(self)
            self.finish(net.AttemptResult(status))

    def cancel_if_unsent(self) -> None:
        if self.number < 0:
            self.give_up(Status.NOT_SENT)

    def finish(self, end: net.AttemptResult) -> None:
        self.over = True
        self.side.out.pop(self, None)
        self.side.world.clock.drop(self.timer)
        self.ended.callback(end)


class Servers:
    """The application servers' side of one proxy."""

    def __init__(self, world: World, asks: dict[str, Ask], index: int, zone: int) -> None:
        self.world, self.asks, self.index, self.zone = world, asks, index, zone
        self._chance = world.streams.draws(f"side {index}")
        self.out: dict[VirtualAttempt, None] = {}
        self._idle: dict[Server, list[float]] = {}  # by process: since when each idle connection is idle
        self._idle_ms = world.scenario.network.idle_close_ms * IDLE_SHARE
        self._network = world.scenario.network

    def start(self, server: str, call: net.ClientRequest, timeout_ms: float, *args: object) -> VirtualAttempt:
        """An attempt goes out as soon as it has a connection."""
        world = self.world
        place = world.farm.places[server]
        attempt = VirtualAttempt(self, place, call.identity)
        self.out[attempt] = None
        now = world.clock.now()
        attempt.timer = world.clock.at(now + timeout_ms, partial(attempt.give_up, Status.TIMEOUT))
        process = place.server
        idle = self._idle.get(process)
        while idle:
            if now - idle.pop() < self._idle_ms:
                self._send(attempt, process)
                return attempt
            process.ports.open -= 1
        self._dial(attempt, process, lambda: self._send(attempt, process))
        return attempt

    def probe(self, server: str) -> Deferred[net.AttemptResult]:
        """Ask a server for its load report."""
        world, ended = self.world, Deferred[net.AttemptResult]()
        place = world.farm.places[server]
        process = place.server
        world.referee.probed()
        there = world.ways.between(self.zone, place.zone)

        def asked() -> None:
            deaf = process.fallen or process.troubles.silent or process.troubles.hangs
            if process.alive and not deaf:
                process.overhead(process.machine.probe_work_ms)
                back = world.ways.between(self.zone, place.zone)
                end = net.AttemptResult(Status.OK, None, _report(process.report()))
                world.clock.at(world.clock.now() + back, partial(finish, end))

        def finish(end: net.AttemptResult) -> None:
            if not ended.called:
                ended.callback(end)

        world.clock.at(world.clock.now() + there, asked)
        limit = self._network.dial_timeout_ms + 2.0 * there
        world.clock.at(world.clock.now() + limit, partial(finish, net.AttemptResult(Status.TIMEOUT)))
        return ended

    def _dial(self, attempt: VirtualAttempt, process: Server, made: Callable[[], None]) -> None:
        world, place = self.world, attempt.place
        now = world.clock.now()
        world.referee.shook()
        way = world.ways.between(self.zone, place.zone) + world.ways.between(self.zone, place.zone)
        refused = partial(self._unreached, attempt)
        if process.troubles.silent or process.troubles.hangs:
            # Nobody says no: the dial ends when it has taken too long.
            world.clock.at(now + self._network.dial_timeout_ms, refused)
            return
        if not process.alive or process.fallen or process.ports.open >= process.machine.connections:
            process.ports.refused += 1
            world.clock.at(now + way, refused)
            return
        process.ports.open += 1

        def up() -> None:
            if not process.alive or process.fallen:
                self._unreached(attempt)
            elif attempt.over:
                self._rest(process)
            else:
                process.overhead(process.machine.connection_work_ms)
                made()

        world.clock.at(now + way, up)

    def _unreached(self, attempt: VirtualAttempt) -> None:
        if not attempt.over:
            attempt.finish(net.AttemptResult(Status.UNREACHABLE))

    def _send(self, attempt: VirtualAttempt, process: Server) -> None:
        world, place = self.world, attempt.place
        now, name = world.clock.now(), attempt.try_name
        attempt.server = process
        crosses = place.zone != self.zone
        attempt.number = world.referee.sent(name, place.name, place.zone, place.cell, now, crosses=crosses)
        there = world.ways.between(self.zone, place.zone)
        world.clock.at(now + there, partial(self._arrive, attempt, process))

    def _arrive(self, attempt: VirtualAttempt, process: Server) -> None:
        world, name = self.world, attempt.try_name
        ask = self.asks.get(name)
        if attempt.over or ask is None or not process.alive or process.troubles.silent:
            return
        now = world.clock.now()
        world.referee.arrived(name, attempt.number, now)
        want = ask.want
        if process.troubles.resets > 0.0 and self._chance.even() < process.troubles.resets:
            self._back(attempt, process, net.AttemptResult(Status.RESET), End.RESET)
            return
        noise = world.scenario.load.work_noise
        work = want.work_ms
        if noise > 0.0:
            work *= math.exp(noise * self._chance.normal() - noise * noise / 2.0)  # of mean 1
        job = Job(work, want.wait_ms, want.key, ask.deadline, None, self.index)
        job.ended = partial(self._ended, attempt, process)
        attempt.job = job
        process.offer(job)

    def _ended(self, attempt: VirtualAttempt, process: Server, how: Ending, report: dict[str, float]) -> None:
        told = _report(report) if self.world.scenario.rules.reports else None
        if how is Ending.SERVED:
            body = attempt.try_name.encode()
            end = net.AttemptResult(Status.OK, net.Reply([], body), told)
            self._back(attempt, process, end, End.SERVED)
        elif how in NEVER_RUN:
            self._back(attempt, process, net.AttemptResult(Status.OVERLOADED, None, told), End.NEVER_RAN)
        elif how is Ending.SPOILT:
            self._back(attempt, process, net.AttemptResult(Status.RESET), End.ERROR, reuse=False)
        else:
            self._back(attempt, process, net.AttemptResult(Status.ERROR, None, told), End.ERROR)

    def _back(
        self, attempt: VirtualAttempt, process: Server, end: net.AttemptResult, how: End, reuse: bool = True
    ) -> None:
        """An answer, or a reset, is on its way to the proxy."""
        world = self.world
        back = world.ways.between(self.zone, attempt.place.zone)

        def here() -> None:
            if attempt.over:
                if attempt.job is not None and how is not End.NEVER_RAN:
                    world.referee.wasted(attempt.job.cost_ms)
                return
            if how not in (End.SERVED, End.NEVER_RAN) and attempt.job is not None:
                world.referee.wasted(attempt.job.cost_ms)
            if how is End.RESET or not reuse:
                process.ports.open -= 1
            else:
                self._rest(process)
            world.referee.ended(attempt.try_name, attempt.number, world.clock.now(), how)
            attempt.finish(end)

        world.clock.at(world.clock.now() + back, here)

    def _rest(self, process: Server) -> None:
        if process.alive:
            self._idle.setdefault(process, []).append(self.world.clock.now())

    def given_up(self, attempt: VirtualAttempt) -> None:
        """The connection is closed from here; its server learns of it a way later."""
        world, process = self.world, attempt.server
        if attempt.number < 0 or process is None:
            return
        process.ports.open -= 1
        world.referee.ended(attempt.try_name, attempt.number, world.clock.now(), End.GIVEN_UP)
        job = attempt.job
        if job is not None:
            there = world.ways.between(self.zone, attempt.place.zone)
            world.clock.at(world.clock.now() + there, partial(self._cancelled, process, job))

    def _cancelled(self, process: Server, job: Job) -> None:
        if job.state in ("working", "pausing"):
            self.world.referee.wasted(job.cost_ms)
        process.cancel(job)

    def died(self, process: Server) -> None:
        """A process has ended: its connections break, unless its machine is cut off."""
        self._idle.pop(process, None)
        if process.troubles.silent:
            return
        world = self.world
        for attempt in [p for p in self.out if p.server is process]:
            back = world.ways.between(self.zone, attempt.place.zone)
            world.clock.at(world.clock.now() + back, partial(self._broken, attempt))

    def _broken(self, attempt: VirtualAttempt) -> None:
        if not attempt.over:
            world = self.world
            world.referee.ended(attempt.try_name, attempt.number, world.clock.now(), End.RESET)
            attempt.finish(net.AttemptResult(Status.RESET))

    def sweep(self, now: float) -> None:
        """Close what has been idle for long."""
        for process, idle in list(self._idle.items()):
            kept = [since for since in idle if now - since < self._idle_ms]
            process.ports.open -= len(idle) - len(kept)
            if kept and process.alive:
                self._idle[process] = kept
            else:
                del self._idle[process]


def _report(report: dict[str, float]) -> dict[str, float]:
    """A report as the network's side reads it: only what the settings name."""
    return {RESENT[name]: report[name] for name in ("util", "qps")}


@dataclass(slots=True)
class Agent:
    """The clients' side of one try."""

    world: World
    ask: Ask
    handle: int | None = None
    answered: bool = False

    def has_left(self) -> bool:
        return False  # who leaves is gone at once here

    def served(self, reply: net.Reply) -> None:
        self._answer(Reply.SERVED, 0.0, reply.body.decode())

    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None:
        self._answer(Reply.REFUSED, retry_after_ms)

    def failed(self, why: net.FailureReason) -> None:
        self._answer(Reply.FAILED, 0.0)

    def _answer(self, what: Reply, retry_after_ms: float, made_for: str = "") -> None:
        self.answered = True
        world, name, now = self.world, self.ask.name, self.world.clock.now()
        world.referee.answered(name, now, what, made_for)
        world.clock.at(now + world.ways.client(), partial(world.agents.answered, name, what, retry_after_ms))


class VirtualDrive:
    """Plays one scenario with one seed in simulated time."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        ended: Callable[[Try], None] | None = None,
        make_proxy: MakeProxy = net.Proxy,
    ) -> None:
        self.clock = VirtualClock(START_MS, TICK_MS)
        self.world = World(scenario, seed, self.clock, self._ask, self._leave, self._over)
        self._ended = ended
        self._agents: dict[str, Agent] = {}
        self.asks: dict[str, Ask] = {}  # of the tries whose end the referee has not seen
        self.counters = [Counters() for _ in range(scenario.proxies.count)]
        self.sides: list[Servers] = []
        self.proxies: list[Any] = []
        zones = len(scenario.network.zones)
        for i in range(scenario.proxies.count):
            zone = i % zones
            side = Servers(self.world, self.asks, i, zone)
            own = read_settings(settings(scenario, zone, i))
            number = self.world.streams.number(f"proxy {i}")
            watch = partial(self.world.roster.watch, i)
            self.sides.append(side)
            self.proxies.append(make_proxy(own, number, self.clock, side, watch, self.counters[i]))
        self.world.farm.died.append(self._died)

    def run(self) -> World:
        """Play it to its end."""
        quiet = logging.getLogger("lupinlink.net.proxy")
        level, quiet.level = quiet.level, logging.CRITICAL
        try:
            world = self.world
            for i in range(len(self.proxies)):
                rows = list(world.roster.rows.values())
                world.roster.hear(i, partial(self._tell, i))
                world.told.start(i, rows)
                self.proxies[i].membership_changed(MembershipKind.CACHED, [_copy(row) for row in rows])
            world.start()
            self.clock.at(self.clock.now() + 1000.0, self._sweep)
            end = world.began + world.scenario.seconds * 1000.0
            self.clock.run(end)
            while not (world.agents.done and not world.referee.open) and self.clock.now() < world.last_end:
                if self.clock.stopped:
                    return world
                self.clock.run(self.clock.now() + 100.0)
            world.referee.overdue(world.last_end)
        finally:
            quiet.level = level
        return world

    def stop(self) -> None:
        """End before the end. Raising would not do: a Deferred would swallow it."""
        self.clock.stopped = True

    @property
    def stopped(self) -> bool:
        return self.clock.stopped

    def _tell(self, proxy: int, kind: MembershipKind, rows: list[Endpoint]) -> None:
        self.world.told.rows(proxy, kind, rows)
        self.proxies[proxy].membership_changed(kind, rows)

    def _sweep(self) -> None:
        now = self.clock.now()
        for side in self.sides:
            side.sweep(now)
        self.clock.at(now + 1000.0, self._sweep)

    def _died(self, process: Server) -> None:
        for side in self.sides:
            side.died(process)

    def _ask(self, ask: Ask) -> None:
        self.clock.at(self.clock.now() + self.world.ways.client(), partial(self._take, ask))

    def _take(self, ask: Ask) -> None:
        world, now = self.world, self.clock.now()
        if not ask.open:
            return  # it has left on the way
        cls = world.scenario.classes
        name = ask.name
        agent = Agent(world, ask)
        world.agents.taken(ask, now)
        world.taken_by[ask.proxy] += 1
        self.asks[name] = ask
        self._agents[name] = agent
        names = list(cls)
        call = net.ClientRequest(
            name, ask.want.class_index, ask.want.member, ask.deadline - now, ask.is_retry, "GET",
            f"/{names[ask.want.class_index]}/{ask.want.key}", [], Body.from_bytes(b""), str(ask.want.key),
        )  # fmt: skip
        handle = self.proxies[ask.proxy].submit(call, agent)
        agent.handle = handle

    def _leave(self, ask: Ask) -> None:
        """It closes its connection; its proxy sees that a way later."""
        self.clock.at(self.clock.now() + self.world.ways.client(), partial(self._gone, ask))

    def _gone(self, ask: Ask) -> None:
        agent = self._agents.get(ask.name)
        if agent is not None and not agent.answered:
            self.world.referee.left(ask.name, self.clock.now())
            if agent.handle is not None:
                self.proxies[ask.proxy].client_left(agent.handle)

    def _over(self, request: Try) -> None:
        self.asks.pop(request.name, None)
        self._agents.pop(request.name, None)
        if self._ended is not None:
            self._ended(request)


def _copy(row: Endpoint) -> Endpoint:
    return Endpoint(row.name, row.zone, row.kind, row.cell, row.state, row.size_hint, row.started_ms)
