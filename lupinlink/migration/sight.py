"""What the lead sees of a migration at one moment, and what may be counted on. Pure.

Whoever is silent is never counted on: neither as serving (it may be dead) nor as having stopped (it may be
cut off from us, and not from clients).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from lupinlink.migration.model import Listener, Migration, Order, Report
from lupinlink.migration.settings import MigrationSettings
from lupinlink.release.gates import Judgment, Verdict

UNREAD = Judgment(Verdict.UNREAD, "nobody has looked at the gate yet")


@dataclass(frozen=True, slots=True)
class Seen:
    """The last word of one proxy."""

    report: Report
    age_ms: float  # since the lead saw it change; infinite: it never did


@dataclass(frozen=True, slots=True)
class Sight:
    """One look; ``members`` by name, of every pool."""

    listener: Listener
    members: Mapping[str, Seen]
    settings: MigrationSettings
    stood_ms: float = 0.0  # since the lead saw the record stand as it does
    trouble_ms: float = 0.0  # since it first saw the trouble that it sees now; 0: there is none
    permitted: frozenset[str] = frozenset()  # these hold a permit to be out for this migration
    judgment: Judgment = UNREAD  # of the gate after the present step
    held: Mapping[str, str] = field(default_factory=dict)  # by name, what else has taken a proxy out

    @property
    def migration(self) -> Migration:
        """The open one; a look without one is a mistake of the caller."""
        migration = self.listener.migration
        assert migration is not None
        return migration

    @property
    def least(self) -> int:
        """Proxies that must serve the listener at any time."""
        told = self.settings.listener(self.listener.name)
        return told.least if told is not None else 1

    def order(self, name: str) -> Order:
        """What that proxy is told."""
        return self.migration.orders.get(name, Order(False))

    def fresh(self, name: str) -> Report | None:
        """Its report, unless it is too old to count."""
        seen = self.members.get(name)
        return seen.report if seen is not None and seen.age_ms <= self.settings.fresh_ms else None

    def well(self, name: str) -> bool:
        """Whether it is heard and could serve."""
        report = self.fresh(name)
        return report is not None and report.ready and name not in self.held

    def _obeyed(self, name: str) -> Report | None:
        report = self.fresh(name)
        if report is None or report.seen.get(self.listener.name, 0) < self.order(name).epoch:
            return None
        return report

    def serves(self, name: str) -> bool:
        """Whether it may be counted on to serve."""
        report = self._obeyed(name)
        return report is not None and self.order(name).serves and report.serves and self.well(name)

    def stopped(self, name: str) -> bool:
        """Whether it surely takes nobody any more: by its own word, or by an operator's that it is off."""
        if self.fresh(name) is None:
            return name in self.migration.without
        report = self._obeyed(name)
        return report is not None and not self.order(name).serves and not report.serves

    def empty(self, name: str) -> bool:
        """Whether it surely holds nobody any more."""
        report = self.fresh(name)
        if report is None:
            return name in self.migration.without
        return self.stopped(name) and not report.figures.live

    def counted(self) -> list[str]:
        """All that may be counted on to serve, by name."""
        return sorted(name for name in self.migration.serving() if self.serves(name))

    def load(self) -> int:
        """Connections of clients at both pools, of all that are heard: they come back elsewhere."""
        names = (*self.migration.sources, *self.migration.targets)
        reports = [report for name in names if (report := self.fresh(name)) is not None]
        return sum(max(0, report.figures.live - report.figures.closing) for report in reports)

    def capacity(self, names: Iterable[str]) -> int:
        """Connections that these may hold together."""
        reports = [report for name in names if (report := self.fresh(name)) is not None]
        return sum(report.figures.capacity for report in reports)

    def fits(self, names: Collection[str]) -> bool:
        """Whether these could serve alone: not fewer than the least, no pool over its capacity.

        Fronts spread what comes evenly over who says yes, so each pool gets its share by number.
        """
        if len(names) < self.least:
            return False
        for pool in (self.migration.sources, self.migration.targets):
            of_pool = [name for name in names if name in pool]
            share = self.load() * len(of_pool) / len(names)
            if share > self.settings.fill * self.capacity(of_pool):
                return False
        return True

    def there(self, pool: Iterable[str]) -> list[str]:
        """A pool's proxies without those that are off; one that came back is off no more."""
        return [name for name in pool if name not in self.migration.without or self.well(name)]

    def lost(self, pool: Collection[str]) -> float:
        """The share of a pool's proxies that are not well, 0 to 1; those called off do not count."""
        pool = self.there(pool)
        return 1.0 - sum(self.well(name) for name in pool) / len(pool) if pool else 1.0

    def troubled(self, pool: Collection[str]) -> bool:
        """Whether a pool has lost too many to be relied on."""
        return self.lost(pool) >= self.settings.trouble_share
