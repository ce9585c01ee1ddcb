"""Variants of the decision module that each lack one thing: what a measure of policies must tell apart.

``python -m lupinlink.lab.variants NAME`` speaks the simulator's wire with a variant in the module's place.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from lupinlink import adapter
from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.brain.admission import Admission
from lupinlink.brain.health import OutlierDetector
from lupinlink.brain.server_selection import ServerSelector
from lupinlink.interface import Server
from lupinlink.node import Node


class EvenSelector(ServerSelector):
    """Any ready server that fits, whatever is known of its load."""

    def pick(self, now: float, node: Node, key: str, fits: Callable[[Server], bool]) -> Server | None:
        super().pick(now, node, "", lambda server: False)  # draws its table up as ever
        found = [server for server in self.table if fits(server)]
        return self.rng.choice(found) if found else None

    def fallback_candidates(self, now: float) -> Iterable[list[Server]]:
        return []


class RandomChoice(Balancer):
    """Servers are chosen evenly at random."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.selector = EvenSelector(settings, self.slow_start, rng, self.limits)


class Open(Admission):
    """Admits everybody."""

    def revise(
        self,
        rate: float,
        delay: float | None,
        capacity: float,
        utilization: float | None = None,
        served_share: float = 0.0,
    ) -> None:
        super().revise(rate, delay, capacity, utilization, served_share)
        self.admit_probability, self.refusing, self.capacity_bound.needed_servers = 1.0, False, 0.0


class NoRefusals(Balancer):
    """Nobody is refused for the sake of others."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.admission = Open(settings.peers, 0.0)
        self.admission.target = self.admission.min_target


class NoKeys(Balancer):
    """Keys have no say in the choice of a server."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(replace(settings, warm_keys=False), rng)


class Patient(OutlierDetector):
    """Leaves nobody out."""

    def eject(self, server: Server, now: float, max_ejected: float) -> bool:
        return False


class NoEjection(Balancer):
    """No server is left out, however it fails."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.outlier_detector = Patient(rng)


VARIANTS: dict[str, type[Balancer]] = {
    "today": Balancer,
    "random": RandomChoice,
    "no-refusals": NoRefusals,
    "no-keys": NoKeys,
    "no-ejection": NoEjection,
}


def main(argv: list[str]) -> int:
    """Serve the wire with the variant that is named."""
    if len(argv) != 1 or argv[0] not in VARIANTS:
        print(f"lupinlink: name one of {', '.join(VARIANTS)}", file=sys.stderr)
        return 2
    setattr(adapter, "Balancer", VARIANTS[argv[0]])  # noqa: B010  (it is not the adapter's to export)
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
