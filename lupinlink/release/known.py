"""The state of the release as one process knows it: the records below ``release/`` at one moment. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lupinlink.coordination.contract import ABSENT, Record, View
from lupinlink.release.presence import Population
from lupinlink.release.records import (
    HALT,
    MEMBERS,
    ORDER,
    PERMITS,
    PLAN,
    WANTED,
    Halt,
    Order,
    Permits,
    Plan,
    Report,
    Wanted,
    decoded,
)


@dataclass(slots=True)
class Known:
    """What stands in the records; each read is a copy of its own, to be changed and written back."""

    permits: Permits = field(default_factory=Permits)
    plan: Plan | None = None
    order: Order | None = None
    halt: Halt = field(default_factory=Halt)
    wanted: Wanted = field(default_factory=Wanted)
    revisions: Mapping[str, int] = field(default_factory=dict)  # by key without the fleet's prefix
    index: int = 0

    def revision(self, key: str) -> int:
        """Where that record stands; ``ABSENT``: it is not there."""
        return self.revisions.get(key, ABSENT)


def known(view: View, prefix: str) -> Known:
    """Read a view of ``prefix`` + ``release/``. Fails: RecordError."""
    found: dict[str, Record] = {key.removeprefix(prefix): record for key, record in view.records.items()}
    told = Known(revisions={key: record.revision for key, record in found.items()}, index=view.index)
    if PERMITS in found:
        told.permits = decoded(Permits, PERMITS, found[PERMITS].value)
    if PLAN in found:
        told.plan = decoded(Plan, PLAN, found[PLAN].value)
    if ORDER in found:
        told.order = decoded(Order, ORDER, found[ORDER].value)
    if HALT in found:
        told.halt = decoded(Halt, HALT, found[HALT].value)
    if WANTED in found:
        told.wanted = decoded(Wanted, WANTED, found[WANTED].value)
    return told


def members(view: View, prefix: str) -> dict[str, tuple[int, Report]]:
    """Read a view of ``prefix`` + ``members/``: by name, revision and report. Fails: RecordError."""
    start = prefix + MEMBERS
    return {
        key.removeprefix(start): (record.revision, decoded(Report, key, record.value))
        for key, record in view.records.items()
    }


@dataclass(frozen=True, slots=True)
class Facts:
    """What is seen of the fleet at one moment."""

    now: float
    proxies: Population
    servers: Population
    proxies_need: float
    servers_need: float
    quiet: frozenset[str]  # servers to which no proxy sends
    turn: int  # which permits everybody obeys
    turn_most: int  # the highest turn that anybody has seen
    settled: bool  # who died unseen would have been missed
    settles_in: float  # milliseconds
    deaf_ms: float  # for so long nothing was heard of the service before this
    revisions: Mapping[str, int]  # of the members' reports
    wanted: Mapping[str, str] = field(default_factory=dict)  # servers that operators want out
