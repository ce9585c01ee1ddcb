"""The states of a migration: what an operator's order or a look at the proxies makes of it. Pure.

Each change gives the listener's record anew, one epoch higher, and what goes with it. Owner and orders move
in one write, so no epoch has two owners; the owner changes to the target only when every proxy of the source
has surely stopped, and back to the source with the first of its proxies that is told to serve again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from lupinlink.migration import rules
from lupinlink.migration.model import ENDED, Began, Listener, Migration, Order, State
from lupinlink.migration.sight import Sight
from lupinlink.migration.steps import Move, next_move
from lupinlink.release.gates import named


@dataclass(frozen=True, slots=True)
class Change:
    """What is to be done. ``listener`` is the same as before if nothing is to be written."""

    listener: Listener
    why: str = ""  # what is waited for now, for people
    take: tuple[str, ...] = ()  # permits to ask for
    give: tuple[str, ...] = ()  # permits that are needed no longer
    halted: bool = False  # it stopped by itself


def written(listener: Listener, **changes: Any) -> Listener:
    """The record one epoch higher, with these fields of its migration changed."""
    migration = listener.migration
    assert migration is not None
    migration = replace(migration, **changes)
    owner = listener.owner
    if migration.state not in ENDED and migration.serving() & set(migration.sources):
        owner = migration.source
    return replace(listener, epoch=listener.epoch + 1, owner=owner, migration=migration)


def looked(sight: Sight) -> Change:
    """What a look at the proxies makes of an open migration."""
    migration = sight.migration
    change = _looked(sight, migration)
    needed = _leaving(sight, change.listener)
    return replace_give(change, tuple(sorted(sight.permitted - needed - set(change.take))))


def replace_give(change: Change, give: tuple[str, ...]) -> Change:
    """The same, with those permits given back."""
    return Change(change.listener, change.why, change.take, give, change.halted)


def _looked(sight: Sight, migration: Migration) -> Change:
    if migration.state is State.PLANNED:
        return _planned(sight)
    if joined := _joined(sight):
        return joined
    if migration.state is State.PREPARING:
        return _preparing(sight)
    if back := rules.wanted_back(sight):
        return _kept(sight, back)
    if migration.state is State.HALTED:
        return Change(sight.listener, "an operator: go-on or back")
    forward = migration.state is not State.RETURNING
    if trouble := rules.trouble(sight, forward):
        if sight.trouble_ms < sight.settings.trouble_ms:
            return Change(sight.listener, trouble)
        return _halt(sight, trouble)
    if migration.state is State.SHIFTING:
        return _shifting(sight)
    return _draining(sight) if migration.state is State.DRAINING else _returning(sight)


def _planned(sight: Sight) -> Change:
    """Take it up: who belongs to the pools now is part of it, the silent ones too."""
    migration = sight.migration
    names = {
        pool: tuple(sorted(name for name, seen in sight.members.items() if seen.report.pool == pool))
        for pool in (migration.source, migration.target)
    }
    if sight.stood_ms < sight.settings.fresh_ms:
        return Change(sight.listener, "who is there")
    sources, targets = names[migration.source], names[migration.target]
    targets = tuple(name for name in targets if sight.fresh(name) is not None)
    if not sources or not targets:
        return Change(sight.listener, f"a proxy of {migration.target if sources else migration.source}")
    orders = {name: Order(True) for name in sources} | {name: Order(False) for name in targets}
    listener = written(
        sight.listener, state=State.PREPARING, sources=sources, targets=targets, orders=orders, why=""
    )
    return Change(listener)


def _joined(sight: Sight) -> Change | None:
    """Proxies of either pool that came later belong to it too. Before anything has moved one of the source
    serves like the others; later it is there to come back to, and one of the target to come in."""
    migration = sight.migration
    pools: dict[str, list[str]] = {migration.source: [], migration.target: []}
    for name in sorted(sight.members):
        report = sight.fresh(name)
        if report is not None and report.pool in pools and name not in migration.orders:
            pools[report.pool].append(name)
    sources, targets = pools[migration.source], pools[migration.target]
    if not sources and not targets:
        return None
    still = migration.state is State.PREPARING
    orders = {name: Order(still) for name in sources} | {name: Order(False) for name in targets}
    why = f"{named([*sources, *targets])} joined"
    listener = written(
        sight.listener,
        sources=(*migration.sources, *sources),
        targets=(*migration.targets, *targets),
        orders={**migration.orders, **orders},
    )
    return Change(listener, why)


def _preparing(sight: Sight) -> Change:
    late = sight.stood_ms >= sight.settings.prepare_ms
    unready = rules.unready(sight)
    small = rules.too_small(sight)
    if small or (unready and not late):
        texts = [f"{name}: {why}" for name, why in sorted(unready.items())]
        why = "; ".join([*texts[:5], *([f"{len(texts) - 5} more"] if len(texts) > 5 else []), small][:6])
        return _halt(sight, why) if late else Change(sight.listener, why.strip("; "))
    # What is still not ready now may come in later; the rest could bear all of it.
    return Change(written(sight.listener, state=State.SHIFTING, prepared=True, step=0, why=""))


def _shifting(sight: Sight) -> Change:
    migration = sight.migration
    move = next_move(sight, sight.there(migration.targets), migration.sources, gated=True)
    if not move.done:
        return _moved(sight, move)
    if running := [name for name in migration.sources if not sight.stopped(name)]:
        return Change(sight.listener, f"{named(running)} to say that they serve no more")
    listener = written(sight.listener, state=State.DRAINING, why="all new connections are at the target")
    return Change(replace(listener, owner=migration.target))


def _draining(sight: Sight) -> Change:
    migration = sight.migration
    if left := [name for name in migration.sources if not sight.empty(name)]:
        return Change(sight.listener, f"connections at {named(left)}")
    return Change(written(sight.listener, state=State.SETTLED, why="all has moved"))


def _returning(sight: Sight) -> Change:
    migration = sight.migration
    move = next_move(sight, sight.there(migration.sources), migration.targets, gated=False)
    if not move.done:
        return _moved(sight, move)
    used = [name for name in migration.targets if sight.order(name).epoch]
    if left := [name for name in used if not sight.empty(name)]:
        return Change(sight.listener, f"connections at {named(left)}")
    if sight.listener.owner != migration.source:
        return Change(sight.listener, f"a proxy of {migration.source} to serve")
    return Change(written(sight.listener, state=State.RETURNED, why="all is where it was"))


def _moved(sight: Sight, move: Move) -> Change:
    if move.halt:
        return _halt(sight, move.halt)
    if not move.add and not move.drop:
        return Change(sight.listener, move.why, move.take)
    step = sight.migration.step + bool(move.add)
    return Change(
        written(sight.listener, step=step, **_orders(sight, move.add, move.drop)), move.why, move.take
    )


def _kept(sight: Sight, back: tuple[str, ...]) -> Change:
    """Enough must serve at any time: what the migration took out comes back at once."""
    state = sight.migration.state
    state = State.SHIFTING if state is State.DRAINING else state
    why = f"{named(back)} serve again, too few were left"
    return Change(written(sight.listener, state=state, step=0, why=why, **_orders(sight, back, ())), why)


def _halt(sight: Sight, why: str) -> Change:
    """It stops by itself; with both pools in trouble where most is served, which serves whole."""
    orders: dict[str, Any] = {}
    if sight.migration.prepared and rules.both_in_trouble(sight):
        serving = sight.migration.serving()
        add = tuple(name for name in rules.where_most_is_served(sight) if name not in serving)
        orders = _orders(sight, add, ())
    return Change(written(sight.listener, state=State.HALTED, why=why, **orders), why, halted=True)


def _orders(sight: Sight, add: Iterable[str], drop: Iterable[str]) -> dict[str, Any]:
    epoch = sight.listener.epoch + 1
    orders, began = dict(sight.migration.orders), dict(sight.migration.began)
    for name in add:
        orders[name] = Order(True, epoch)
        began.pop(name, None)
    for name in drop:
        orders[name] = Order(False, epoch)
        report = sight.fresh(name)
        began[name] = Began(report.run, report.figures.live) if report is not None else Began("", 0)
    return {"orders": orders, "began": began}


def _leaving(sight: Sight, listener: Listener) -> set[str]:
    """Who is out for the migration and still holds somebody: these keep their permits."""
    migration = listener.open
    if migration is None:
        return set()
    gone = {name for name, order in migration.orders.items() if order.epoch and not order.serves}
    return {name for name in gone if not (name in sight.migration.orders and sight.empty(name))}
