"""A fleet of two pools for tests of a migration's decisions: they hear, report, die and come back."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from lupinlink.migration import rules
from lupinlink.migration.follower import Follower
from lupinlink.migration.model import ENDED, Figures, Listener, Report, State
from lupinlink.migration.progress import summed
from lupinlink.migration.settings import ListenerSettings, MigrationSettings
from lupinlink.migration.sight import Seen, Sight
from lupinlink.migration.states import Change, looked
from lupinlink.release.gates import Judgment, Verdict

FRESH_MS, CAPACITY, LEAST = 7000.0, 20, 2
PASSED = Judgment(Verdict.PASSED, "")
SETTINGS = MigrationSettings(
    listeners=(ListenerSettings(name="shop", home="old", least=LEAST),), fresh_ms=FRESH_MS, fill=0.8
)


@dataclass
class Proxy:
    """One proxy; ``follower`` is None while it is dead."""

    name: str
    pool: str
    follower: Follower | None = None
    run: int = 0
    memory: bytes = b""
    cut: bool = False
    ready: bool = True
    live: int = 0
    left: int = 0  # connections that ended in order while it served nobody
    good_at: float = -math.inf  # when it last truly served
    servers: int = 10


@dataclass
class World:
    """Time moves only by ``tick``; the lead looks only by ``look``."""

    olds: int = 3
    news: int = 3
    bound: int = 2  # proxies that may drain at once
    now: float = 1000.0
    listener: Listener = field(default_factory=lambda: Listener(name="shop", owner="old", epoch=1))
    proxies: dict[str, Proxy] = field(default_factory=dict)
    reports: dict[str, tuple[Report, float]] = field(default_factory=dict)
    permitted: set[str] = field(default_factory=set)
    kept: set[str] = field(default_factory=set)  # whose connections do not end
    stood_at: float = 0.0
    trouble_at: float | None = None
    owners: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for pool, count in (("old", self.olds), ("new", self.news)):
            for number in range(count):
                name = f"{pool}{number}"
                self.proxies[name] = Proxy(name, pool, live=2 if pool == "old" else 0)
                self.start(name)

    def start(self, name: str) -> None:
        """A new process of that name, if there is none."""
        proxy = self.proxies[name]
        if proxy.follower is None:
            proxy.run += 1
            proxy.follower = Follower(name, proxy.pool, f"{name}-{proxy.run}", SETTINGS, self.now)
            proxy.follower.recall(proxy.memory, self.now)
            self.hear(name)

    def kill(self, name: str) -> None:
        self.proxies[name].follower, self.proxies[name].live = None, 0

    def serves(self, name: str) -> bool:
        """Whether it truly answers clients."""
        follower = self.proxies[name].follower
        return follower is not None and follower.serves(self.now)

    def hear(self, name: str) -> None:
        """It reads the record."""
        proxy = self.proxies[name]
        if proxy.follower is not None and not proxy.cut:
            proxy.follower.told({"shop": self.listener}, self.now)
            proxy.memory = proxy.follower.memory(self.now)

    def report(self, name: str) -> None:
        """It reports what it holds."""
        proxy = self.proxies[name]
        if proxy.follower is not None and not proxy.cut:
            figures = Figures(live=proxy.live, capacity=CAPACITY, servers=proxy.servers, warm=proxy.servers)
            proxy.follower.look(figures, self.now)
            self.reports[name] = proxy.follower.report(proxy.ready, self.now), self.now

    def arrive(self, name: str) -> None:
        """A client comes, to one that serves and has room."""
        proxy = self.proxies[name]
        proxy.live += self.serves(name) and proxy.live < 3

    def leave(self, name: str) -> None:
        """A kept connection ends with its answer, in a drain."""
        proxy = self.proxies[name]
        if proxy.live and name not in self.kept and not self.serves(name):
            proxy.live, proxy.left = proxy.live - 1, proxy.left + 1

    def tick(self, ms: float) -> None:
        for name, proxy in self.proxies.items():
            if self.serves(name) and proxy.ready:
                proxy.good_at = self.now
        self.now += ms

    def sight(self, judgment: Judgment = PASSED) -> Sight:
        """What the lead sees."""
        members = {name: Seen(report, self.now - at) for name, (report, at) in self.reports.items()}
        return Sight(
            self.listener, members, SETTINGS, self.now - self.stood_at,
            permitted=frozenset(self.permitted), judgment=judgment,
        )  # fmt: skip

    def look(self, judgment: Judgment = PASSED) -> Change | None:
        """The lead looks, and what it decides is done; None: nothing is open."""
        if self.listener.open is None:
            return None
        sight = self.sight(judgment)
        forward = sight.migration.state is not State.RETURNING
        trouble = sight.migration.prepared and rules.trouble(sight, forward)
        self.trouble_at = (self.trouble_at or self.now) if trouble else None
        waited = self.now - self.trouble_at if self.trouble_at is not None else 0.0
        change = looked(replace(sight, trouble_ms=waited))
        self.write(change.listener)
        self.permitted -= set(change.give)
        self.permitted |= set(change.take[: max(0, self.bound - len(self.permitted))])
        return change

    def write(self, listener: Listener) -> None:
        if listener is self.listener:
            return
        assert listener.epoch > self.listener.epoch, "epochs only rise"
        assert self.owners.setdefault(listener.epoch, listener.owner) == listener.owner, "one owner an epoch"
        self.listener, self.stood_at = listener, self.now

    def new_lead(self) -> None:
        """Another leads: it has heard nobody yet."""
        self.reports = {name: (report, -math.inf) for name, (report, _) in self.reports.items()}
        self.stood_at, self.trouble_at = self.now, None

    def two_owners(self) -> list[str]:
        """Proxies that truly serve though the listener has another owner, and nobody called them off."""
        migration = self.listener.migration
        if migration is None:
            return []
        over = migration.state in ENDED or self.listener.owner == migration.target
        if not over:
            return []
        off = set(migration.without)
        return [
            name for name, proxy in self.proxies.items()
            if proxy.pool != self.listener.owner and name not in off and self.serves(name)
        ]  # fmt: skip

    def moved(self) -> tuple[int, int]:
        """Connections that count as moved, and those that truly left in order."""
        told = summed(self.sight(), "lead", "", 0.0)
        return told.moved, sum(proxy.left for proxy in self.proxies.values())

    def round(self, rounds: int = 1, ms: float = 2000.0, judgment: Judgment = PASSED) -> None:
        """Everybody who lives hears, drains and reports, then the lead looks."""
        for _ in range(rounds):
            self.tick(ms)
            for name in self.proxies:
                self.hear(name)
                for _ in range(3):
                    self.leave(name)
                self.report(name)
            self.look(judgment)
