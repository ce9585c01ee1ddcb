"""Finds quotas that no request can reach because earlier ones match them all. Performs no I/O.

Requests are divided into combinations of the names that the quotas mention. For each combination it is
checked whether a single earlier quota covers it. Key prefixes and address ranges are not merged, so two
halves of a range are not recognized as covering it; a reachable quota is never reported as unreachable.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product

from lupinlink.quota.model import Match, Network
from lupinlink.settings import Settings

MAX_COMBINATIONS = 20_000  # with more, only a single quota that covers the whole region is found
ANYTHING = "\x00"  # stands for any name that no quota mentions


@dataclass(frozen=True, slots=True)
class KnownNames:
    """What the settings define for policies to refer to."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    max_retry_after_ms: float  # 0: refusals carry no Retry-After
    marks_retries: bool

    @classmethod
    def of(cls, settings: Settings) -> KnownNames:
        """Those defined in the given settings."""
        return cls(
            tuple(one.name for one in settings.classes),
            tuple(one.name for one in settings.tenants if one.name),
            settings.zones,
            settings.max_retry_after_ms,
            settings.clients_mark_retries,
        )


@dataclass(frozen=True, slots=True)
class Region:
    """The requests that a quota and its ancestors match; None in a field matches everything."""

    names: tuple[frozenset[str] | None, frozenset[str] | None, frozenset[str] | None] = (None, None, None)
    second_try: bool | None = None
    prefixes: tuple[str, ...] | None = None
    networks: tuple[Network, ...] | None = None


def narrow(region: Region, match: Match) -> Region | None:
    """The part of a region that matches, or None if it is empty."""
    conditions = (match.classes, match.tenants, match.zones)
    names = [
        _intersection(current, frozenset(new) if new else None)
        for current, new in zip(region.names, conditions, strict=True)
    ]
    second_try = region.second_try if match.second_try is None else match.second_try
    if any(one is not None and not one for one in names) or region.second_try not in (None, second_try):
        return None
    prefixes, networks = region.prefixes, region.networks
    if match.key_prefixes:
        current = ("",) if prefixes is None else prefixes
        pairs = [(a, b) for a in current for b in match.key_prefixes]
        prefixes = tuple({max(a, b, key=len): 0 for a, b in pairs if a.startswith(b) or b.startswith(a)})
    if match.networks:
        ranges = [(a, b) for a in networks or match.networks for b in match.networks]
        networks = tuple({overlap: 0 for a, b in ranges if (overlap := _overlap(a, b)) is not None})
    if prefixes == () or networks == ():
        return None
    return Region((names[0], names[1], names[2]), second_try, prefixes, networks)


def _intersection(a: frozenset[str] | None, b: frozenset[str] | None) -> frozenset[str] | None:
    return b if a is None else a if b is None else a & b


def within(a: Network, b: Network) -> bool:
    """Whether all of ``a`` is in ``b``."""
    return a.version == b.version and a.prefixlen >= b.prefixlen and a.network_address in b


def _overlap(a: Network, b: Network) -> Network | None:
    return a if within(a, b) else b if within(b, a) else None


def covered_by(region: Region, earlier: Sequence[Region], known: KnownNames) -> bool:
    """Whether earlier regions cover every request of a region."""
    if any(_contains(one, region) for one in earlier):
        return True
    complete = (known.classes, (), known.zones)  # requests may have tenants outside the settings
    fields: list[Sequence[str | None]] = []
    for i, names in enumerate(region.names):
        mentioned_names = [one.names[i] for one in earlier if one.names[i] is not None]
        mentioned = {name for some in mentioned_names if some is not None for name in some}
        if names is not None:
            fields.append(sorted(names))
        elif mentioned:
            fields.append(sorted(mentioned.union(complete[i] or (ANYTHING,))))
        else:
            fields.append((None,))
    tries = (True, False) if region.second_try is None else (region.second_try,)
    prefixes: list[tuple[str, ...] | None] = [(one,) for one in region.prefixes or ()] or [None]
    networks: list[tuple[Network, ...] | None] = [(one,) for one in region.networks or ()] or [None]
    combinations = product(product(*fields), tries, prefixes, networks)
    for tried, ((cls, tenant, zone), second, prefix, network) in enumerate(combinations):
        combination = Region((_single(cls), _single(tenant), _single(zone)), second, prefix, network)
        if tried >= MAX_COMBINATIONS or not any(_contains(one, combination) for one in earlier):
            return False
    return True


def _single(name: str | None) -> frozenset[str] | None:
    return None if name is None else frozenset((name,))


def _contains(wide: Region, region: Region) -> bool:
    """Whether ``wide`` contains all of ``region``."""
    for current, new in zip(wide.names, region.names, strict=True):
        if current is not None and (new is None or not new <= current):
            return False
    if wide.second_try is not None and wide.second_try != region.second_try:
        return False
    if wide.prefixes is not None and not all(p.startswith(wide.prefixes) for p in region.prefixes or ("",)):
        return False
    if wide.networks is None:
        return True
    return region.networks is not None and all(
        any(within(a, b) for b in wide.networks) for a in region.networks
    )
