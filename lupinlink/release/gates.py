"""Whether the new ones do as well as the old ones did over the same time. Pure; time is handed in.

Both sides are watched over one soak, so a busy hour or a fault that meets all alike is no verdict on the new
version. Shares are held against each other with an allowance for chance: two independent proportions differ
by more than ``CHANCE`` standard errors in about 2 of 100 soaks only (the two-proportion z-test, e.g. Fleiss,
Levin and Paik, "Statistical Methods for Rates and Proportions", 3rd edition 2003, section 3.1). A gate
that cannot be read is not passed.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass
from enum import Enum

from lupinlink.release.presence import Population, Seen
from lupinlink.release.records import Figures
from lupinlink.release.settings import GateSettings

CHANCE = 2.0  # standard errors
NAMED = 5  # so many members are named in a text


class Verdict(Enum):
    """Of one gate."""

    PASSED = "passed"
    FAILED = "failed"
    UNREAD = "unread"


@dataclass(frozen=True, slots=True)
class Judgment:
    """The verdict, and what it rests on."""

    verdict: Verdict
    why: str


@dataclass(slots=True)
class Side:
    """What one side did in the soak."""

    in_time: int = 0
    refused: int = 0
    failed: int = 0
    crashes: int = 0

    @property
    def ended(self) -> int:
        return self.in_time + self.refused + self.failed


def named(names: Iterable[str]) -> str:
    """A few of the names, and how many more."""
    ordered = sorted(names)
    more = f" and {len(ordered) - NAMED} more" if len(ordered) > NAMED else ""
    return ", ".join(ordered[:NAMED]) + more


def beyond_chance(new: int, new_of: int, old: int, old_of: int) -> float:
    """By how much the new share is over the old one, less what chance may do; both counts of their ``of``."""
    pooled = (new + old) / (new_of + old_of)
    error = math.sqrt(pooled * (1.0 - pooled) * (1.0 / new_of + 1.0 / old_of))
    return new / new_of - old / old_of - CHANCE * error


class Soak:
    """One soak: what both sides had done at its beginning, and since."""

    def __init__(self, new: Iterable[str], old: Iterable[str], population: Population, now: float) -> None:
        """``old``: may be empty where all are new; then only what needs no other side is judged."""
        self.since = now
        self._new, self._old = tuple(new), tuple(old)
        self._then = {name: population[name] for name in self._new + self._old if name in population}

    def _side(self, names: Iterable[str], population: Population) -> Side:
        side = Side()
        for name in names:
            then, one = self._then.get(name), population.get(name)
            if then is None or one is None:
                continue
            before = then.figures
            if one.nonce != then.nonce:
                before = Figures()  # it started anew, its figures with it
                side.crashes += max(1, one.life - then.life)
            side.in_time += max(0, one.figures.in_time - before.in_time)
            side.refused += max(0, one.figures.refused - before.refused)
            side.failed += max(0, one.figures.failed - before.failed)
        return side

    def judge(
        self, settings: GateSettings, population: Population, now: float, excused: Container[str] = ()
    ) -> Judgment:
        """What the soak says by now; UNREAD while it is too short or says too little. ``excused``: members
        that somebody else has a permit for, such as an operator's drain: they say nothing of a version.
        """
        judged = [name for name in self._new if name not in excused]
        new = self._side(judged, population)
        old = self._side((name for name in self._old if name not in excused), population)
        if new.crashes > settings.crashes_most:
            return Judgment(Verdict.FAILED, f"{new.crashes} of the new ended unasked in the soak")
        unready = [name for name in judged if not _serves(population.get(name))]
        waited = now - self.since
        if waited < settings.soak_ms:
            return Judgment(Verdict.UNREAD, f"watched for {settings.soak_ms / 1000.0:g} s beside the old")
        if unready:
            return Judgment(Verdict.FAILED, f"not ready after the soak: {named(unready)}")
        sides = [("new", new)] + ([("old", old)] if self._old else [])
        for word, side in sides:
            if side.ended < settings.least_samples:
                return Judgment(
                    Verdict.UNREAD,
                    f"the {word} ended {side.ended} requests, {settings.least_samples} are needed",
                )
        if self._old:
            late = beyond_chance(new.ended - new.in_time, new.ended, old.ended - old.in_time, old.ended)
            if late > settings.in_time_drop:
                return Judgment(
                    Verdict.FAILED,
                    f"served in time: new {new.in_time / new.ended:.1%}, old {old.in_time / old.ended:.1%}",
                )
            turned = beyond_chance(new.refused, new.ended, old.refused, old.ended)
            if turned > settings.refused_rise:
                return Judgment(
                    Verdict.FAILED,
                    f"refused: new {new.refused / new.ended:.1%}, old {old.refused / old.ended:.1%}",
                )
        return Judgment(Verdict.PASSED, f"{new.ended} requests of the new, {old.ended} of the old")


def _serves(one: Seen | None) -> bool:
    return one is not None and one.serving
