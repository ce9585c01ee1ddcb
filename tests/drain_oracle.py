"""When a change of the list counts as told to a process, and how late its requests were. Pure.

It is given what happened, in ms of one clock, and knows nothing of the program: what discovery had when, when
it could not be reached, which watches were open in a process and when they fell silent, what was written to
which process, and where each attempt's first byte went. Only then is it asked.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

GRACE_MS = 250.0  # from "told" on, so long may a first byte still go there
LATEST_MS = 6000.0  # what discovery has, and could be asked for, counts as told then
START_MS = 1000.0  # a process is given so long before what came before it counts by time
MOVED_MS = 4000.0  # pushed lists: after SIGHUP the new agent counts so much later


@dataclass(frozen=True)
class Outage:
    """Discovery cannot be reached in [begin, end)."""

    begin: float
    end: float


@dataclass
class OpenWatch:
    """A watch that has told something, as long as the process keeps it open."""

    opened: float
    silent_at: float = math.inf
    closed_at: float = math.inf


@dataclass
class Process:
    """One life of the proxy."""

    start: float
    known: frozenset[str]  # whose going was in the list that it started with
    watches: list[OpenWatch] = field(default_factory=list)
    written: dict[str, float] = field(default_factory=dict)  # by backend: when its going was written here


@dataclass(frozen=True)
class Attempt:
    """The first byte of an attempt."""

    at: float
    process: int
    backend: str


@dataclass(frozen=True, order=True)
class LateAttempt:
    """How much later than allowed an attempt began; 0 or below is in time."""

    ms: float
    at: float
    notified_at: float
    backend: str

    def __str__(self) -> str:
        return f"{self.ms:.0f} ms late: {self.backend} at {self.at:.0f}, told at {self.notified_at:.0f}"


class DrainOracle:
    """Takes down what happens; judges at the end."""

    def __init__(
        self, outages: tuple[Outage, ...], pushed: bool = False, starts_in_outages: bool = False
    ) -> None:
        """``starts_in_outages``: what a former life was told counts there as well.

        Else it does not where discovery goes down within 6 s of a start: the list that is known has to serve.
        """
        self._outages, self._pushed, self._starts_in_outages = outages, pushed, starts_in_outages
        self._gone: dict[str, float] = {}  # since when discovery has a backend's going
        self._moves: list[float] = []
        self._attempts: list[Attempt] = []
        self.processes: list[Process] = []

    def had(self, backend: str, at: float) -> None:
        """Discovery has from now on that this backend drains or is gone."""
        self._gone.setdefault(backend, at)

    def started(self, at: float, known: frozenset[str]) -> Process:
        """A new process; attempts belong to the latest."""
        self.processes.append(Process(at, known))
        return self.processes[-1]

    def moved(self, at: float) -> None:
        """SIGHUP: discovery is elsewhere from now on."""
        self._moves.append(at)

    def wrote(self, process: Process, backend: str, at: float) -> None:
        """The last byte of what tells this backend's going was written to a connection of the process."""
        process.written.setdefault(backend, at)

    def unread(self, process: Process, backend: str, at: float) -> None:
        """What was written then was never readable: a reset has discarded it."""
        if process.written.get(backend) == at:
            del process.written[backend]

    def attempt(self, at: float, backend: str) -> None:
        """The first byte of an attempt went out."""
        self._attempts.append(Attempt(at, len(self.processes) - 1, backend))

    def attempts_at(self) -> list[float]:
        """When attempts began."""
        return [attempt.at for attempt in self._attempts]

    def late_attempts(self) -> list[LateAttempt]:
        """Of each attempt at a backend after its going was told, the worst first."""
        found = []
        for attempt in self._attempts:
            if attempt.backend in self._gone:
                told = self.notified_at(self.processes[attempt.process], attempt.backend)
                late = attempt.at - told - GRACE_MS
                if late > -GRACE_MS:
                    found.append(LateAttempt(late, attempt.at, told, attempt.backend))
        return sorted(found, reverse=True)

    def notified_at(self, process: Process, backend: str) -> float:
        """The earliest time at which that backend's going counts as told to that process."""
        had = self._gone[backend]
        if backend in process.known:
            return process.start
        if self._pushed:
            by_time = self._pushed_at(process, had)
        else:
            by_time = min(after_outages(had, self._outages) + LATEST_MS, self._silent_told(process, had))
            if process.start > had:
                by_time = max(by_time, process.start + START_MS)
        former = self.processes[: self.processes.index(process)]
        soon = process.start + LATEST_MS
        away = any(outage.begin < soon and outage.end > process.start for outage in self._outages)
        counts = self._starts_in_outages or not away
        if counts and any(backend in life.written for life in former):
            by_time = min(by_time, process.start)  # it is the same proxy
        return min(by_time, process.written.get(backend, math.inf))

    def _pushed_at(self, process: Process, had: float) -> float:
        told = max(had, process.start)
        for move in self._moves:
            if move <= told < move + MOVED_MS and move >= process.start:
                told = move + MOVED_MS
        return told

    def _silent_told(self, process: Process, had: float) -> float:
        """By the watch that was open then, if it had fallen silent: so long after it did."""
        open_then = [watch for watch in process.watches if watch.opened <= had < watch.closed_at]
        if not open_then or open_then[-1].silent_at > had:
            return math.inf
        return max(had, after_outages(open_then[-1].silent_at, self._outages) + LATEST_MS)


def after_outages(at: float, outages: tuple[Outage, ...]) -> float:
    """``at``, or the end of the last outage that covers it or begins less than 6 s after it."""
    ends = [outage.end for outage in outages if outage.begin < at + LATEST_MS and outage.end > at]
    return max([at, *ends])
