"""What a lead remembers of one migration between two looks: since when, and how long steps took. Pure.

A new lead knows none of it. It counts anew, so that every wait may be longer than told and none is shorter.
"""

from __future__ import annotations

from lupinlink.migration.gate import StepGate
from lupinlink.migration.model import Listener
from lupinlink.migration.progress import Progress, summed
from lupinlink.migration.sight import Sight
from lupinlink.release.settings import GateSettings


class Track:
    """Of one listener."""

    def __init__(self, settings: GateSettings) -> None:
        self.gate = StepGate(settings)
        self._settings = settings
        self._stands: tuple[int, float] | None = None  # the epoch, and when it was first seen
        self._trouble: float | None = None
        self._step: tuple[int, int, float] | None = None  # the migration, its step and when that began
        self._steps_ms: list[float] = []
        self._beat = 0
        self._told_at = float("-inf")

    def seen(self, listener: Listener, now: float) -> None:
        """The record as it stands."""
        if self._stands is None or self._stands[0] != listener.epoch:
            self._stands = listener.epoch, now
        migration = listener.migration
        assert migration is not None
        if self._step is None or self._step[0] != migration.number or migration.step < self._step[1]:
            self._step, self._steps_ms = (migration.number, migration.step, now), []
        elif migration.step > self._step[1]:
            self._steps_ms.append(now - self._step[2])
            self._step = migration.number, migration.step, now

    def stood_ms(self, now: float) -> float:
        """How long it stands so."""
        return now - self._stands[1] if self._stands is not None else 0.0

    def trouble_ms(self, trouble: bool, now: float) -> float:
        """How long there has been trouble without a pause."""
        if not trouble:
            self._trouble = None
            return 0.0
        self._trouble = now if self._trouble is None else self._trouble
        return now - self._trouble

    def told(self, sight: Sight, lead: str, waits: str, now: float) -> Progress:
        """The lead's word for the operators."""
        self._beat += 1
        return summed(sight, lead, waits, self._settings.soak_ms, self._steps_ms, self._beat)

    def due(self, told: Progress, now: float, every_ms: float, changed: bool) -> bool:
        """Whether that word is to be written down for the other processes' doors."""
        if changed or now - self._told_at >= every_ms:
            self._told_at = now
            return True
        return False
