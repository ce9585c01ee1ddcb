"""Which variant of the module is better: played on the virtual drive, and one order held against another."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from random import Random
from typing import Any

from msgspec import Struct

from lupinlink.lab import library
from lupinlink.lab.variants import VARIANTS
from lupinlink.lab.virtual import VirtualDrive
from lupinlink.net.proxy import Proxy

TROUBLED = ("surge", "member-surge", "shrink", "hang", "vanish", "restarts", "worst-three")


class Played(Struct, frozen=True):
    """One variant's run."""

    variant: str
    scenario: str
    seed: int
    g: float
    rules_broken: int


def play(variant: str, scenario: str, seed: int, sets: dict[str, Any]) -> Played:
    """Play a scenario with a variant in the module's place."""

    class Varied(Proxy):
        def __init__(self, settings: Any, number: int, *rest: Any) -> None:
            super().__init__(settings, number, *rest)
            self._module = VARIANTS[variant](settings, Random(number))

    drive = VirtualDrive(library.load(scenario, sets).scenario, seed, make_proxy=Varied)
    referee = drive.run().referee
    return Played(variant, scenario, seed, referee.service()["G"], sum(referee.counts))


def rank(scenarios: tuple[str, ...], seeds: int, jobs: int, sets: dict[str, Any]) -> list[Played]:
    """Every variant on every scenario and seed, in as many processes."""
    asked = [(v, s, n, sets) for s in scenarios for v in VARIANTS for n in range(1, seeds + 1)]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(play, *zip(*asked, strict=True)))


def kendall(one: dict[str, float], other: dict[str, float]) -> float:
    """Kendall's tau-a of two scores of the same things: pairs in the same order less those in the other."""
    pairs = list(combinations(sorted(one), 2))
    signs = [(one[a] - one[b]) * (other[a] - other[b]) for a, b in pairs]
    return (sum(s > 0.0 for s in signs) - sum(s < 0.0 for s in signs)) / len(pairs)
