"""A fleet of real migration agents round one agreement service in memory, in simulated time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from lupinlink.clock import Clock
from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.component import AdminRequest, AdminResponse, Member
from lupinlink.coordination.contract import Put
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.lab.migration_crowd import LabProxy
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.migration.agent import Base, Migrations
from lupinlink.migration.model import LISTENERS, Listener, read_listener
from lupinlink.migration.settings import MigrationSettings
from lupinlink.release.records import MEMBERS, Figures, Report, encoded
from lupinlink.release.settings import ReleaseSettings

TTL_MS = 10000.0
PREFIX = "lab/"
CALL = "/control/migration"


@dataclass(slots=True)
class Fixed:
    """What a fleet is told."""

    settings: MigrationSettings
    release: ReleaseSettings
    seed: int = 1


class Process:
    """One proxy's process: its part of the fleet, from its start to its end."""

    def __init__(self, fleet: Fleet, proxy: LabProxy, life: int, clock: Clock) -> None:
        self.proxy, self.life, self.clock = proxy, life, clock
        self._fleet = fleet
        draw = random.Random(f"{fleet.fixed.seed} {proxy.name} {life}").random
        self.transport = fleet.service.transport(clock)
        self.client = AgreementClient(self.transport, clock, draw)
        self.process_lease = ProcessLease(self.client, clock, TTL_MS, draw)
        run = f"{proxy.name}-{life}"
        self.lead = LeaderElection(
            self.client, clock, self.process_lease, PREFIX + "migration-lead", run, draw,
            lambda fence: None, lambda error: None,
        )  # fmt: skip
        member = Member(proxy.name, proxy.zone, "1", proxy.pool)
        base = Base(self.client, clock, draw, PREFIX, run)
        fixed = fleet.fixed
        self.part = Migrations(base, member, lambda: proxy, self.lead, fixed.settings, fixed.release)
        self._run, self._draw, self._beat = run, draw, 0
        self.ended = False
        self.process_lease.start()
        self.lead.start()
        self.part.start()
        clock.after(draw() * 1000.0, self._report)

    def _report(self) -> None:
        """The release's member record, which the release's own agent writes in a proxy."""
        if self.ended:
            return
        proxy, self._beat = self.proxy, self._beat + 1
        figures = Figures(arrived=proxy.answered, in_time=proxy.answered)
        report = Report(
            proxy.name, proxy.zone, "1", self.life, self._run, self._beat, proxy.pool, proxy.ready,
            proxy.up, use=0.1, figures=figures,
        )  # fmt: skip
        key = PREFIX + MEMBERS + proxy.name
        self.client.commit([Put(key, encoded(report), None)]).addErrback(lambda failure: None)
        self.clock.after(self._fleet.fixed.release.report_ms * (0.9 + 0.1 * self._draw()), self._report)

    def end(self) -> None:
        """SIGKILL: nothing is said any more."""
        self.ended = True
        self.transport.cut = True
        self.part.stop()
        self.lead.stop()
        self.process_lease.stop()


class Fleet:
    """Half of the proxies in each pool; ``clock_of`` gives each process its clock."""

    def __init__(
        self,
        clock: VirtualClock,
        fixed: Fixed,
        pools: dict[str, int],
        capacity: int = 500,
        clock_of: Callable[[VirtualClock], Clock] = lambda clock: cast(Clock, clock),
    ) -> None:
        self.clock, self.fixed, self._clock_of = clock, fixed, clock_of
        self.service = MemoryService(clock)
        self.proxies = [
            LabProxy(f"{pool[0]}{number}", pool, "ab"[number % 2], clock, capacity)
            for pool, count in pools.items()
            for number in range(count)
        ]
        self.processes = {proxy.name: Process(self, proxy, 1, clock_of(clock)) for proxy in self.proxies}
        self.calls_ended = 0  # of processes that have ended

    def pool(self, name: str) -> list[LabProxy]:
        return [proxy for proxy in self.proxies if proxy.pool == name]

    def kill(self, name: str) -> None:
        """SIGKILL."""
        process = self.processes[name]
        self.calls_ended += process.client.calls
        process.end()
        process.proxy.kill()

    def restart(self, name: str) -> None:
        """A new process of that name."""
        process = self.processes[name]
        process.proxy.revive()
        self.processes[name] = Process(self, process.proxy, process.life + 1, self._clock_of(self.clock))

    def lead(self) -> Process | None:
        """Whoever leads and lives."""
        return next((one for one in self.processes.values() if not one.ended and one.lead.is_leader), None)

    def ask(self, word: str, at: str = "", **query: str) -> AdminResponse:
        """An operator's call at one proxy's door."""
        process = self.processes[at] if at else next(one for one in self.processes.values() if not one.ended)
        calls = process.part.admin_routes()
        method = calls[f"{CALL}/{word}" if word else CALL]
        return next(iter(method.values()))(
            AdminRequest({name.replace("_", "-"): value for name, value in query.items()})
        )

    def listener(self, name: str) -> Listener | None:
        """As it stands in the service."""
        record = self.service.store.records.get(PREFIX + LISTENERS + name)
        return read_listener(record.value) if record is not None else None

    @property
    def calls(self) -> int:
        """Calls to the service so far, of all processes."""
        return self.calls_ended + sum(one.client.calls for one in self.processes.values() if not one.ended)
