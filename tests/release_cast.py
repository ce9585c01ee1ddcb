"""Who lives in the release's small world: its settings, its processes and those that may lead."""

from __future__ import annotations

from dataclasses import dataclass

from lupinlink.coordination.contract import View
from lupinlink.release.course import Course, Decision
from lupinlink.release.known import Known
from lupinlink.release.presence import Presence
from lupinlink.release.records import Figures, Report
from lupinlink.release.settings import BoundSettings, GateSettings, ReleaseSettings

SETTINGS = ReleaseSettings(
    proxies=BoundSettings(share=0.34, zone_share=0.5),
    gates=GateSettings(soak_ms=4000.0, soak_most_ms=60_000.0, least_samples=1),
    back_ms=60_000.0,
    permit_ms=20_000.0,
    lost_most=2,
)  # fmt: skip
LEAD = "release/lead"
SEEN_AFTER_MS = SETTINGS.silent_ms + 6000.0  # a death is known to a lead that looks by then


@dataclass
class Process:
    """One proxy: the name stays, the process changes."""

    name: str
    zone: str
    version: str = "1"
    life: int = 1
    alive: bool = True
    frozen: bool = False
    broken: bool = False  # the new version does not become ready
    drained: bool = False
    ask: str = ""
    begun: int = 0
    acts: str = ""
    starts: str = ""  # what to start in its place
    beat: int = 0
    revision: int = 0  # of its report
    served: int = 0
    seen: tuple[Known, int] | None = None  # a look at the permits that it has not acted on yet

    @property
    def nonce(self) -> str:
        return f"{self.name}-{self.life}"

    @property
    def ready(self) -> bool:
        return self.alive and not (self.broken and self.version == "2")

    @property
    def serves(self) -> bool:
        return self.ready and not self.frozen and not self.drained

    def report(self) -> Report:
        self.beat += 1
        return Report(
            self.name, self.zone, self.version, self.life, self.nonce, self.beat, ready=self.ready,
            serving=self.ready and not self.drained, ask=self.ask, begun=self.begun, acts=self.acts,
            figures=Figures(self.served, self.served), use=0.1,
        )  # fmt: skip


@dataclass
class Leader:
    """A process that may lead: what it remembers, and a decision that it has not committed yet."""

    name: str
    presence: Presence
    lease: str
    fence: int = 0
    course: Course | None = None
    before: View | None = None
    pending: tuple[Decision, Known] | None = None
