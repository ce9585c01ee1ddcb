"""What befalls a fleet: faults of proxies, of their paths and of discovery, as their script begins them."""

from __future__ import annotations

import math
from functools import partial

from lupinlink.lab.fleet.agreement_faults import AgreementFaults
from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.model.fault_kinds import Fault
from lupinlink.lab.model.outage import Return

STEPS = 10  # a roll restarts a tenth at a time


class Befalling:
    """Plays each fault as it begins."""

    def __init__(self, ground: Ground, bank: Bank, discovery: Discovery) -> None:
        self.outages: list[tuple[str, float]] = []  # power losses: name and when
        self.agreement: AgreementFaults | None = None  # where there is such a service
        self._ground, self._bank, self._discovery = ground, bank, discovery

    def play(self, name: str, targets: list[str]) -> None:
        """A fault begins; ``targets``: whom it meets."""
        fault = self._ground.scenario.faults[name]
        clock, bank = self._ground.clock, self._bank
        named = fault.kind.startswith("proxies_") or fault.kind == "agreement_cut"
        proxies = [int(target[1:]) for target in targets] if named else []
        if self.agreement is not None and fault.kind.startswith("agreement_"):
            self.agreement.play(name, fault, proxies)
        elif self.agreement is not None and (fault.whom or fault.when):
            self.agreement.aim(fault, proxies, lambda met: self._strike(name, fault, met))
        elif fault.kind in ("proxies_killed", "proxies_stopped"):
            self._strike(name, fault, proxies)
        elif fault.kind == "proxies_rolled":
            step = fault.for_s * 1000.0 / STEPS
            size = math.ceil(len(proxies) / STEPS)
            for k, i in enumerate(proxies):
                clock.after(step * (k // max(1, size)), partial(bank.roll, i))
        elif fault.kind == "proxies_reloaded":
            for i in proxies:
                bank.reload(i)
        elif fault.kind == "cut":
            self._cut(fault)
        elif fault.kind == "power_loss":
            self._power_loss(name, self._ground.world.script.plans[name])

    def _strike(self, name: str, fault: Fault, proxies: list[int]) -> None:
        """Kill or stop these now, and let them be back when the fault's time is over."""
        clock, bank = self._ground.clock, self._bank
        end = clock.now() + fault.for_s * 1000.0
        for i in proxies:
            if fault.kind == "proxies_killed":
                bank.kill(i)
                bank.start_at(i, end)
            else:
                bank.pause(i)
                clock.at(end, partial(bank.go_on, i))
        if fault.whom or fault.when:
            self._ground.late(name, [f"n{i}" for i in proxies])

    def _cut(self, fault: Fault) -> None:
        discovery, zone = self._discovery, self._ground.zone(fault.zone)
        discovery.cut(zone, True)
        self._ground.clock.after(fault.for_s * 1000.0, lambda: discovery.cut(zone, False))

    def _power_loss(self, name: str, plan: Return) -> None:
        ground, discovery = self._ground, self._discovery
        now, outage = ground.clock.now(), ground.world.script.outages
        self.outages.append((name, now))
        discovery.dark()
        for i in range(len(self._bank.proxies)):
            self._bank.kill(i)
        for i, after in enumerate(plan.proxies):
            self._bank.start_at(i, now + after)

        def back() -> None:
            if ground.world.script.outages == outage and not ground.closing:
                ground.spawn(discovery.back())

        ground.clock.at(now + plan.discovery, back)
