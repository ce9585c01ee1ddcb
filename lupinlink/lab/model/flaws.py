"""What is wrong with a scenario, and that it cannot be played."""

from __future__ import annotations

from msgspec import Struct

from lupinlink.errors import LupinError


class Flaw(Struct, frozen=True):
    """One thing that is wrong with a scenario."""

    key: str  # as written in the file: load.rate
    why: str

    def __str__(self) -> str:
        return f"{self.key}: {self.why}" if self.key else self.why


class ScenarioError(LupinError, ValueError):
    """A scenario that cannot be played; every flaw that was found."""

    code = "LL650"
    about = "a scenario of the laboratory cannot be played"
    remedy = "mend each key that is named; lupinlink lab check reads the file without playing it"

    def __init__(self, flaws: list[Flaw]) -> None:
        super().__init__("; ".join(map(str, flaws)))
        self.flaws = flaws
