"""What a person at night reads at the door. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lupinlink.migration.asked import next_words
from lupinlink.migration.model import ENDED, Listener, State
from lupinlink.migration.progress import Progress, Row
from lupinlink.migration.settings import MigrationSettings

HEAD = ("proxy", "pool", "stands", "live", "open", "MB to go", "oldest s", "leave/s", "heard", "stuck")
RIGHT = (False, False, False, True, True, True, True, True, True, False)


@dataclass(frozen=True, slots=True)
class Told:
    """The lead's word of one migration, and how old it is here; infinite: not known here yet."""

    progress: Progress
    age_ms: float


def seconds(ms: float) -> str:
    """A time for people."""
    whole = round(ms / 1000.0)
    if whole < 100:
        return f"{ms / 1000.0:.0f} s"
    return (
        f"{whole // 60} min {whole % 60:02d} s"
        if whole < 6000
        else f"{whole // 3600} h {whole % 3600 // 60} min"
    )


def _row(row: Row, age_ms: float) -> tuple[str, ...]:
    heard = "never" if row.age_ms is None else f"{seconds(row.age_ms + age_ms)} ago"
    if not row.live and not row.requests:
        figures = ("0", "0", "", "", "")
    else:
        figures = (
            str(row.live), str(row.requests),
            f"{row.bytes_to_go / 1e6:.1f}" if row.bytes_to_go else "",
            f"{row.oldest_ms / 1000.0:.1f}" if row.oldest_ms else "",
            f"{row.leaving_s:g}" if row.leaving_s else "",
        )  # fmt: skip
    return (row.name, row.pool, row.role.value, *figures, heard, row.stuck)


def _grid(rows: Iterable[tuple[str, ...]]) -> list[str]:
    rows = [HEAD, *rows]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEAD))]
    return [
        "  " + "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, RIGHT, strict=True)
        ).rstrip()
        for row in rows
    ]  # fmt: skip


def _end(progress: Progress) -> str:
    if progress.end_ms is None:
        return ""
    if progress.bound:
        return f"end: not to be told from who leaves; at latest in {seconds(progress.end_ms)}"
    return f"end: in {seconds(progress.end_ms)}, give or take {seconds(progress.error_ms)}"


def _progress(told: Told, state: State) -> list[str]:
    progress = told.progress
    died = f", {progress.died} died with their proxy (not counted)" if progress.died else ""
    ended = f", {progress.ended} ended by the rules" if progress.ended else ""
    share = f"{progress.moved} of {progress.total - progress.died} connections ({progress.done:.0%})"
    lines = [f"moved {share}, {progress.left} left{ended}{died}"]
    if state not in ENDED:
        if progress.waits:
            lines.insert(0, f"waits for: {progress.waits}")
        lines += [end] if (end := _end(progress)) else []
    lines.append(f"this is the word of the lead, {progress.lead}, {seconds(told.age_ms)} old")
    return ["  " + line for line in lines] + _grid(_row(row, told.age_ms) for row in progress.rows)


def listener_lines(listener: Listener, told: Told | None, settings: MigrationSettings) -> list[str]:
    """One listener."""
    known = settings.listener(listener.name)
    least = f", at least {known.least} serve" if known is not None else ""
    lines = [f"{listener.name}: at {listener.owner}, epoch {listener.epoch}{least}"]
    migration = listener.migration
    if migration is None:
        return [*lines, "  it has not migrated; next: start"]
    why = f": {migration.why}" if migration.why else ""
    way = f"{migration.source} to {migration.target}"
    lines.append(f"  migration {migration.number}, {way}: {migration.state.value}{why}")
    lines.append(f"  next: {' or '.join(next_words(listener))}")
    if migration.without:
        lines.append(f"  off by an operator's word: {', '.join(migration.without)}")
    if told is not None and told.progress.epoch <= listener.epoch:
        lines += _progress(told, migration.state)
    elif listener.open is not None:
        lines.append("  how far it is: asked for now, call again in a second")
    return lines


def page(
    listeners: Mapping[str, Listener],
    told: Mapping[str, Told],
    settings: MigrationSettings,
    service: str,
    orders: Iterable[str],
) -> str:
    """The whole answer. ``service``: why it is not heard, or empty; ``orders``: those given here."""
    lines = [f"the agreement service is silent, this is as last known: {service}"] if service else []
    for name in sorted(listeners):
        lines += [*listener_lines(listeners[name], told.get(name), settings), ""]
    if not listeners:
        lines += ["no listener is named in the fleet file", ""]
    if given := list(orders):
        lines += ["orders given at this door:", *(f"  {order}" for order in given), ""]
    return "\n".join(lines[:-1]) + "\n"
