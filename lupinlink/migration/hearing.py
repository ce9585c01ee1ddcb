"""Who was heard of late, as one observer knows it from records that change. Pure; time is handed in.

Silence is told by the observer's own clock from when it saw a report change, never by a time in a record.
Danger: an observer that has just begun, or was deaf for a while, or whose service was restored, finds reports
of any age. Until one changes it is not heard, and until enough have, nothing may be decided.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from lupinlink.migration.model import Report
from lupinlink.migration.sight import Seen


class Hearing:
    """Takes each read of all reports."""

    def __init__(self, fresh_ms: float) -> None:
        self._fresh_ms = fresh_ms
        self._since = self._asked = -math.inf
        self._revisions: dict[str, int] = {}
        self._heard: dict[str, float] = {}
        self._reports: dict[str, Report] = {}

    def forget(self) -> None:
        """Begin anew: what was heard so far counts no more."""
        self._asked = -math.inf

    def take(self, reports: Mapping[str, tuple[int, Report]], asked_ms: float) -> None:
        """All reports with their revisions, as asked for at that time."""
        if asked_ms - self._asked > self._fresh_ms / 2.0:
            self._since = asked_ms
            self._heard.clear()
            self._revisions = {name: revision for name, (revision, _) in reports.items()}
        self._asked = asked_ms
        for name, (revision, _) in reports.items():
            if self._revisions.get(name) != revision:
                self._revisions[name] = revision
                self._heard[name] = asked_ms
        self._reports = {name: report for name, (_, report) in reports.items()}

    def members(self, now: float) -> dict[str, Seen]:
        """Every proxy that ever reported, with the age of its last word; infinite: not heard by us."""
        return {
            name: Seen(report, now - self._heard[name] if name in self._heard else math.inf)
            for name, report in self._reports.items()
        }

    def enough(self, names: Iterable[str], now: float) -> bool:
        """Whether who lives would have been heard by now: the time is over, or all of these were."""
        names = list(names)
        return now - self._since >= self._fresh_ms or bool(names and all(n in self._heard for n in names))
