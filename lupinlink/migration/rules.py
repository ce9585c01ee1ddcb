"""What stands against an order, and what is done when pools are in trouble. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median_low

from lupinlink.migration.errors import (
    CircleError,
    EmptyPoolError,
    PoolBusyError,
    SamePoolError,
    UnderWayError,
    UnknownListenerError,
)
from lupinlink.migration.model import Listener
from lupinlink.migration.sight import Sight


def check_start(
    listeners: Mapping[str, Listener], name: str, target: str, pools: Iterable[str] | None = None
) -> Listener:
    """The listener that may begin to migrate to that pool.
    ``pools``: those with a proxy; None: not known yet. Fails: MigrationError, by what stands against it.
    """
    listener = listeners.get(name)
    if listener is None:
        raise UnknownListenerError(
            f"no listener {name!r}; there are: {', '.join(sorted(listeners)) or 'none'}"
        )
    if target == listener.owner and listener.open is None:
        raise SamePoolError(f"{name} is at {target} already")
    if listener.open is not None:
        raise UnderWayError(f"{name} is on its way from {listener.open.source} to {listener.open.target}")
    others = [other for other in listeners.values() if other.name != name]
    if way := _way(others, target, listener.owner):
        raise CircleError(f"{listener.owner} to {' to '.join(way)} is a circle")
    for other in others:
        for pool in other.pools() & {target, listener.owner}:
            # One client address and one answer to /up: a proxy cannot serve the one and not the other.
            raise PoolBusyError(f"{pool} is taken by {other.name}")
    if pools is not None and target not in set(pools):
        raise EmptyPoolError(f"no proxy of {target} has reported")
    return listener


def _way(others: Iterable[Listener], start: str, end: str) -> list[str]:
    """The pools on the way from one to another along open migrations; empty: there is no way."""
    leads = {one.open.source: one.open.target for one in others if one.open is not None}
    way = [start]
    while way[-1] != end:
        pool = leads.get(way[-1])
        if pool is None or pool in way:
            return []
        way.append(pool)
    return way


def release_waits(listeners: Iterable[Listener], name: str) -> str:
    """Why a release must not take that proxy out; empty: no migration minds.

    One that was told to go is drained by the migration's own permit. One that is to come in must be there.
    """
    for listener in listeners:
        migration = listener.open
        if migration is None or not migration.orders or name not in migration.orders:
            continue
        if not migration.orders[name].serves and migration.orders[name].epoch:
            return f"it drains while {listener.name} migrates to {migration.target}"
        if name in migration.targets:
            return f"{listener.name} migrates to it"
    return ""


def standby(listeners: Iterable[Listener], name: str, pool: str) -> bool:
    """Whether that proxy serves nobody because no listener wants it to: it is not out, it is not in use."""
    return bool(pool) and not any(listener.serves(name, pool) for listener in listeners)


def unready(sight: Sight) -> dict[str, str]:
    """The targets that could not take clients yet, by name, and why."""
    known = [
        report.figures.servers for n in sight.migration.sources if (report := sight.fresh(n)) is not None
    ]
    wanted = sight.settings.known_share * median_low(known) if known else 1.0
    found = {}
    for name in sight.migration.targets:
        report = sight.fresh(name)
        if report is None and name in sight.migration.without:
            continue
        if report is None:
            found[name] = "silent"
        elif name in sight.held:
            found[name] = sight.held[name]
        elif not report.ready:
            found[name] = "not ready"
        elif report.figures.servers < wanted:
            found[name] = f"knows {report.figures.servers} servers, {wanted:.0f} are wanted"
        elif report.figures.warm < sight.settings.warm_share * report.figures.servers:
            found[name] = f"{report.figures.warm} of its {report.figures.servers} servers are warm"
    return found


def too_small(sight: Sight) -> str:
    """Why the target could not bear all of it; empty: it could."""
    ready = [name for name in sight.migration.targets if sight.well(name)]
    if sight.fits(ready):
        return ""
    return (
        f"{len(ready)} of {sight.migration.target} are ready, for {sight.capacity(ready)} connections: "
        f"{sight.least} must serve, and the {sight.load()} there are fill {sight.settings.fill:.0%} at most"
    )


def trouble(sight: Sight, forward: bool) -> str:
    """Why nothing may move now; empty: something may.

    A source in trouble alone is left by going on, a target in trouble alone by going back.
    """
    migration = sight.migration
    source, target = (
        f"{pool} has lost {sight.lost(names):.0%}" if sight.troubled(names) else ""
        for pool, names in ((migration.source, migration.sources), (migration.target, migration.targets))
    )
    if source and target:
        return f"{source}, {target}"
    return target if forward else ""


def both_in_trouble(sight: Sight) -> bool:
    """Whether neither pool can be relied on."""
    return sight.troubled(sight.migration.sources) and sight.troubled(sight.migration.targets)


def where_most_is_served(sight: Sight) -> tuple[str, ...]:
    """Of the two pools, the proxies that are well of the one that bears more; the owner if they are alike."""
    migration = sight.migration
    pools = {
        pool: tuple(name for name in names if sight.well(name))
        for pool, names in ((migration.source, migration.sources), (migration.target, migration.targets))
    }
    best = max(pools, key=lambda pool: (sight.capacity(pools[pool]), pool == sight.listener.owner))
    return pools[best]


def wanted_back(sight: Sight) -> tuple[str, ...]:
    """Who was told to go, and must come back since those who serve are too few or too small without them.

    Those who were told to come in and are well are reckoned with while they still have time to.
    """
    migration, counted = sight.migration, sight.counted()
    late = sight.stood_ms >= sight.settings.step_ms
    hoped = counted if late else [n for n in migration.serving() if n in counted or sight.well(n)]
    if not migration.prepared or sight.fits(hoped):
        return ()
    first = set(where_most_is_served(sight))
    gone = [
        name
        for name, order in migration.orders.items()
        if not order.serves and (order.epoch or name in migration.sources) and sight.well(name)
    ]
    back: list[str] = []
    for name in sorted(gone, key=lambda n: (n not in first, n)):
        back.append(name)
        if sight.fits([*hoped, *back]):
            break
    return tuple(back)
