"""What each gateway should hold of the quotas of one policy, and what is free to be given. Pure.

The plan is what demand calls for; the book says what can still be in use elsewhere. Only the difference
between a quota and all that may be in use, floors included, is free, whatever the plan wants.
"""

from __future__ import annotations

from collections.abc import Mapping

from lupinlink.quota.model import Charge
from lupinlink.quota.sharing.book import NONE, Book, Key, Slice
from lupinlink.quota.sharing.dealing import Dealing
from lupinlink.quota.sharing.floor import Floors
from lupinlink.quota.sharing.rationing import Ration
from lupinlink.quota.sharing.shape import Shape
from lupinlink.quota.sharing.terms import Terms
from lupinlink.quota.sharing.tokens import Turns

NEARLY_ALL = 0.97  # of what is usable: demand over it is short of something
LITTLE = 0.01  # of a quota: so small a part of the floors is not worth asking for


class Dealer:
    """Of one version."""

    def __init__(self, version: str, shape: Shape, terms: Terms) -> None:
        self.version, self.shape, self._terms = version, shape, terms
        self.floors = Floors(shape.limits, terms)
        self._turns: dict[Charge, Turns] = {}
        self.rations: dict[Charge, Ration] = {}  # of the quotas that are dealt token by token
        self.demands: dict[Charge, dict[Key, float]] = {}  # requests a second
        self.wants: dict[Charge, dict[Key, Slice]] = {}  # beside the floor
        self.bases: dict[Charge, dict[Key, float]] = {}  # what is left of the floors of those who ask
        self.free: dict[Charge, Slice] = {}
        self.short: list[Charge] = []  # would be used in full if idle gateways left it their floor

    def plan(self, book: Book, charged: Mapping[Key, Mapping[tuple[str, Charge], Slice]], now: float) -> None:
        """Look at everything anew; afterwards ``wants``, ``free`` and ``short`` hold."""
        until = now + self._terms.over_ms  # the end of what is given now
        places: dict[int, list[Key]] = {}
        for holder in book:
            if not holder.ask.leaving:
                places.setdefault(holder.ask.place, []).append(holder.key)
        alone = {keys[0]: place for place, keys in places.items() if len(keys) == 1}
        place_of = {key: place for place, keys in places.items() for key in keys}
        self.demands, kept = {}, dict[Charge, dict[Key, float]]()
        used: dict[Charge, list[float]] = {}
        for holder in book:
            awake = holder.heard_ms + self._terms.slice_ms > now
            for want in holder.ask.wants.get(self.version, ()) if awake else ():
                if want.per_s > 0.0 and want.limit < len(self.shape.limits):
                    self.demands.setdefault(want.charge, {})[holder.key] = want.per_s
            for quota in holder.kept:
                keeps = holder.keeps(quota, until) if quota[0] == self.version else None
                if keeps is not None and holder.key in alone:
                    kept.setdefault(quota[1], {})[holder.key] = keeps
            for (version, charge), one in charged[holder.key].items():
                if version == self.version:
                    sums = used.setdefault(charge, [0.0, 0.0])
                    sums[0] += one.rate
                    sums[1] += one.depth
        inside = self.shape.inside(self.demands)
        known = [charge for charges in inside.values() for charge in charges]
        bases: dict[Charge, dict[Key, float]] = {}
        usable: dict[Charge, float] = {}
        tokens: dict[Charge, float] = {}
        self.free, self.short = {}, []
        for charge in {*known, *used, *self.rations}:
            left = kept.get(charge, {})
            base = bases[charge] = {
                key: min(left.get(key, 1.0), self.floors.of(charge, place_of.get(key, -1)))
                for key in {*self.demands.get(charge, ()), *left}
            }
            floors = self.floors.all(charge) - sum(
                self.floors.of(charge, alone[key]) - base[key] for key in left
            )
            spent = used.get(charge, (0.0, 0.0))
            self.free[charge] = Slice(1.0 - floors - spent[0], 1.0 - floors - spent[1])
            self._usable(charge, base, floors, place_of, usable, tokens)
        dealing = Dealing(self.shape, self.demands, usable)
        self.wants, self.bases = {}, bases
        for charge, rates in dealing.rates.items():
            asking = self.demands.get(charge, {})
            if charge in self.rations or self._slow(charge, len(asking)):
                self.rations.setdefault(charge, Ration(now)).forget(asking)
            else:
                self.wants[charge] = self._beside(charge, rates, bases[charge], tokens[charge], now)
        for charge, ration in self.rations.items():
            ration.bank.settle(now, self.room(charge), self._terms.slice_ms)
        for gone in self._turns.keys() - self.wants.keys():
            del self._turns[gone]

    def _usable(
        self,
        charge: Charge,
        base: Mapping[Key, float],
        floors: float,
        place_of: Mapping[Key, int],
        usable: dict[Charge, float],
        tokens: dict[Charge, float],
    ) -> None:
        limit, demand = self.shape.limits[charge.limit], self.demands.get(charge, {})
        share = {key: per_s / limit.rate_per_s for key, per_s in demand.items()}
        idle = floors - sum(min(base[key], part) for key, part in share.items())
        usable[charge] = max(0.0, 1.0 - idle)
        tokens[charge] = limit.burst * max(0.0, 1.0 - (floors - sum(base[key] for key in share)))
        # As it would be if nobody had left its floor to others: else it were short and not, by turns.
        whole = self.floors.all(charge)
        waste = whole - sum(min(self.floors.of(charge, place_of.get(k, -1)), s) for k, s in share.items())
        wanted = min(sum(share.values()), 1.0)
        if waste > LITTLE and wanted > NEARLY_ALL * (1.0 - waste):
            self.short.append(charge)

    def _beside(
        self, charge: Charge, rates: Mapping[Key, float], base: Mapping[Key, float], tokens: float, now: float
    ) -> dict[Key, Slice]:
        limit = self.shape.limits[charge.limit]
        shares = {key: rate / limit.rate_per_s for key, rate in rates.items() if rate > 0.0}
        sure = [key for key in shares if base.get(key, 0.0) * limit.burst >= 1.0 - 1e-9]
        turns = self._turns.setdefault(charge, Turns())
        whole = turns.share(shares, sure, limit.burst, tokens, now, self._terms.turn_ms)
        found: dict[Key, Slice] = {}
        for key, one in whole.items():
            floor = base.get(key, 0.0)
            found[key] = Slice(max(0.0, one.rate - floor), max(0.0, one.depth - floor))
        return found

    def _slow(self, charge: Charge, asking: int) -> bool:
        """Whether an even part would bring a gateway less than a token in a slice's life."""
        return self.shape.limits[charge.limit].rate_per_s * self._terms.slice_ms / 1000.0 < asking

    def room(self, charge: Charge) -> float:
        """Tokens of the burst that nobody may hold now."""
        return max(0.0, self.free.get(charge, NONE).depth) * self.shape.limits[charge.limit].burst
