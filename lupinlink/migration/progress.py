"""How far a migration is, as the lead sums it up from every proxy's word. Pure.

What a proxy held when it was told to go is moved when it is there no more **by that process's own word**. A
process that died has taken its figures with it: they are counted as died with it and never as moved; of a
silent one only what its last word said has moved.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum

from msgspec import Struct, json

from lupinlink.migration import estimate
from lupinlink.migration.estimate import Estimate
from lupinlink.migration.model import ENDED, Report, State
from lupinlink.migration.settings import MigrationSettings
from lupinlink.migration.sight import Sight


class Role(StrEnum):
    """Where one proxy stands in a migration."""

    SERVES = "serves"
    TO_SERVE = "to serve"  # told, not yet heard to
    STANDBY = "standby"
    TO_STOP = "to stop"
    DRAINS = "drains"
    EMPTY = "empty"
    SILENT = "silent"
    DIED = "died"  # another process has its name now, or an operator called it off


class Row(Struct, frozen=True, array_like=True):
    """One proxy."""

    name: str
    pool: str
    role: Role
    age_ms: float | None  # of its last word; None: it has not been heard
    live: int = 0
    requests: int = 0
    bytes_to_go: int = 0
    oldest_ms: float = 0.0
    leaving_s: float = 0.0
    stuck: str = ""  # why it does not get on; empty: it does


class Progress(Struct, frozen=True, kw_only=True):
    """The lead's word; connections are of clients."""

    epoch: int
    lead: str
    beat: int = 0
    waits: str = ""  # what is waited for
    total: int = 0  # connections that are to go
    moved: int = 0  # of these, gone by their proxy's word
    ended: int = 0  # of these, ended by the rules
    died: int = 0  # of these, gone with a process; they count as neither moved nor left
    left: int = 0
    end_ms: float | None = None  # from this word on; None: nothing is to come
    error_ms: float = 0.0
    bound: bool = False  # only the bound of long bodies tells the end
    rows: tuple[Row, ...] = ()

    @property
    def done(self) -> float:
        """The share of what is to go that has moved, 0 to 1."""
        count = self.total - self.died
        return self.moved / count if count > 0 else 0.0


read_progress: Callable[[bytes], Progress] = json.Decoder(Progress).decode


def stuck(report: Report, settings: MigrationSettings) -> str:
    """Why a proxy that was told to go still holds somebody; empty: it does not, or it gets on."""
    figures, reasons = report.figures, []
    if figures.idle and report.role_ms >= settings.idle_ms:
        reasons.append(f"{figures.idle} idle but kept")
    if figures.oldest_ms >= settings.silent_ms and not report.bytes_s and not report.leaving_s:
        silent = figures.unread or figures.requests or figures.live - figures.idle
        if silent > 0:
            reasons.append(f"{silent} with a silent peer")
    elif figures.bytes_to_go or figures.untold:
        told = (
            f"{figures.bytes_to_go / 1e6:.1f} MB"
            if figures.bytes_to_go
            else f"{figures.untold} of unknown length"
        )
        reasons.append(f"long body, {told} to go")
    return ", ".join(reasons)


def _role(sight: Sight, name: str, told: bool) -> Role:
    if sight.fresh(name) is None:
        return Role.DIED if name in sight.migration.without else Role.SILENT
    if sight.order(name).serves:
        return Role.SERVES if sight.serves(name) else Role.TO_SERVE
    if not told:
        return Role.STANDBY
    if not sight.stopped(name):
        return Role.TO_STOP
    began = sight.migration.began.get(name)
    if began is not None and began.run and began.run != sight.members[name].report.run:
        return Role.DIED
    return Role.EMPTY if sight.empty(name) else Role.DRAINS


def _rows(sight: Sight) -> list[Row]:
    migration, rows = sight.migration, []
    for pool, names in ((migration.source, migration.sources), (migration.target, migration.targets)):
        for name in names:
            seen, told = sight.members.get(name), bool(sight.order(name).epoch)
            role = _role(sight, name, told)
            if seen is None:
                rows.append(Row(name, pool, role, None))
                continue
            figures = seen.report.figures
            rows.append(
                Row(
                    name,
                    pool,
                    role,
                    seen.age_ms if seen.age_ms < 1e12 else None,
                    figures.live,
                    figures.requests,
                    figures.bytes_to_go,
                    figures.oldest_ms,
                    seen.report.leaving_s,
                    stuck(seen.report, sight.settings) if role is Role.DRAINS else "",
                )  # fmt: skip
            )
    return rows


def summed(
    sight: Sight, lead: str, waits: str, soak_ms: float, steps_ms: Sequence[float] = (), beat: int = 0
) -> Progress:
    """All of it. ``soak_ms``: of each step's gate; ``steps_ms``: how long the steps so far have taken."""
    migration = sight.migration
    back = migration.state in (State.RETURNING, State.RETURNED)
    going = migration.targets if back else migration.sources
    total = moved = ended = died = left = 0
    for name in going:
        seen, began = sight.members.get(name), migration.began.get(name)
        live = seen.report.figures.live if seen is not None else 0
        if began is None:
            # Not told to go yet: all it holds is still to move.
            stays = live if sight.order(name).serves else 0
            total, left = total + stays, left + stays
            continue
        total += max(began.live, live)
        off = name in migration.without and sight.fresh(name) is None
        if off or seen is None or seen.report.run != began.run:
            died += began.live
            left += live
            continue
        left += live
        ended += seen.report.ended
        moved += max(0, began.live - live - seen.report.ended)
    end = (
        _end(sight, going, soak_ms, steps_ms)
        if migration.state not in (State.PLANNED, State.HALTED, *ENDED)
        else None
    )
    return Progress(
        epoch=sight.listener.epoch, lead=lead, beat=beat, waits=waits,
        total=total, moved=moved, ended=ended, died=died, left=left,
        end_ms=end.end_ms if end is not None else None,
        error_ms=end.error_ms if end is not None else 0.0,
        bound=end is not None and not end.known,
        rows=tuple(_rows(sight)),
    )  # fmt: skip


def _end(sight: Sight, going: Sequence[str], soak_ms: float, steps_ms: Sequence[float]) -> Estimate:
    migration, settings = sight.migration, sight.settings
    forward = migration.state is not State.RETURNING
    coming = sight.there(migration.targets if forward else migration.sources)
    inside = sum(sight.order(name).serves for name in coming)
    to_come = estimate.steps_left(len(coming), inside, migration.step, settings.first_step, settings.growth)
    expected = 2.0 * (settings.report_ms + settings.look_ms) + (soak_ms if forward else 0.0)
    reports = [
        seen.report
        for name in going
        if (seen := sight.members.get(name)) is not None and not sight.order(name).serves
    ]
    drain = estimate.tail(reports, settings.long_ms)
    return estimate.together(estimate.steps(to_come, steps_ms, expected), drain)
