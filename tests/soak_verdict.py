"""What a soak keeps of each process, and what it has shown."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from tests.drain_discovery import DiscoveryFrontend
from tests.drain_fleet import Member


@dataclass
class Life:
    """One process of a proxy, and what its discovery has written to it."""

    member: Member
    frontend: DiscoveryFrontend
    termed_at: float = 0.0
    silences: list[float] = field(default_factory=list)


@dataclass
class Verdict:
    """What a soak has shown."""

    seed: int
    answers: Counter[int] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)  # answered with what was made for another request
    late: list[str] = field(default_factory=list)
    overdue: list[str] = field(default_factory=list)  # answered later than the pages allow, or never
    cut: list[str] = field(default_factory=list)  # a sound answer did not come whole
    twice: list[str] = field(default_factory=list)  # ran twice, where that may not be
    memory: list[str] = field(default_factory=list)  # over its limit
    strangers: Counter[str] = field(default_factory=Counter)
    survived: list[str] = field(default_factory=list)  # still there at the kill
    events: list[str] = field(default_factory=list)

    @property
    def sound(self) -> bool:
        return not any(self.faults.values()) and self.answers[200] > 0

    @property
    def faults(self) -> dict[str, list[str]]:
        """What must not happen, by kind."""
        return {
            "lost": self.lost,
            "wrong": self.wrong,
            "late": self.late,
            "overdue": self.overdue,
            "cut": self.cut,
            "twice": self.twice,
            "memory": self.memory,
            "survived": self.survived,
        }

    def __str__(self) -> str:
        faults = " ".join(f"{kind}={found[:3]}" for kind, found in self.faults.items())
        strangers = dict(sorted(self.strangers.items()))
        return (
            f"seed={self.seed} sound={self.sound} answers={dict(self.answers)} {faults} "
            f"strangers={strangers} events={', '.join(self.events)}"
        )
