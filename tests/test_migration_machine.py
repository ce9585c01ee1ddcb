"""A migration under any order of events: what holds in each of them."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lupinlink.migration import asked
from lupinlink.migration.errors import MigrationError
from lupinlink.migration.model import ENDED, Listener
from lupinlink.release.gates import Judgment, Verdict
from tests.migrating import CAPACITY, FRESH_MS, LEAST, PASSED, SETTINGS, World

NAMES = st.sampled_from([f"{pool}{number}" for pool in ("old", "new") for number in range(3)])
VERDICTS = st.sampled_from([PASSED, PASSED, Judgment(Verdict.UNREAD, "few"), Judgment(Verdict.FAILED, "bad")])


class Machine(RuleBasedStateMachine):
    """Proxies, the lead and an operator, each at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @initialize(rounds=st.integers(0, 24))
    def begun(self, rounds: int) -> None:
        """Somewhere on its way."""
        self.start()
        for _ in range(rounds):
            self.round(1, PASSED)

    @rule(name=NAMES)
    def hear(self, name: str) -> None:
        self.world.hear(name)

    @rule(name=NAMES)
    def report(self, name: str) -> None:
        self.world.report(name)

    @rule(name=NAMES, comes=st.booleans())
    def traffic(self, name: str, comes: bool) -> None:
        (self.world.arrive if comes else self.world.leave)(name)

    @rule(name=NAMES)
    def dies(self, name: str) -> None:
        self.world.kill(name)

    @rule(name=NAMES)
    def comes_back(self, name: str) -> None:
        self.world.start(name)

    @rule(name=NAMES, cut=st.booleans())
    def cut(self, name: str, cut: bool) -> None:
        self.world.proxies[name].cut = cut

    @rule(name=NAMES, ready=st.booleans())
    def ready(self, name: str, ready: bool) -> None:
        self.world.proxies[name].ready = ready

    @rule(ms=st.sampled_from([500.0, 3000.0, 8000.0, 40000.0]))
    def tick(self, ms: float) -> None:
        self.world.tick(ms)

    @rule(rounds=st.integers(1, 6), judgment=VERDICTS)
    def round(self, rounds: int, judgment: Judgment) -> None:
        for _ in range(rounds):
            for name in self.world.proxies:
                self.world.hear(name)
                self.world.report(name)
                self.world.leave(name)
            self.world.tick(2000.0)
            self.look(judgment)

    @rule(judgment=VERDICTS)
    def look(self, judgment: Judgment) -> None:
        world = self.world
        before = world.listener.open.serving() if world.listener.open is not None else set()
        reports = {n: r for n, (r, at) in world.reports.items() if world.now - at <= FRESH_MS}
        world.look(judgment)
        if world.listener.open is None:
            return
        serving = world.listener.open.serving()
        if before - serving and world.listener.migration is not None:
            # Truth, not belief: who served within the time in which a death may be unknown.
            truly = [n for n in serving if world.now - world.proxies[n].good_at <= FRESH_MS + 3000.0]
            assert len(truly) >= LEAST, f"{truly} are left"
            load = sum(report.figures.live for report in reports.values())
            said = [n for n in serving if n in reports and reports[n].serves and reports[n].ready]
            assert load / len(said) <= SETTINGS.fill * CAPACITY, f"{load} for {said}"

    @rule()
    def lead_dies(self) -> None:
        self.world.new_lead()

    @rule()
    def start(self) -> None:
        other = "new" if self.world.listener.owner == "old" else "old"
        self._ask(lambda one: asked.start({"shop": one}, "shop", other))

    @rule(word=st.sampled_from([asked.halt, asked.back, asked.go_on]))
    def word(self, word: object) -> None:
        self._ask(word)

    @precondition(lambda self: self.world.listener.open is not None)
    @rule(name=NAMES)
    def called_off(self, name: str) -> None:
        """An operator says that a machine is off, and it is."""
        migration = self.world.listener.open
        if migration is not None and name in migration.orders:
            self.world.kill(name)
            self._ask(lambda one: asked.go_on(one, [name]))

    def _ask(self, decide: object) -> None:
        assert callable(decide)
        try:
            wanted = decide(self.world.listener)
        except MigrationError:
            return
        assert isinstance(wanted, Listener)
        self.world.write(wanted)

    @invariant()
    def one_owner(self) -> None:
        assert not self.world.two_owners()

    @invariant()
    def bounded(self) -> None:
        assert len(self.world.permitted) <= self.world.bound

    @invariant()
    def the_dead_have_not_moved(self) -> None:
        if self.world.listener.migration is not None:
            moved, left = self.world.moved()
            assert moved <= left

    def teardown(self) -> None:
        """Whatever happened, an operator's word for the way back ends it."""
        world = self.world
        for name, proxy in world.proxies.items():
            proxy.cut, proxy.ready = False, True
            world.start(name)
        if world.listener.open is None:
            return
        self._ask(asked.back)
        for _ in range(120):
            if world.listener.open is None:
                break
            world.round()
            self.one_owner()
            if world.listener.open is not None and world.listener.open.state.value == "halted":
                self._ask(asked.back)
        assert world.listener.migration is not None
        assert world.listener.migration.state in ENDED, world.look()
        assert math.isfinite(world.now)


Machine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
TestMachine = Machine.TestCase
