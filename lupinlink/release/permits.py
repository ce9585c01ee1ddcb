"""Whether one more may be out: the bounds, who counts against them, and the reason for a no. Pure.

Out is who holds a permit **or** does not serve, each counted once: killed, silent, drained by hand,
terminating in the list, left out by most proxies. So a release slows down, or stops, while the fleet is hurt,
and a permit for one that is out already costs nothing.

The capacity bound is the utilization law (Denning and Buzen, "The Operational Analysis of Queueing Network
Models", ACM Computing Surveys 10(3), 1978): the reported use of all, summed, is how many members the traffic
keeps busy; spread over those left, it may fill each up to ``bears``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from lupinlink.release.presence import Population
from lupinlink.release.records import Outs, Permit
from lupinlink.release.settings import BoundSettings


@dataclass(frozen=True, slots=True)
class Limit:
    """So many may be out, and what says so."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Bound:
    """In all, and for each zone."""

    total: Limit
    zones: Mapping[str, Limit] = field(default_factory=dict)


def _least(number: int | None, share: float, members: int, where: str) -> Limit:
    """A share of few is rounded down to nothing, which would forbid every release: one at least."""
    by_share = Limit(max(1, math.floor(share * members + 1e-9)), f"{share:.0%} of {members}{where}")
    by_number = by_share if number is None else Limit(number, f"{number} by number{where}")
    return min(by_share, by_number, key=lambda limit: limit.number)


def bound(settings: BoundSettings, population: Population, need: float) -> Bound:
    """How many of these may be out. ``need``: members that the present traffic would keep busy."""
    bearing = [one for one in population.values() if not one.spare]
    members = len(bearing)
    total = _least(settings.number, settings.share, members, " in all")
    spare = max(0, members - math.ceil(need / settings.bears - 1e-9))
    if spare < total.number:
        total = Limit(
            spare, f"the load needs {members - spare} of {members} at {settings.bears:.0%} use at most"
        )
    counts: dict[str, int] = {}
    for one in bearing:
        counts[one.zone] = counts.get(one.zone, 0) + 1
    zones = {
        zone: _least(settings.zone_number, settings.zone_share, count, f" in zone {zone}")
        for zone, count in counts.items()
    }
    return Bound(total, zones)


def out(population: Population, held: Mapping[str, Permit]) -> dict[str, str]:
    """Who is out, each once, with its zone."""
    away = {
        name: permit.zone
        for name, permit in held.items()
        if name not in population or not population[name].spare
    }
    away |= {name: one.zone for name, one in population.items() if not one.serving}
    return away


def without(population: Population, held: Mapping[str, Permit]) -> dict[str, str]:
    """Who is out with no permit, and why."""
    return {name: one.why for name, one in population.items() if not one.serving and name not in held}


def refusal(limits: Bound, away: Mapping[str, str], name: str, zone: str) -> str:
    """Why ``name`` may not be out as well; empty: it may."""
    if name in away:
        return ""  # it counts already
    if len(away) >= limits.total.number:
        return f"{len(away)} out, {limits.total.number} may be ({limits.total.why})"
    here = sum(1 for other in away.values() if other == zone)
    limit = limits.zones.get(zone)
    if limit is None:
        return f"zone {zone} is not known"
    if here >= limit.number:
        return f"{here} out in zone {zone}, {limit.number} may be ({limit.why})"
    return ""


class Grants:
    """Grants of one decision: each is held against all before it."""

    def __init__(self, limits: Bound, population: Population, outs: Outs, turn: int) -> None:
        """``turn``: the number that permits of this decision get."""
        self.limits, self._population, self._outs, self._turn = limits, population, outs, turn
        self.away = out(population, outs.held)

    def give(self, name: str, why: str, version: str = "", plan: str = "", asked: bool = False) -> str:
        """Give a permit, or the reason why not. Without ``plan`` or ``asked`` it is another part's, which
        takes it back itself."""
        one = self._population.get(name)
        if one is None:
            return "not known to the fleet"
        if name in self._outs.held:
            return f"out already: {self._outs.held[name].why}"
        reason = "" if one.spare else refusal(self.limits, self.away, name, one.zone)
        if not reason:
            self._outs.held[name] = Permit(self._turn, one.zone, one.nonce, why, version, plan, asked)
            if not one.spare:
                self.away[name] = one.zone
        return reason
