"""How the quotas of one policy lie in each other. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from lupinlink.quota.model import VALUE_SEPARATOR, Charge, Limit


class Shape:
    """The trees of a policy's limits, and of the values that they count by."""

    def __init__(self, limits: Sequence[Limit]) -> None:
        """``limits``: in the order of the file, each after the one round it."""
        self.limits = tuple(limits)
        index = {limit.path: i for i, limit in enumerate(limits)}
        outer = [index.get(limit.parent, -1) for limit in limits]
        self._fields: list[int] = []  # values that a limit's own value is made of
        self._parents: list[int] = []  # -1: a root, or not charged together with the limit round it
        self.roots: list[int] = []  # of each limit: what is charged together has one root
        for i, limit in enumerate(limits):
            up = outer[i]
            self._fields.append((self._fields[up] if up >= 0 else 0) + bool(limit.by))
            together = up >= 0 and limits[up].shadow == limit.shadow
            self._parents.append(up if together else -1)
            self.roots.append(self.roots[up] if together else i)

    def above(self, charge: Charge) -> Charge | None:
        """The quota round this one; None: it is a root."""
        up = self._parents[charge.limit]
        if up < 0:
            return None
        fields = self._fields[up]
        if fields == self._fields[charge.limit]:
            return Charge(up, charge.value)
        return Charge(
            up, VALUE_SEPARATOR.join(charge.value.split(VALUE_SEPARATOR)[:fields]) if fields else ""
        )

    def inside(self, charges: Iterable[Charge]) -> dict[Charge | None, list[Charge]]:
        """The quotas right inside each; under None the roots. Whatever lies round one is there too."""
        found: dict[Charge | None, list[Charge]] = {None: []}
        known: set[Charge] = set()
        for charge in charges:
            one: Charge | None = charge
            while one is not None and one not in known:
                known.add(one)
                up = self.above(one)
                found.setdefault(up, []).append(one)
                one = up
        return found
