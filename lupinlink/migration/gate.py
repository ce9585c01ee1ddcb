"""The release's gate, read after each step of a shift: the target's proxies against the source's. Pure."""

from __future__ import annotations

from collections.abc import Container

from lupinlink.migration.model import State
from lupinlink.migration.sight import UNREAD, Sight
from lupinlink.release.gates import Judgment, Soak, Verdict
from lupinlink.release.presence import Population
from lupinlink.release.settings import GateSettings


class StepGate:
    """Of one listener. Remembers the soak of the step that is judged; a new lead begins that soak anew."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._key: tuple[int, int, int] | None = None  # the migration, its step, its last order
        self._soak: Soak | None = None
        self._passed = False

    def look(
        self, sight: Sight, population: Population, now: float, excused: Container[str] = ()
    ) -> Judgment:
        """The verdict by now. ``excused``: who is out by a permit says nothing of the target."""
        migration = sight.migration
        if migration.state is not State.SHIFTING:
            self._soak, self._key = None, None
            return UNREAD
        last = max((order.epoch for order in migration.orders.values()), default=0)
        key = migration.number, migration.step, last
        if key != self._key:
            self._key, self._soak, self._passed = key, None, False
        if self._passed:
            return Judgment(Verdict.PASSED, "read before")
        counted = sight.counted()
        new = [name for name in counted if name in migration.targets]
        if self._soak is None:
            if not new:
                return Judgment(Verdict.UNREAD, "nobody of the target serves yet")
            old = [name for name in counted if name in migration.sources]
            self._soak = Soak(new, old, population, now)
        judgment = self._soak.judge(self._settings, population, now, excused)
        self._passed = judgment.verdict is Verdict.PASSED
        if judgment.verdict is Verdict.UNREAD and now - self._soak.since > self._settings.soak_most_ms:
            # A gate that cannot be read is not passed.
            judgment = Judgment(Verdict.FAILED, f"it cannot be read: {judgment.why}")
        if judgment.verdict is Verdict.FAILED:
            self._soak = None  # whoever goes on watches anew
        return judgment
