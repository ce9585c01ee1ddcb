"""Measures a release of all over the agreement in memory, on a virtual clock: time, most out, calls.

``python -m lupinlink.lab.agreed_release [SIZE,SIZE] [SEED,SEED]``: one JSON object a line. Default: 20,200
proxies, seeds 1,2. The service answers each call in 2 ms; nothing is measured of Consul itself or of CPU.
"""

from __future__ import annotations

import sys
from collections import Counter

import msgspec
from msgspec import Struct

from lupinlink.lab.agreed_fleet import VirtualFleet
from lupinlink.release.settings import GateSettings, ReleaseSettings

CALM_S = 60.0  # before the release; its first half is not counted
MOST_S = 7200.0
FAULTS = ("none", "lead_killed", "agreement_gone")


class Measured(Struct, frozen=True):
    """One play. Calls are those of one process and second."""

    proxies: int
    seed: int
    fault: str
    seconds: float  # from the order to the end, with an operator who goes on 10 s after a halt
    waves: int
    out_most: int
    out_allowed: int
    twice: int  # members that drained twice
    halts: int
    calm_calls: float
    release_calls: float
    most_calls_of_one: float  # over the release, of the process that made most
    versions: list[str]


def measure(size: int, seed: int, fault: str = "none") -> Measured:
    """Play one release by the defaults, but with a soak of 10 s."""
    settings = ReleaseSettings(gates=GateSettings(soak_ms=10_000.0))
    fleet = VirtualFleet(size, settings, seed, zones=4)
    fleet.run(CALM_S / 2.0)
    before = fleet.calls()
    fleet.run(CALM_S / 2.0)
    calm = (fleet.calls() - before) / size / (CALM_S / 2.0)
    fleet.call("PUT", "/control/release/start", version="2")
    began, before = fleet.clock.now(), fleet.calls()
    firsts = {place.name: place.client.calls for place in fleet.places.values() if place.client}
    halts, struck = 0, fault == "none"
    while fleet.clock.now() - began < MOST_S * 1000.0:
        fleet.run(1.0)
        known = fleet.known()
        if known.plan is None:
            continue
        if not struck and known.plan.wave >= 2:
            struck = True
            _strike(fleet, fault)
        if known.halt.stands:
            halts += 1
            fleet.run(10.0)
            fleet.call("PUT", "/control/release/go-on")
            fleet.run(5.0)
        if known.plan.ended:
            break
    seconds = (fleet.clock.now() - began) / 1000.0
    plan, trips = fleet.known().plan, Counter(name for _, name in fleet.drains)
    assert plan is not None
    most = max(
        place.client.calls - (firsts[place.name] if place.processes == 1 else 0)
        for place in fleet.places.values()
        if place.client
    )
    return Measured(
        size, seed, fault, round(seconds, 1), plan.waves, fleet.out_most,
        fleet.known().permits.proxies.allowed, sum(count > 1 for count in trips.values()), halts,
        round(calm, 3), round((fleet.calls() - before) / size / seconds, 3), round(most / seconds, 3),
        sorted(fleet.versions()),
    )  # fmt: skip


def _strike(fleet: VirtualFleet, fault: str) -> None:
    if fault == "lead_killed":
        lead = next(p for p in fleet.places.values() if p.agent is not None and p.agent.lead.is_leader)
        fleet.kill(lead)
        fleet.again(lead)
    elif fault == "agreement_gone":
        fleet.service.reachable = False
        fleet.service.changed()
        fleet.run(30.0)
        fleet.service.reachable = True


def main(words: list[str]) -> None:
    """Every size with every seed; the faults at the smallest size only."""
    sizes = [int(size) for size in (words[0] if words else "20,200").split(",")]
    seeds = [int(seed) for seed in (words[1] if len(words) > 1 else "1,2").split(",")]
    for size in sizes:
        for seed in seeds:
            for fault in FAULTS if size == min(sizes) else FAULTS[:1]:
                print(msgspec.json.encode(measure(size, seed, fault)).decode(), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
