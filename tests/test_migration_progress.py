"""What a proxy obeys in a migration, and how far the migration is."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from lupinlink.migration import asked, estimate
from lupinlink.migration.follower import Follower
from lupinlink.migration.hearing import Hearing
from lupinlink.migration.model import Figures, Listener, Report, State
from lupinlink.migration.progress import Role, stuck, summed
from lupinlink.migration.tables import Told, page
from tests.migrating import SETTINGS
from tests.migrations_begun import begun, until


class TestFollower:
    """What one proxy obeys."""

    def test_the_older_stops_at_once(self) -> None:
        world = begun(0)
        follower = world.proxies["old0"].follower
        assert follower is not None and follower.serves(world.now)
        newer = Listener(name="shop", owner="new", epoch=9)
        follower.told({"shop": newer}, world.now)
        assert not follower.serves(world.now)
        assert follower.told({"shop": replace_epoch(newer, 8, "old")}, world.now) == [newer]
        assert not follower.serves(world.now)

    def test_a_start_that_knows_nothing_waits_and_then_serves_at_home(self) -> None:
        home, other = (Follower("x", pool, "r", SETTINGS, 0.0) for pool in ("old", "new"))
        assert not home.serves(2999.0) and home.serves(3000.0) and not other.serves(3000.0)

    def test_a_restart_goes_on_as_it_was_told(self) -> None:
        first = Follower("x", "old", "r", SETTINGS, 0.0)
        first.told({"shop": Listener(name="shop", owner="new", epoch=9)}, 0.0)
        again = Follower("x", "old", "s", SETTINGS, 0.0)
        again.recall(first.memory(0.0), 0.0)
        assert not again.serves(99999.0)
        again.told({"shop": Listener(name="shop", owner="old", epoch=4)}, 5.0)
        assert not again.serves(6.0)  # the service was restored: somebody may know better
        assert again.serves(5.0 + SETTINGS.fresh_ms)  # nobody did

    def test_the_last_are_ended_after_the_stated_time_and_not_in_a_halt(self) -> None:
        world = until(begun(0, kept="old0"), State.DRAINING)
        follower = world.proxies["old0"].follower
        assert follower is not None
        late = world.now + SETTINGS.long_ms
        assert follower.look(Figures(live=1), late)
        follower.told({"shop": asked.halt(world.listener)}, late)
        assert not follower.look(Figures(live=1), late)


def replace_epoch(listener: Listener, epoch: int, owner: str) -> Listener:
    return msgspec.structs.replace(listener, epoch=epoch, owner=owner)


class TestProgress:
    """What operators are told."""

    def test_the_dead_have_not_moved(self) -> None:
        world = begun(0)
        while not (began := getattr(world.listener.open, "began", {})):
            world.round()
        name = next(iter(began))
        world.proxies[name].live = 2
        world.kill(name)
        world.tick(500.0)
        assert summed(world.sight(), "lead", "", 0.0).moved == 0
        world.start(name)
        world.report(name)
        told = summed(world.sight(), "lead", "", 0.0)
        assert (told.moved, told.died) == (0, 2)
        assert {row.name: row.role for row in told.rows}[name] is Role.DIED

    @pytest.mark.parametrize(
        ("figures", "text"),
        [
            (Figures(live=3, idle=3), "3 idle but kept"),
            (Figures(live=1, requests=1, bytes_to_go=9_000_000, oldest_ms=5e3), "long body, 9.0 MB to go"),
            (Figures(live=2, requests=2, oldest_ms=3e4), "2 with a silent peer"),
            (Figures(), ""),
        ],
    )
    def test_why_it_is_stuck(self, figures: Figures, text: str) -> None:
        report = Report(name="x", pool="old", run="r", beat=1, role_ms=60000.0, figures=figures)
        assert stuck(report, SETTINGS) == text

    def test_the_estimate(self) -> None:
        figures = Figures(live=10)
        report = Report(name="x", pool="old", run="r", beat=1, role_ms=5e3, leaving_s=1.0, figures=figures)
        told = estimate.tail([report], 1.2e6)
        assert told.end_ms == pytest.approx(1000.0 * 10.0 * sum(1.0 / k for k in range(1, 11)))
        assert 0.0 < told.error_ms < told.end_ms
        slow = msgspec.structs.replace(report, leaving_s=0.0)
        assert estimate.tail([slow], 1.2e6).known is False
        assert estimate.steps_left(10, 3, 2, 1, 2.0) == 2  # 4, then the other 3

    def test_silence_is_told_by_changes_that_were_seen(self) -> None:
        hearing = Hearing(7000.0)
        report = Report(name="x", pool="old", run="r", beat=1)
        hearing.take({"x": (5, report)}, 1000.0)
        assert not hearing.enough(["x"], 2000.0)
        hearing.take({"x": (6, report)}, 3000.0)
        assert hearing.enough(["x"], 3000.0) and hearing.members(4000.0)["x"].age_ms == 1000.0
        hearing.take({"x": (7, report)}, 9000.0)  # deaf for too long between the two
        assert not hearing.enough(["x"], 9000.0)

    def test_the_page_names_what_may_be_done_next(self) -> None:
        world = until(begun(0), State.DRAINING)
        told = summed(world.sight(), "n3", "connections at old0", 0.0)
        text = page({"shop": world.listener}, {"shop": Told(told, 1500.0)}, SETTINGS, "", ["start: done"])
        for part in ("old to new: draining", "next: halt or back", "word of the lead, n3", "start: done"):
            assert part in text
        assert replace(Told(told, 0.0), age_ms=1.0).age_ms == 1.0
