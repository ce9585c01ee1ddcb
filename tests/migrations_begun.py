"""Migrations that have come so far, for the tests of rules and progress."""

from __future__ import annotations

from lupinlink.migration import asked
from lupinlink.migration.model import Listener, Migration, State
from lupinlink.release.gates import Judgment, Verdict
from tests.migrating import PASSED, World

FAILED = Judgment(Verdict.FAILED, "refused: new 9%, old 1%")
BEGIN = 12  # rounds within which all have come in and half have gone


def begun(rounds: int, olds: int = 3, news: int = 3, kept: str = "") -> World:
    """A migration that has come so far."""
    world = World(olds, news)
    world.kept = {kept}
    world.write(asked.start({"shop": world.listener}, "shop", "new"))
    world.round(rounds)
    return world


def state(world: World) -> State:
    assert world.listener.migration is not None
    return world.listener.migration.state


def until(world: World, wanted: State, judgment: Judgment = PASSED) -> World:
    for _ in range(80):
        if state(world) is wanted:
            return world
        world.round(judgment=judgment)
    raise AssertionError(f"{state(world)}: {world.look()}")


def moving(source: str, target: str) -> Listener:
    migration = Migration(number=1, source=source, target=target, state=State.SHIFTING)
    return Listener(name=source, owner=source, epoch=3, migration=migration)
