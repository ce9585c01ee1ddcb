"""Ten proxies with the real agents on a virtual clock, for tests of a release; what is written is kept."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lupinlink.coordination.contract import Put, Record, Step
from lupinlink.lab.agreed_fleet import Place, VirtualFleet
from lupinlink.release.known import Known
from lupinlink.release.records import PLAN, Plan, State, decoded
from lupinlink.release.settings import BoundSettings, GateSettings, ReleaseSettings
from tests.fleet_members import StoppableClock

ALLOWED = 2


def settings(least_samples: int = 30, **more: int) -> ReleaseSettings:
    return ReleaseSettings(
        proxies=BoundSettings(share=0.2, zone_share=0.7), servers=BoundSettings(share=0.25, zone_share=0.5),
        gates=GateSettings(soak_ms=6000.0, soak_most_ms=40_000.0, least_samples=least_samples),
        back_ms=40_000.0, permit_ms=15_000.0, **more,
    )  # fmt: skip


class Fleet(VirtualFleet):
    """Ten proxies; what is written is looked at as it is written."""

    def __init__(self, **more: int) -> None:
        super().__init__(10, settings(**more), zones=3, make_clock=StoppableClock)
        self.fences: list[int] = []
        do = self.service.store.commit

        def commit(steps: list[Step], now: float) -> dict[str, Record]:
            written = do(steps, now)
            self.fences += [
                decoded(Plan, PLAN, s.value).fence for s in steps if isinstance(s, Put) and s.key == PLAN
            ]
            return written

        self.service.store.commit = commit  # type: ignore[method-assign, assignment]
        self.run(30.0)

    def begin(self) -> None:
        answer = self.call("PUT", "/control/release/start", version="2")
        assert answer.status == 202, answer

    def until(self, holds: Callable[[Known], bool], seconds: float = 400.0, every: float = 0.1) -> Known:
        """Let time pass until the records are so."""
        end = self.clock.now() + seconds * 1000.0
        while not holds(self.known()):
            assert self.clock.now() < end, self.call("GET", "/control/release").text
            self.run(every)
        return self.known()

    def lead(self) -> Place:
        return next(p for p in self.places.values() if p.agent is not None and p.agent.lead.is_leader)

    def stop(self, place: Place, stopped: bool) -> None:
        assert isinstance(place.clock, StoppableClock)
        if stopped:
            place.clock.stopped = True
        else:
            place.clock.resume()

    def trips(self) -> Counter[str]:
        return Counter(name for _, name in self.drains)


def plan_of(known: Known) -> Plan:
    assert known.plan is not None
    return known.plan


def any_in(state: State) -> Callable[[Known], bool]:
    return lambda known: known.plan is not None and any(p.state is state for p in known.plan.members.values())


def later_wave(known: Known) -> bool:
    return known.plan is not None and known.plan.wave > 0


def ended(known: Known) -> bool:
    return known.plan is not None and known.plan.ended


def halted(known: Known) -> bool:
    return known.halt.stands
