"""Proxies and their clients for a migration's model, in simulated time.

A client keeps one connection, asks, rests, asks again; some rest long, some answers are long bodies. It
connects anew where a front sends it: to one of the proxies that said yes at ``/up`` when it last looked. A
proxy closes what rests for long, and in a drain each connection with its next answer and what rests 1.5 s
after the call, as ``lupinlink.net`` has it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial

from lupinlink.lab.model.clock import VirtualClock
from lupinlink.migration.model import Figures
from lupinlink.net.lifecycle import DRAIN_IDLE_MS

FRONT_MS = 300.0  # between two looks at /up
REST_MS = 2100.0  # a proxy keeps a connection at rest so long (lupinlink.net.clients)
BODY_BYTES_S = 1e6  # at which a long body goes


@dataclass(frozen=True, slots=True)
class Manners:
    """How clients behave; means of exponential times, in ms."""

    rest_ms: float = 700.0
    sleeper_share: float = 0.1  # rest much longer
    sleeper_ms: float = 20000.0
    answer_ms: float = 50.0
    long_share: float = 0.01  # of the answers are long bodies
    long_ms: float = 10000.0


@dataclass(eq=False, slots=True)
class Connection:
    """Of one client to one proxy."""

    proxy: LabProxy
    busy_since: float | None = None
    ends_at: float = 0.0
    long: bool = False
    open: bool = True


@dataclass(slots=True)
class Counts:
    """What the referee saw."""

    answered: int = 0
    lost: int = 0  # connections that ended in the middle of an answer, by the proxy's doing
    killed: int = 0  # connections that went with their proxy
    ended: int = 0  # ended by the rules


class LabProxy:
    """One proxy: ``lupinlink.migration.host.Host`` over connections that are counted, not carried."""

    def __init__(self, name: str, pool: str, zone: str, clock: VirtualClock, capacity: int) -> None:
        self.name, self.pool, self.zone, self.capacity = name, pool, zone, capacity
        self._clock = clock
        self.alive, self.ready = True, True
        self.servers = self.warm = 10
        self.answered = 0
        self.connections: set[Connection] = set()
        self.drained = False
        self.counts = Counts()
        self.memory = b""
        self._drain_call = 0

    @property
    def up(self) -> bool:
        """What a front is told."""
        return self.alive and self.ready and not self.drained

    def figures(self) -> Figures:
        now = self._clock.now()
        busy = [one for one in self.connections if one.busy_since is not None]
        long = [one for one in busy if one.long]
        return Figures(
            live=len(self.connections),
            idle=len(self.connections) - len(busy),
            requests=len(busy),
            oldest_ms=max((now - (one.busy_since or now) for one in busy), default=0.0),
            bytes_to_go=int(sum(one.ends_at - now for one in long) * BODY_BYTES_S / 1000.0),
            capacity=self.capacity,
            servers=self.servers,
            warm=self.warm,
        )

    def drain(self) -> None:
        if not self.drained:
            self.drained = True
            self._drain_call = self._clock.at(self._clock.now() + DRAIN_IDLE_MS, self._sweep)

    def in_service(self) -> None:
        self.drained = False
        self._clock.drop(self._drain_call)

    def _sweep(self) -> None:
        for one in [one for one in self.connections if one.busy_since is None]:
            self.close(one)
        self._drain_call = self._clock.at(self._clock.now() + 50.0, self._sweep)

    def end_last(self) -> int:
        left = list(self.connections)
        for one in left:
            # A request without a body that is on its way is answered; a body in the middle is cut.
            self.counts.lost += one.long and one.busy_since is not None
            self.close(one)
        self.counts.ended += len(left)
        return len(left)

    def remember(self, text: bytes) -> None:
        self.memory = text

    def recall(self) -> bytes:
        return self.memory

    def close(self, one: Connection) -> None:
        """It is over."""
        one.open = False
        self.connections.discard(one)

    def kill(self) -> None:
        """SIGKILL."""
        self.alive = False
        self._clock.drop(self._drain_call)
        self.counts.killed += len(self.connections)
        for one in list(self.connections):
            self.close(one)

    def revive(self) -> None:
        """A new process of that name, in service until it is told otherwise."""
        self.alive, self.drained, self.answered = True, False, 0


@dataclass(slots=True)
class Crowd:
    """The clients, and the front before the proxies."""

    clock: VirtualClock
    random: random.Random
    proxies: list[LabProxy]
    manners: Manners = field(default_factory=Manners)
    seen_up: list[LabProxy] = field(default_factory=list)
    unserved: int = 0  # times that a client found nobody in service

    def start(self, agents: int) -> None:
        """So many clients come within the first second."""
        self._look()
        for number in range(agents):
            sleeper = number < agents * self.manners.sleeper_share
            rest_ms = self.manners.sleeper_ms if sleeper else self.manners.rest_ms
            self.clock.after(self.random.random() * 1000.0, partial(self._connect, rest_ms))

    @property
    def live(self) -> int:
        """Connections now."""
        return sum(len(proxy.connections) for proxy in self.proxies)

    def _look(self) -> None:
        self.seen_up = [proxy for proxy in self.proxies if proxy.up]
        self.clock.after(FRONT_MS, self._look)

    def _connect(self, rest_ms: float) -> None:
        alive = [proxy for proxy in self.seen_up if proxy.alive]
        if not alive:
            self.unserved += 1
            self.clock.after(200.0, lambda: self._connect(rest_ms))
            return
        proxy = self.random.choice(alive)
        one = Connection(proxy)
        proxy.connections.add(one)
        self._ask(one, rest_ms)

    def _ask(self, one: Connection, rest_ms: float) -> None:
        if not one.open:
            # It was closed between two answers, or with its proxy: the next request goes elsewhere.
            self._connect(rest_ms)
            return
        manners, now = self.manners, self.clock.now()
        one.long = self.random.random() < manners.long_share
        mean = manners.long_ms if one.long else manners.answer_ms
        one.busy_since, one.ends_at = now, now + self.random.expovariate(1.0 / mean)
        self.clock.at(one.ends_at, lambda: self._answered(one, rest_ms))

    def _answered(self, one: Connection, rest_ms: float) -> None:
        if one.open:
            one.busy_since = None
            one.proxy.answered += 1
            one.proxy.counts.answered += 1
            if one.proxy.drained:
                one.proxy.close(one)
        wait_ms = self.random.expovariate(1.0 / rest_ms)
        if one.open and wait_ms > REST_MS:
            self.clock.after(REST_MS, lambda: one.proxy.close(one))
        self.clock.after(wait_ms, lambda: self._ask(one, rest_ms))
