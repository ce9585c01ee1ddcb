"""Permits of the release for those who leave a listener, and who is out in any other way. Pure.

A proxy that drains for a migration is out like any other: it holds a permit from before it is told to go
until it holds nobody any more, so that releases, operators' drains and migrations together never take out
more than the release's bounds allow, and no release touches it meanwhile. After that it is on standby: not in
use, and counted neither as out nor as one of the fleet's serving proxies.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lupinlink.coordination.contract import Put, Step
from lupinlink.migration.model import Listener, Report
from lupinlink.migration.rules import standby
from lupinlink.release.known import Known
from lupinlink.release.permits import Grants, bound
from lupinlink.release.presence import Population
from lupinlink.release.records import PERMITS, encoded
from lupinlink.release.settings import BoundSettings

WHY = "migration "  # begins the reason of each permit that is a migration's; the listener's name ends it


@dataclass(frozen=True, slots=True)
class Allowed:
    """The release's records at one moment, with who the fleet's proxies are."""

    known: Known
    population: Population
    need: float  # proxies that the present traffic would keep busy
    settled: bool  # who died unseen would have been missed by now

    def held(self, listener: str) -> frozenset[str]:
        """Who holds a permit for that listener's migration."""
        held = self.known.permits.proxies.held
        return frozenset(name for name, permit in held.items() if permit.why == WHY + listener)

    def out(self) -> dict[str, str]:
        """Who is out by a permit of somebody else, and why."""
        held = self.known.permits.proxies.held
        return {name: permit.why for name, permit in held.items() if not permit.why.startswith(WHY)}

    def stale(self, listeners: Mapping[str, Listener]) -> set[str]:
        """Who still holds a permit of a migration that is not open any more."""
        held = self.known.permits.proxies.held
        over = {WHY + name for name, one in listeners.items() if one.open is None}
        return {name for name, permit in held.items() if permit.why in over}


@dataclass(slots=True)
class Dealt:
    """One decision on permits: what is written, and why not more."""

    steps: list[Step] = field(default_factory=list)
    granted: frozenset[str] = frozenset()
    refused: dict[str, str] = field(default_factory=dict)


def in_use(
    population: Population, listeners: Iterable[Listener], reports: Mapping[str, Report]
) -> Population:
    """The proxies that count for the bounds: all but those on standby that hold nobody."""
    everybody = list(listeners)
    return {
        name: one
        for name, one in population.items()
        if not standby(everybody, name, one.pool) or (name in reports and reports[name].figures.live)
    }


def deal(
    allowed: Allowed,
    settings: BoundSettings,
    prefix: str,
    listener: str,
    take: Iterable[str],
    give: Iterable[str],
) -> Dealt:
    """Give back and take; one commit with these steps does it, or finds that the permits have changed."""
    permits, dealt = allowed.known.permits, Dealt()
    turn = permits.turn + 1
    changed = False
    for name in give:
        changed = permits.proxies.held.pop(name, None) is not None or changed
    grants = Grants(
        bound(settings, allowed.population, allowed.need), allowed.population, permits.proxies, turn
    )
    for name in take:
        reason = grants.give(name, WHY + listener) if allowed.settled else "until everybody was heard"
        if reason:
            dealt.refused[name] = reason
        else:
            dealt.granted |= {name}
    changed = changed or bool(dealt.granted)
    if changed:
        permits.turn = turn
        key = prefix + PERMITS
        dealt.steps.append(Put(key, encoded(permits), allowed.known.revision(PERMITS)))
    return dealt
