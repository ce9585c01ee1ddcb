"""What the fleet agreed on, as somebody who stands outside saw it: who was out at once, and by whose choice.

Nothing that a proxy says of itself counts. A member is out by choice when it takes no more work although
nothing befell it (its front reads ``/up``; its process ends by itself); it is hurt when something befell it.
A look sees a change late, so a member counts as out only from the first look that found it out until the last
one that did. Each time a member goes out by choice, those are counted that are out with it: by choice, or
hurt for so long that the fleet must have noticed. Times are milliseconds. Pure.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Name = Any  # a proxy's number, or a server's name


@dataclass(frozen=True, slots=True)
class Bound:
    """How many may be out at once; the least holds. As the fleet file's ``release`` table has it."""

    number: int | None = None
    share: float = 0.1  # of all, rounded down, never less than one
    zone_number: int | None = None
    zone_share: float = 0.2

    @classmethod
    def of(cls, table: Mapping[str, Any]) -> Bound:
        """From that table; other keys are passed over."""
        return cls(**{key: table[key] for key in cls.__slots__ if key in table})

    def allowed(self, members: int) -> int:
        """Of all."""
        return _least(self.number, self.share, members)

    def allowed_in_zone(self, members: int) -> int:
        """Of one zone's."""
        return _least(self.zone_number, self.zone_share, members)


def _least(number: int | None, share: float, members: int) -> int:
    by_share = max(1, math.floor(share * members + 1e-9))
    return by_share if number is None else min(number, by_share)


@dataclass(slots=True)
class Out:
    """One member's time out, as far as it is certain."""

    name: Name
    since: float
    chosen: bool
    until: float = math.inf


class Outs:
    """Who was out and when."""

    def __init__(self, zones: Mapping[Name, int], bound: Bound, notice_ms: float) -> None:
        """``zones``: every member's; ``notice_ms``: so long may the fleet take to notice who is hurt."""
        self._zones, self._bound, self._notice_ms = dict(zones), bound, notice_ms
        self._now: dict[Name, Out] = {}
        self._outs: list[Out] = []

    def out(self, name: Name, at: float, chosen: bool) -> None:
        """A member is found out; one that is out already stays out as it was."""
        if name not in self._now and name in self._zones:
            self._now[name] = one = Out(name, at, chosen)
            self._outs.append(one)

    def back(self, name: Name, at: float) -> None:
        """It serves again; ``at``: when it was last found out."""
        one = self._now.pop(name, None)
        if one is not None:
            one.until = max(at, one.since)

    def _with(self, one: Out) -> list[Out]:
        """Who was certainly out as this one went, it among them."""
        late = one.since - self._notice_ms

        def counts(other: Out) -> bool:
            known = other.since <= (one.since if other.chosen else late)
            return known and other.until > one.since

        return [other for other in self._outs if other is one or counts(other)]

    def sums(self, what: str) -> dict[str, int]:
        """``WHAT_out_most``, ``_out_allowed``, ``_out_zone_over`` (most beyond a zone's bound) and
        ``_chosen`` (how often a member went out by choice)."""
        zones = list(self._zones.values())
        most, over = 0, -len(zones)
        for one in self._outs:
            if one.chosen:
                there = self._with(one)
                most = max(most, len(there))
                zone = self._zones[one.name]
                here = sum(self._zones[other.name] == zone for other in there)
                over = max(over, here - self._bound.allowed_in_zone(zones.count(zone)))
        return {
            f"{what}_out_most": most, f"{what}_out_allowed": self._bound.allowed(len(zones)),
            f"{what}_out_zone_over": max(0, over), f"{what}_chosen": sum(one.chosen for one in self._outs),
        }  # fmt: skip


class Owners:
    """Which pool serves the clients, as their fronts see it; only one may, unless it is being moved."""

    def __init__(self, pools: Mapping[int, str], settled_ms: float) -> None:
        """``pools``: each proxy's. A move has settled once one pool alone was up for ``settled_ms``."""
        self._pools, self._settled_ms = dict(pools), settled_ms
        self._up: set[int] = set()
        self._since = 0.0
        self._moving = False
        self.owner: str | None = None
        self.settled = self.two_owners = 0

    def ordered(self, at: float) -> None:
        """An operator has asked for a move, or for its end: until it settles both pools may serve."""
        self.look(at)
        self._moving = True
        self._since = at

    def up(self, proxy: int, at: float, up: bool) -> None:
        """A proxy is handed clients from now on, or no more."""
        self.look(at)
        self._up.add(proxy) if up else self._up.discard(proxy)
        self._since = at
        if up and not self._moving and self.owner is not None and self._pools[proxy] != self.owner:
            self.two_owners += 1

    def look(self, at: float) -> None:
        """Time has passed."""
        serving = {self._pools[proxy] for proxy in self._up}
        if len(serving) == 1 and at - self._since >= self._settled_ms:
            (owner,) = serving
            if self.owner is not None and owner != self.owner:
                self.settled += 1
            if self.owner is None or owner != self.owner:
                self.owner, self._moving = owner, False


def calls_a_second(rows: Iterable[tuple[str, int]], processes: int, seconds: float) -> dict[str, float]:
    """From counted calls (whose, how many): a second and process, on average and of the busiest one."""
    by: dict[str, int] = {}
    for client, calls in rows:
        by[client] = by.get(client, 0) + calls
    span = max(seconds, 1e-9)
    return {
        "calls_a_process_s": round(sum(by.values()) / span / max(1, processes), 4),
        "calls_a_process_s_most": round(max(by.values(), default=0) / span, 4),
    }
