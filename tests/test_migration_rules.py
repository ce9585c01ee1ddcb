"""What a migration decides in each case that an operator may meet."""

from __future__ import annotations

from typing import ClassVar

import msgspec
import pytest

from lupinlink.migration import asked
from lupinlink.migration.errors import (
    CircleError,
    EmptyPoolError,
    MigrationError,
    NotNowError,
    PoolBusyError,
    SamePoolError,
    UnderWayError,
    UnknownListenerError,
)
from lupinlink.migration.model import Listener, State
from lupinlink.migration.settings import MigrationSettings
from tests.migrating import World
from tests.migrations_begun import BEGIN, FAILED, begun, moving, state, until


class TestOrders:
    """What stands against an order."""

    others: ClassVar[dict[str, Listener]] = {
        "a": Listener(name="a", owner="a", epoch=1),
        "b": moving("b", "c"),
        "c": moving("c", "a"),
    }

    @pytest.mark.parametrize(
        ("name", "target", "kind"),
        [
            ("x", "b", UnknownListenerError),
            ("a", "a", SamePoolError),
            ("b", "a", UnderWayError),
            ("a", "b", CircleError),
            ("a", "c", PoolBusyError),
        ],
    )
    def test_refused(self, name: str, target: str, kind: type[MigrationError]) -> None:
        others = {**self.others, "c": moving("c", "d" if kind is PoolBusyError else "a")}
        with pytest.raises(kind):
            asked.start(others, name, target)

    def test_an_empty_pool_is_refused(self) -> None:
        with pytest.raises(EmptyPoolError):
            asked.start({"a": self.others["a"]}, "a", "z", ["a", "b"])

    def test_the_same_order_again_changes_nothing(self) -> None:
        assert asked.start({"b": self.others["b"]}, "b", "c") is self.others["b"]

    @pytest.mark.parametrize("rounds", range(0, 40, 3))
    def test_a_change_of_mind_in_every_state(self, rounds: int) -> None:
        world = begun(rounds)
        if state(world) is State.SETTLED:
            with pytest.raises(NotNowError):
                asked.back(world.listener)
            return
        world.write(asked.halt(world.listener))
        world.round(3)
        assert state(world) is State.HALTED
        world.write(asked.back(world.listener))
        world.round()
        if state(world) is not State.RETURNED:
            world.write(asked.go_on(world.listener))
            world.round()
            world.write(asked.back(world.listener))
        until(world, State.RETURNED)
        assert world.listener.owner == "old"
        assert not world.two_owners()

    def test_settings_that_contradict(self) -> None:
        one = {"name": "shop", "home": "old"}
        for wrong in ({"listeners": [one, {**one, "name": "x"}]}, {"fresh_ms": 3000.0, "report_ms": 2000.0}):
            with pytest.raises(msgspec.ValidationError):
                msgspec.convert(wrong, MigrationSettings)


class TestPools:
    """Pools in trouble."""

    def test_a_target_that_shrinks_and_still_bears_all_goes_on(self) -> None:
        world = begun(BEGIN, news=5)
        world.kill("new4")
        until(world, State.SETTLED)

    def test_a_target_that_shrinks_too_much_halts_and_enough_serve(self) -> None:
        world = until(begun(0, kept="old1"), State.DRAINING)
        world.kill("new0")
        world.kill("new1")
        until(world, State.HALTED)
        world.round(3)
        assert sum(world.serves(name) for name in world.proxies) >= 2
        assert world.listener.owner == "old"  # with the first that was called back

    def test_both_in_trouble_stop_where_most_is_served(self) -> None:
        world = begun(BEGIN, olds=4, news=4)
        assert world.listener.open is not None
        assert len(world.listener.open.serving() & {"old0", "old1", "old2", "old3"}) < 3
        for name in ("new0", "new1", "new2", "old3"):
            world.kill(name)
        until(world, State.HALTED)
        world.round(2)
        assert {name for name in world.proxies if world.serves(name)} >= {"old0", "old1", "old2"}

    def test_no_pool_over_its_capacity(self) -> None:
        world = begun(3)
        for proxy in world.proxies.values():
            proxy.live = 15 if proxy.pool == "old" else 0
        world.round(30)
        # 45 connections fill 80% of 20 at three proxies of the target at least.
        assert state(world) in (State.SHIFTING, State.DRAINING, State.SETTLED)
        small = begun(3, news=2)
        for proxy in small.proxies.values():
            proxy.live = 15 if proxy.pool == "old" else 0
        small.round(40, ms=3000.0)
        assert sum(small.serves(name) for name in ("old0", "old1", "old2")) >= 1

    def test_targets_that_know_too_few_servers_are_not_ready(self) -> None:
        world = World()
        world.proxies["new1"].servers = 5
        world.write(asked.start({"shop": world.listener}, "shop", "new"))
        world.round(10)
        assert state(world) is State.PREPARING
        change = world.look()
        assert change is not None and "new1: knows 5 servers" in change.why

    def test_a_failed_gate_halts_unless_an_operator_accepts_it(self) -> None:
        world = until(begun(0), State.HALTED, FAILED)
        world.write(asked.go_on(world.listener, accept=True))
        world.round(3, judgment=FAILED)
        assert state(world) is State.SHIFTING

    def test_a_silent_source_is_waited_for_until_it_is_called_off(self) -> None:
        world = begun(6)
        world.proxies["old2"].cut = True
        world.round(40)
        assert state(world) is State.SHIFTING and world.serves("old2")
        world.write(asked.go_on(world.listener, ["old2"]))
        until(world, State.SETTLED)
