"""How much of each quota each gateway should have: by demand, guaranteed parts first, then by worth. Pure.

Weighted max-min fairness (Bertsekas and Gallager, "Data Networks", 2nd edition, 1992, section 6.5.2), as
Google's Doorman deals capacity ("fair share") and as Raghavan and others take it for the ideal of distributed
rate limiting ("Cloud Control with Distributed Rate Limiting", SIGCOMM 2007). From the root of each tree
inwards a quota is split among the parts in it, then each part among the gateways that ask for it; so what a
gateway gets of a quota is what it gets of the parts in it, and no token of the outer one waits at a gateway
that may not use it for want of the inner one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lupinlink.quota.bucket_shares import DEFAULT_WORTH
from lupinlink.quota.model import Charge, Limit
from lupinlink.quota.sharing.book import Key
from lupinlink.quota.sharing.shape import Shape

SPARE = 2.0  # over what was asked for: so much is dealt where there is enough, so that chance is no shortage
Demand = Mapping[Key, float]  # requests a second, by gateway


def fill(wants: Sequence[float], whole: float, weights: Sequence[float] | None = None) -> list[float]:
    """Weighted max-min: no part over its want, the sum at most ``whole``, the others level by weight."""
    weights = weights or [1.0] * len(wants)
    got = [0.0] * len(wants)
    left, weight = whole, sum(weights)
    for i in sorted(range(len(wants)), key=lambda i: wants[i] / weights[i]):
        got[i] = min(wants[i], max(0.0, left) * weights[i] / weight)
        left -= got[i]
        weight -= weights[i]
        if weight <= 0.0:
            break
    return got


def split(parts: Sequence[tuple[float, float, float]], whole: float) -> list[float]:
    """What each part gets. Part: what it needs, what it is guaranteed, its worth.

    Guaranteed parts first, as far as needed; what is left goes by falling worth, evenly where that is equal.
    """
    kept = [min(need, guaranteed) for need, guaranteed, _ in parts]
    scale = min(1.0, whole / sum(kept)) if sum(kept) > 0.0 else 1.0
    got = [part * scale for part in kept]
    left = whole - sum(got)
    for worth in sorted({worth for _, _, worth in parts}, reverse=True):
        group = [i for i, part in enumerate(parts) if part[2] == worth]
        more = fill([parts[i][0] - got[i] for i in group], left)
        for i, add in zip(group, more, strict=True):
            got[i] += add
        left -= sum(more)
    return got


class Dealing:
    """One dealing: what each quota needs, and who should have it."""

    def __init__(
        self, shape: Shape, demands: Mapping[Charge, Demand], usable: Mapping[Charge, float]
    ) -> None:
        """``usable``: the share of each quota that can be dealt, 0 to 1; of one that is left out, all."""
        self._shape, self._demands, self._usable = shape, demands, usable
        self._inside = shape.inside(demands)
        self._direct: dict[Charge, dict[Key, float]] = {}  # of each quota what no part inside it takes
        self.needs: dict[Charge, float] = {}  # requests a second that could be let in
        self.rates: dict[Charge, dict[Key, float]] = {}  # tokens a second that each gateway should have
        for root in self._inside[None]:
            self._need(root)
            self._deal(root, self._most(root))

    def _most(self, charge: Charge) -> float:
        return self._limit(charge).rate_per_s * self._usable.get(charge, 1.0)

    def _limit(self, charge: Charge) -> Limit:
        return self._shape.limits[charge.limit]

    def _need(self, charge: Charge) -> float:
        direct = dict(self._demands.get(charge, {}))
        need = 0.0
        for part in self._inside.get(charge, ()):
            need += self._need(part)
            for gateway, per_s in self._demands.get(part, {}).items():
                direct[gateway] = direct.get(gateway, 0.0) - per_s
        self._direct[charge] = {gateway: per_s for gateway, per_s in direct.items() if per_s > 0.0}
        limit, need = self._limit(charge), need + sum(self._direct[charge].values())
        if self._shape.above(charge) is not None and not limit.borrows:
            need = min(need, limit.guaranteed_per_s)
        self.needs[charge] = min(need, self._most(charge))
        return self.needs[charge]

    def _deal(self, charge: Charge, whole: float) -> dict[Key, float]:
        inside, direct = self._inside.get(charge, []), self._direct[charge]
        alone = sum(direct.values())
        parts = [(self.needs[i], self._limit(i).guaranteed_per_s, self._limit(i).worth) for i in inside]
        got = split([*parts, (alone, 0.0, DEFAULT_WORTH)], whole)
        # Where nobody lacks anything all get somewhat more, or every chance would be a refusal.
        spare = max(1.0, min(SPARE, whole / sum(got))) if sum(got) > 0.0 else 1.0
        rates: dict[Key, float] = {}
        for part, rate in zip(inside, got, strict=False):
            limit, most = self._limit(part), rate * spare
            if not limit.borrows:
                most = min(most, limit.guaranteed_per_s)
            for gateway, per_s in self._deal(part, min(most, self._most(part))).items():
                rates[gateway] = rates.get(gateway, 0.0) + per_s
        alone_gets = got[-1] * spare
        more = max(1.0, alone_gets / alone) if alone > 0.0 else 1.0
        shares = fill([per_s * more for per_s in direct.values()], alone_gets)
        for gateway, per_s in zip(direct, shares, strict=True):
            rates[gateway] = rates.get(gateway, 0.0) + per_s
        self.rates[charge] = rates
        return rates
