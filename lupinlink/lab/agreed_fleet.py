"""A fleet of proxies without sockets on a virtual clock: the real agents, over the agreement in memory.

Each proxy has a process at a time, which serves its share of a steady traffic. One that ends in order is
started again after a drawn time with the version that it was told to leave for; one that is killed with the
version that the permits say, as a supervisor would that asks for it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lupinlink.clock import Clock
from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.component import AdminRequest, AdminResponse, Member
from lupinlink.coordination.contract import View
from lupinlink.coordination.memory import MemoryService, MemoryTransport
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.release.agent import ReleaseAgent
from lupinlink.release.known import Known, known
from lupinlink.release.presence import Listed
from lupinlink.release.records import RELEASE, Figures
from lupinlink.release.settings import ReleaseSettings

LEASE_MS = 10_000.0
RATE_PER_S = 12.0  # requests of each proxy
LEAVE_MS = (1000.0, 3000.0)  # from a drain to the last connection
START_MS = (1500.0, 4000.0)  # from the end of a process to the next one being ready


@dataclass
class VirtualHost:
    """One process."""

    fleet: VirtualFleet
    member: Member
    number: int
    began_ms: float
    bad: float = 0.0  # the share of its requests that fail
    drained: bool = False
    gone_at: float = float("inf")  # when the last connection of a drain has gone
    wants_end: str | None = None
    withheld: frozenset[str] = frozenset()
    killed: bool = False

    def ready(self) -> bool:
        return self.member.version not in self.fleet.broken

    def serving(self) -> bool:
        return self.ready() and not self.drained

    def standby(self) -> bool:
        return False

    def left(self) -> int:
        return 0 if self.drained and self.fleet.clock.now() >= self.gone_at else 40

    def use(self) -> float:
        return self.fleet.use

    def need(self) -> float:
        return self.fleet.need

    def figures(self) -> Figures:
        ended = int((self.fleet.clock.now() - self.began_ms) / 1000.0 * RATE_PER_S)
        failed = int(ended * self.bad)
        return Figures(ended, ended - failed, 0, failed)

    def servers(self) -> Sequence[Listed]:
        return list(self.fleet.servers.values())

    def left_out(self) -> Sequence[str]:
        return ()

    def served_by(self, servers: Iterable[str]) -> Mapping[str, Figures]:
        ended = int(self.fleet.clock.now() / 1000.0)
        return {name: Figures(ended, ended) for name in servers}

    def busy(self, servers: Iterable[str]) -> Sequence[str]:
        return ()

    def drain(self) -> None:
        if not self.drained:
            self.drained = True
            self.gone_at = self.fleet.clock.now() + self.fleet.draw(*LEAVE_MS)
            self.fleet.drains.append((self.fleet.clock.now(), self.member.name))

    def in_service(self) -> bool:
        self.drained = False
        return True

    def end(self, version: str) -> None:
        self.wants_end = version
        self.fleet.ended(self)

    def withhold(self, servers: frozenset[str]) -> None:
        self.withheld = servers


@dataclass
class Place:
    """Where the processes of one name run."""

    name: str
    zone: str
    version: str
    processes: int = 0
    host: VirtualHost | None = None
    agent: ReleaseAgent | None = None
    client: AgreementClient | None = None
    clock: Clock | None = None
    transport: MemoryTransport | None = None
    process_lease: ProcessLease | None = None


@dataclass
class VirtualFleet:
    """All of it; ``make_clock``: of one process, such as one that can be stopped."""

    size: int
    settings: ReleaseSettings
    seed: int = 1
    zones: int = 4
    make_clock: Callable[[VirtualClock], Clock] = lambda clock: clock
    clock: VirtualClock = field(default_factory=VirtualClock)
    use: float = 0.3
    need: float = 0.0
    broken: set[str] = field(default_factory=set)  # versions that never become ready
    bad: dict[str, float] = field(default_factory=dict)  # versions that fail a share of requests
    servers: dict[str, Listed] = field(default_factory=dict)
    drains: list[tuple[float, str]] = field(default_factory=list)
    restarts: bool = True  # whether anything starts what has ended
    calls_before: int = 0  # of processes that are no more
    out_most: int = 0

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self.service = MemoryService(self.clock, late=1.5)
        self.places = {
            f"n{i}": Place(f"n{i}", f"z{i % self.zones}", "1") for i in range(self.size)
        }  # fmt: skip
        for place in self.places.values():
            self.start(place)
        self._watch()

    def draw(self, least: float, most: float) -> float:
        return self._random.uniform(least, most)

    def start(self, place: Place) -> None:
        """A new process of that name."""
        place.processes += 1
        draw = random.Random(self._random.random()).random
        place.clock = self.make_clock(self.clock)
        place.transport = self.service.transport(place.clock)
        place.client = AgreementClient(place.transport, place.clock, draw)
        place.process_lease = ProcessLease(place.client, place.clock, LEASE_MS, draw)
        place.host = VirtualHost(
            self, Member(place.name, place.zone, place.version), place.processes, self.clock.now(),
            self.bad.get(place.version, 0.0),
        )  # fmt: skip
        place.agent = ReleaseAgent(
            place.client, place.clock, place.process_lease, place.host, self.settings, draw
        )
        place.process_lease.start()
        place.agent.start()

    def kill(self, place: Place) -> None:
        """SIGKILL: nothing of it is told to anybody; what it had sent arrives."""
        if place.host is None:
            return
        assert place.agent is not None and place.process_lease is not None and place.client is not None
        assert place.transport is not None
        self.calls_before += place.client.calls
        place.transport.cut = True
        place.agent.stop()
        place.process_lease.stop()
        place.host.killed = True
        place.host = place.agent = None

    def ended(self, host: VirtualHost) -> None:
        """A process has ended in order, for another version to be started."""
        place = self.places[host.member.name]
        if place.host is not host:
            return
        version = host.wants_end or place.version
        self.kill(place)
        self.again(place, version)

    def known(self) -> Known:
        """What stands in the service."""
        records, index = self.service.store.read(RELEASE, self.clock.now())
        return known(View(RELEASE, records, index), "")

    def wanted(self, place: Place) -> str:
        """What a supervisor is told."""
        permit = self.known().permits.proxies.held.get(place.name)
        return permit.version if permit is not None and permit.version else place.version

    def again(self, place: Place, version: str | None = None) -> None:
        """Start that name again after a drawn time."""

        def begin() -> None:
            if place.host is None and self.restarts:
                place.version = self.wanted(place) if version is None else version
                self.start(place)

        self.clock.after(self.draw(*START_MS), begin)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now() + seconds * 1000.0)

    def call(self, method: str, path: str, **query: str) -> AdminResponse:
        """An operator's call at the first proxy that runs."""
        place = next(place for place in self.places.values() if place.agent is not None)
        assert place.agent is not None
        return {**place.agent.admin_routes(), **place.agent.drains()}[path][method](AdminRequest(query))

    def out(self) -> list[str]:
        """Who serves nobody at this moment, whatever is known of it."""
        return [p.name for p in self.places.values() if p.host is None or not p.host.serving()]

    def calls(self) -> int:
        """Of all processes so far."""
        return self.calls_before + sum(p.client.calls for p in self.places.values() if p.host and p.client)

    def versions(self) -> set[str]:
        return {place.host.member.version for place in self.places.values() if place.host is not None}

    def _watch(self) -> None:
        self.out_most = max(self.out_most, len(self.out()))
        self.clock.after(100.0, self._watch)
