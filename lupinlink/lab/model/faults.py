"""The script of faults: what begins and ends when, and whom it meets. Faults overlap freely."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lupinlink.clock import Clock
from lupinlink.lab.model.clients import Front
from lupinlink.lab.model.farm import Farm
from lupinlink.lab.model.fault_kinds import MEETS_SERVERS, PROXY_KINDS, Fault
from lupinlink.lab.model.network import Ways
from lupinlink.lab.model.outage import Return, returns
from lupinlink.lab.model.roster import Roster
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.streams import Streams


@dataclass(slots=True)
class Happened:
    """A fault as it was played, for the reports."""

    name: str
    kind: str
    start_ms: float
    end_ms: float
    targets: list[str]


class Script:
    """Plays a scenario's faults. Surges and shifts are in the arrivals already, floods are the sockets'
    drive's, and what befalls proxies and their paths is the fleet's: those drives are told of each fault."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        streams: Streams,
        farm: Farm,
        roster: Roster,
        front: Front,
        ways: Ways,
    ) -> None:
        self.happened: list[Happened] = []
        self.flooded: list[Callable[[int, float], None]] = []  # told of a flood: connections, and its end
        self._scenario, self._clock, self._streams = scenario, clock, streams
        self.begun: list[Callable[[str, list[str]], None]] = []  # told of each fault and whom it meets
        self.plans: dict[str, Return] = {}  # of power losses, by the fault's name
        self.outages = 0  # a power loss ends the return from the one before
        self._farm, self._roster, self._front, self._ways = farm, roster, front, ways
        self._depth: dict[str, int] = {}  # how many faults of a sort hold a thing down at once

    def start(self) -> None:
        """Plan every fault from now on."""
        now = self._clock.now()
        for name, fault in self._scenario.faults.items():
            start = now + fault.at_s * 1000.0
            self._clock.at(start, lambda name=name, fault=fault: self._begin(name, fault))  # type: ignore[misc]

    def _begin(self, name: str, fault: Fault) -> None:
        targets = self._targets(name, fault)
        self.play(name, targets)
        for call in self.begun:
            call(name, targets)

    def play(self, name: str, targets: list[str]) -> None:
        """Begin a fault now; a replica of the world is told whom it meets, and does the same."""
        fault, now = self._scenario.faults[name], self._clock.now()
        end = now + fault.for_s * 1000.0
        self.happened.append(Happened(name, fault.kind, now, end, targets))
        if fault.kind == "power_loss":
            self._power_loss(name, fault)
            return
        play = getattr(self, f"_{fault.kind}", None)
        if play is not None:
            play(fault, targets, end)

    def _targets(self, name: str, fault: Fault) -> list[str]:
        ready = self._farm.ready()
        if fault.kind == "zone_lost":
            zone = self._scenario.network.zones.index(fault.zone or "")
            return [p.name for p in self._farm.places.values() if p.zone == zone]
        if fault.kind in (*PROXY_KINDS, "agreement_cut"):
            # Whoever runs just now: drawn from all, so that one seed meets the same proxies every time.
            proxies = self._scenario.proxies.count
            met = self._streams.generator(f"fault {name}").permutation(proxies)
            return [f"n{i}" for i in sorted(met[: round(proxies * (fault.share or 0.0))])]
        if fault.kind == "shrink":
            count = round(len(ready) * (fault.share or 0.0))
        elif fault.kind in MEETS_SERVERS:
            count = min(len(ready), fault.count or 0)
        else:
            return []
        order = self._streams.generator(f"fault {name}").permutation(len(ready))
        return [ready[i] for i in sorted(order[:count])]

    def _for_a_while(
        self, key: str, end: float, begin: Callable[[], None], finish: Callable[[], None]
    ) -> None:
        """Hold a thing down until the last of the overlapping faults on it has ended."""
        self._depth[key] = self._depth.get(key, 0) + 1
        if self._depth[key] == 1:
            begin()

        def over() -> None:
            self._depth[key] -= 1
            if not self._depth[key]:
                finish()

        self._clock.at(end, over)

    def _hot_proxy(self, fault: Fault, targets: list[str], end: float) -> None:
        proxy, hot = fault.proxy or 0, self._front.hot
        self._for_a_while(
            f"hot {proxy}",
            end,
            lambda: hot.update({proxy: fault.share or 0.0}),
            lambda: hot.pop(proxy, None),  # type: ignore[arg-type]
        )

    def _flood(self, fault: Fault, targets: list[str], end: float) -> None:
        for call in self.flooded:
            call(fault.count or 0, end)

    def _shrink(self, fault: Fault, targets: list[str], end: float) -> None:
        now = self._clock.now()
        step = (end - now) / max(1, len(targets))
        for i, name in enumerate(targets):
            self._clock.at(now + i * step, lambda name=name: self._farm.drain(name))  # type: ignore[misc]

    def _grow(self, fault: Fault, targets: list[str], end: float) -> None:
        now, count = self._clock.now(), fault.count or 0
        for i in range(count):
            self._clock.at(now + i * (end - now) / count, self._grow_one)

    def _grow_one(self) -> None:
        self._farm.grow()

    def _crash(self, fault: Fault, targets: list[str], end: float) -> None:
        for name in targets:
            self._farm.crash(name)
            self._clock.at(end, lambda name=name: self._farm.restart(name))  # type: ignore[misc]

    def _restart(self, fault: Fault, targets: list[str], end: float) -> None:
        now = self._clock.now()
        step = (end - now) / max(1, len(targets))
        for i, name in enumerate(targets):
            self._clock.at(now + i * step, lambda name=name: self._farm.restart(name))  # type: ignore[misc]

    def _vanish(self, fault: Fault, targets: list[str], end: float) -> None:
        for name in targets:
            self._for_a_while(
                f"vanish {name}",
                end,
                lambda name=name: self._farm.vanish(name, True),  # type: ignore[misc]
                lambda name=name: self._farm.vanish(name, False),  # type: ignore[misc]
            )

    _zone_lost = _vanish

    def _hang(self, fault: Fault, targets: list[str], end: float) -> None:
        for place in map(self._farm.places.__getitem__, targets):
            server = place.server
            self._for_a_while(
                f"hang {place.name}",
                end,
                lambda server=server: server.hang(True),  # type: ignore[misc]
                lambda server=server: server.hang(False),  # type: ignore[misc]
            )

    def _slow(self, fault: Fault, targets: list[str], end: float) -> None:
        for place in map(self._farm.places.__getitem__, targets):
            server, size = place.server, fault.size or 1.0
            server.slow_down(server.troubles.slow * size)
            self._clock.at(
                end,
                lambda server=server, size=size: server.slow_down(server.troubles.slow / size),  # type: ignore[misc]
            )

    def _some(self, fault: Fault, targets: list[str], end: float) -> None:
        """A share of what passes there goes wrong in the way the fault is named after."""
        names = {"reset": "resets", "spoil": "spoilt"}
        name = names.get(fault.kind, fault.kind)
        share = fault.share or 0.0
        for place in map(self._farm.places.__getitem__, targets):
            troubles = place.server.troubles
            setattr(troubles, name, getattr(troubles, name) + share)

            def over(troubles: object = troubles) -> None:
                setattr(troubles, name, max(0.0, getattr(troubles, name) - share))

            self._clock.at(end, over)

    def _second_answers(self, fault: Fault, targets: list[str], end: float) -> None:
        for place in map(self._farm.places.__getitem__, targets):
            place.server.troubles.second_answer_ms = fault.ms or 0.0
        self._some(fault, targets, end)

    _reset = _spoil = _errors = _lost = _some

    def _delay(self, fault: Fault, targets: list[str], end: float) -> None:
        ways, more = self._ways, fault.ms or 0.0
        ways.more_ms += more

        def over() -> None:
            ways.more_ms -= more

        self._clock.at(end, over)

    def _roster_busy(self, fault: Fault, targets: list[str], end: float) -> None:
        roster, size = self._roster, fault.size or 1.0
        roster.slowness *= size

        def over() -> None:
            roster.slowness /= size

        self._clock.at(end, over)

    def _power_loss(self, name: str, fault: Fault) -> None:
        """Every server is gone at once; they come back cold, some as others, in the drawn order."""
        self.outages += 1
        outage, now, standing = self.outages, self._clock.now(), self._farm.standing()
        plan = returns(name, fault, self._streams, self._scenario.proxies.count, standing)
        self.plans[name] = plan
        for server in list(self._farm.places):
            self._farm.crash(server)

        def back(server: str) -> None:
            if outage == self.outages:
                self._farm.grow() if server in plan.replaced else self._farm.restart(server)

        for server, after in plan.servers.items():
            self._clock.at(now + after, lambda server=server: back(server))  # type: ignore[misc]

    def _roster_down(self, fault: Fault, targets: list[str], end: float) -> None:
        self._for_a_while(
            "roster down", end, lambda: self._roster.go_down(True), lambda: self._roster.go_down(False)
        )

    def _roster_stale(self, fault: Fault, targets: list[str], end: float) -> None:
        self._for_a_while(
            "roster stale", end, lambda: self._roster.go_stale(True), lambda: self._roster.go_stale(False)
        )
