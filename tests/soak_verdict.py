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
    survived: list[str] = field(default_factory=list)  # still there at the kill
    events: list[str] = field(default_factory=list)

    @property
    def sound(self) -> bool:
        return not (self.lost or self.wrong or self.late or self.survived) and self.answers[200] > 0

    def __str__(self) -> str:
        return (
            f"seed={self.seed} sound={self.sound} answers={dict(self.answers)} lost={self.lost[:3]} "
            f"wrong={self.wrong[:3]} "
            f"late={self.late[:3]} survived={self.survived} events={', '.join(self.events)}"
        )
