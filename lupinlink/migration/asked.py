"""What an operator may ask of a migration in each of its states, and what comes of it. Pure.

Three words, each with one meaning in every state: *halt* stands still, *go-on* goes forward, *back* goes
back. Whoever changes his mind says the other word; nothing is asked twice.

| state | halt | go-on | back |
| --- | --- | --- | --- |
| planned, preparing | halted | nothing to do | returned: nothing had moved |
| shifting, draining | halted | nothing to do | returning |
| halted | nothing to do | forward, from where it stands | returning |
| returning | halted | shifting again | nothing to do |
| settled | no | no | no: start one the other way |
| returned | no | no: start anew | nothing to do |
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec.structs import replace

from lupinlink.migration.errors import NotNowError, UnknownListenerError
from lupinlink.migration.model import Listener, Migration, State
from lupinlink.migration.rules import check_start
from lupinlink.migration.states import written

BEFORE = (State.PLANNED, State.PREPARING)
FORWARD = (*BEFORE, State.SHIFTING, State.DRAINING)


def meant(listeners: Mapping[str, Listener], name: str) -> Listener:
    """The listener of that name; without one, the only one that has an open migration, or the only one."""
    if name:
        if name not in listeners:
            raise UnknownListenerError(f"no listener {name!r}; there are: {', '.join(sorted(listeners))}")
        return listeners[name]
    candidates = [one for one in listeners.values() if one.open is not None] or list(listeners.values())
    if len(candidates) != 1:
        raise UnknownListenerError(f"{len(candidates)} listeners could be meant, none was named")
    return candidates[0]


def start(
    listeners: Mapping[str, Listener], name: str, target: str, pools: Iterable[str] | None = None
) -> Listener:
    """A migration that is planned; one that is on its way there already stays as it is.

    Fails: what ``rules.check_start`` says.
    """
    there = listeners.get(name)
    way = there.open if there is not None else None
    if there is not None and way is not None and way.target == target and way.state in FORWARD:
        return there
    listener = check_start(listeners, name, target, pools)
    last = listener.migration
    migration = Migration(
        number=last.number + 1 if last is not None else 1,
        source=listener.owner,
        target=target,
        state=State.PLANNED,
    )
    return replace(listener, epoch=listener.epoch + 1, migration=migration)


def halt(listener: Listener, why: str = "an operator asked for it") -> Listener:
    """Stand still. A halt stays until an operator says otherwise, whatever restarts. Fails: NotNowError."""
    migration = _open(listener, "halted")
    if migration.state is State.HALTED:
        return listener
    return written(listener, state=State.HALTED, why=why)


def go_on(listener: Listener, without: Collection[str] = (), accept: bool = False) -> Listener:
    """Forward from where it stands. Fails: NotNowError.

    ``without``: these proxies are off, by the operator's own look: they are not waited for. ``accept``: the
    present step's gate counts as passed.
    """
    migration = _open(listener, "gone on with")
    known = {*migration.sources, *migration.targets}
    if unknown := sorted(set(without) - known):
        raise NotNowError(f"without={','.join(unknown)}: of neither pool of {listener.name}")
    off = tuple(sorted({*migration.without, *without}))
    accepted = max(migration.accepted, migration.step) if accept else migration.accepted
    state, step = migration.state, migration.step
    if state in (State.HALTED, State.RETURNING):
        step = step if state is State.HALTED else 0
        moved = State.SHIFTING if listener.owner == migration.source else State.DRAINING
        state = moved if migration.prepared else State.PREPARING if migration.orders else State.PLANNED
    if (state, off, accepted) == (migration.state, migration.without, migration.accepted):
        return listener
    why = "an operator asked for it"
    return written(listener, state=state, step=step, without=off, accepted=accepted, why=why)


def back(listener: Listener) -> Listener:
    """The way back. Fails: NotNowError where there is nothing to go back from."""
    last = listener.migration
    if last is not None and last.state is State.RETURNED:
        return listener
    migration = _open(listener, "turned back")
    if migration.state is State.RETURNING:
        return listener
    why = "an operator asked for it"
    if migration.state in BEFORE:
        return written(listener, state=State.RETURNED, why=why)
    if migration.state is State.HALTED and not migration.prepared:
        return written(listener, state=State.RETURNED, why=why)
    return written(listener, state=State.RETURNING, step=0, accepted=-1, why=why)


def _open(listener: Listener, what: str) -> Migration:
    migration = listener.open
    if migration is None:
        last = listener.migration
        if last is None:
            raise NotNowError(f"{listener.name} does not migrate, nothing can be {what}")
        text = f"{listener.name} has {last.state.value} at {listener.owner}, nothing can be {what}"
        other = last.source if last.state is State.SETTLED else last.target
        raise NotNowError(f"{text}; start listener={listener.name}&to={other} moves it")
    return migration


def next_words(listener: Listener) -> tuple[str, ...]:
    """What may be asked next, as calls of the door."""
    migration = listener.open
    if migration is None:
        return ("start",)
    if migration.state is State.HALTED:
        return ("go-on", "back")
    if migration.state is State.RETURNING:
        return ("halt", "go-on")
    return ("halt", "back")
