"""The release's rules hold in any order of events: bounds, one trip each, halts, fences, and an end."""

from __future__ import annotations

import math

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lupinlink.release.records import State
from tests.release_cast import SEEN_AFTER_MS, SETTINGS, Process
from tests.release_world import World

NAMES = st.sampled_from([f"p{i}" for i in range(6)])
LEADS = st.sampled_from([0, 1])


class Release(RuleBasedStateMachine):
    """Six proxies in two zones, two leads that may both believe in themselves, one service."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.halted = False
        self.fence = 0

    @initialize(rounds=st.integers(0, 16))
    def begin(self, rounds: int) -> None:
        """A release is under way, more or less far."""
        self.world.take_lead(self.world.leads[0])
        self.world.order()
        for _ in range(5):
            self.round()
        self.world.saved = self.world.store.save()
        for _ in range(rounds):
            self.round(act=True)

    def process(self, name: str) -> Process:
        return self.world.processes[name]

    def round(self, act: bool = False) -> None:
        """Time passes, and both leads look."""
        self.world.tick(4000.0)
        for leader in self.world.leads:
            self.world.look(leader)
            self.settled(leader.name[-1])
        if act:
            for process in self.world.processes.values():
                self.world.see(process)
                self.world.act(process)
                if process.starts:
                    self.world.end(process)
                if not process.alive:
                    self.world.start(process)

    def settled(self, number: str) -> None:
        """A decision is committed: it must have kept every bound."""
        world = self.world
        before = world.known()
        if not world.settle(world.leads[int(number)]):
            return
        after = world.known()
        new = after.permits.proxies.held.keys() - before.permits.proxies.held.keys()
        # Whom a lead could know to be out: a death it has had the time to see, or a permit.
        out = {n for n, at in world.out_since.items() if world.now - at > SEEN_AFTER_MS}
        out |= set(after.permits.proxies.held)
        for name in new:
            if not world.processes[name].serves:
                continue  # it is out already, it costs nothing
            assert len(out) <= max(
                1, math.floor(SETTINGS.proxies.share * 6)
            ), f"{out} out by a grant to {name}"
            zone = world.processes[name].zone
            here = [n for n in out if world.processes[n].zone == zone]
            assert len(here) <= max(1, math.floor(SETTINGS.proxies.zone_share * 3)), f"{here} in {zone}"
        if before.halt.stands:
            assert not any(after.permits.proxies.held[name].plan for name in new), "granted under a halt"
        self.halted = after.halt.stands
        assert after.permits.fence >= before.permits.fence, "a fence fell"

    @rule(ms=st.sampled_from([500.0, 4000.0, 12_000.0]))
    def time_passes(self, ms: float) -> None:
        self.world.tick(ms)

    @rule(times=st.integers(1, 4))
    def goes_on(self, times: int) -> None:
        for _ in range(times):
            self.round(act=True)

    @rule(lead=LEADS)
    def looks(self, lead: int) -> None:
        self.world.look(self.world.leads[lead])

    @rule(lead=LEADS)
    def commits(self, lead: int) -> None:
        self.settled(str(lead))

    @rule(lead=LEADS)
    def leads(self, lead: int) -> None:
        self.world.take_lead(self.world.leads[lead])

    @rule(name=NAMES)
    def sees(self, name: str) -> None:
        self.world.see(self.process(name))

    @rule(name=NAMES)
    def acts(self, name: str) -> None:
        self.world.act(self.process(name))

    @rule(name=NAMES)
    def ends(self, name: str) -> None:
        if self.process(name).starts:
            self.world.end(self.process(name))

    @rule(name=NAMES)
    def dies(self, name: str) -> None:
        self.world.end(self.process(name))

    @rule(name=NAMES)
    def starts(self, name: str) -> None:
        if not self.process(name).alive:
            self.world.start(self.process(name))

    @rule(name=NAMES, stands=st.booleans())
    def stands_still(self, name: str, stands: bool) -> None:
        self.process(name).frozen = stands and self.process(name).alive

    @rule(name=NAMES, broken=st.booleans())
    def breaks(self, name: str, broken: bool) -> None:
        self.process(name).broken = broken

    @rule(name=NAMES)
    def drain_is_asked_for(self, name: str) -> None:
        self.process(name).ask = "drain"

    @rule(name=NAMES)
    def in_service(self, name: str) -> None:
        process = self.process(name)
        if process.alive and not process.frozen and not process.acts:
            process.ask, process.begun, process.drained = "", 0, False

    @rule()
    def halt(self) -> None:
        self.world.halt()
        self.halted = True

    @rule(accept=st.booleans())
    def go_on(self, accept: bool) -> None:
        self.world.go_on(accept)
        self.halted = False

    @rule()
    def back(self) -> None:
        before = self.world.known().halt.number
        self.world.back()
        self.halted = self.halted and self.world.known().halt.number == before

    @rule()
    def saved(self) -> None:
        self.world.saved = self.world.store.save()

    @rule()
    def restored(self) -> None:
        self.world.restore()

    @invariant()
    def no_member_goes_out_twice(self) -> None:
        twice = [key for key, count in self.world.begins.items() if count > 1]
        assert not twice, f"{twice} went out twice"

    @invariant()
    def a_halt_holds(self) -> None:
        assert not self.halted or self.world.known().halt.stands, "a halt was lost"

    def teardown(self) -> None:
        """Left alone with healthy members, a release ends, and each of its members is settled."""
        world = self.world
        world.go_on()
        for process in world.processes.values():
            process.frozen = process.broken = False
            if process.ask:
                process.ask, process.begun, process.drained = "", 0, process.drained and bool(process.acts)
        world.take_lead(world.leads[0])
        for _ in range(200):
            self.round(act=True)
            world.go_on(accept=True)
            plan = world.known().plan
            if plan is not None and plan.ended:
                break
        plan = world.known().plan
        assert plan is not None and plan.ended, f"not ended: {plan}"
        assert set(plan.members) == set(world.processes), "a member was forgotten"
        assert all(p.state in (State.JUDGED, State.FAILED) for p in plan.members.values()), plan.members
        for _ in range(8):
            self.round(act=True)
        held = world.known().permits.proxies.held
        assert not held, f"permits were never given back: {held}"


Release.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestRules = Release.TestCase
