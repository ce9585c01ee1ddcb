"""In what order the members of a release go, and how many in each wave. Pure.

A first wave of one, then each larger than the one before: what is wrong with a version is met where it costs
least (canarying: Beyer, Jones, Petoff and Murphy, "Site Reliability Engineering", 2016, chapter 8 and
chapter 27 on gradual and staged roll-outs).
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import zip_longest


def order(zones: Mapping[str, str], last: str = "") -> list[str]:
    """The members (name to zone), one of each zone in turn: a wave never lies in one zone alone, and the
    bounds of all zones are used at once. ``last``: who goes last, such as the lead: each new lead must hear
    everybody first."""
    by_zone: dict[str, list[str]] = {}
    for name in sorted(zones, key=lambda name: (len(name), name)):
        by_zone.setdefault(zones[name], []).append(name)
    rounds = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
    ordered = [name for one in rounds for name in one if name is not None and name != last]
    return ordered + [last] * (last in zones)


def waves(members: int, growth: float, most: int) -> list[int]:
    """The sizes of the waves; they sum up to ``members``. ``growth``: at least 1."""
    sizes: list[int] = []
    left, size = members, 1.0
    while left > 0:
        sizes.append(min(int(size), most, left))
        left -= sizes[-1]
        size = min(size * growth, float(most))
    return sizes


def dealt(zones: Mapping[str, str], growth: float, most: int, last: str = "") -> dict[str, int]:
    """Each member's wave, from 0."""
    names = iter(order(zones, last))
    return {
        next(names): wave for wave, size in enumerate(waves(len(zones), growth, most)) for _ in range(size)
    }
