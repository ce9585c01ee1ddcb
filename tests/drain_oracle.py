"""The rule ``drain``: when a process counts as notified of a change, and which requests were late.

The oracle knows nothing of the program. It records, in ms of one clock, what discovery had when, when it was
unreachable, which watches of a process were open or silent, what was written to which process, and where the
first byte of each attempt went. It judges afterwards. Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

GRACE_MS = 250.0  # from the notification on, in which a first byte may still be sent to the backend
LATEST_MS = 6000.0  # every change that a reachable discovery has counts as notified after this time
START_MS = 1000.0  # time that a new process has before earlier changes count
MOVED_MS = 4000.0  # pushed lists: time from SIGHUP until the changes of the new agent count


@dataclass(frozen=True)
class Outage:
    """Discovery is unreachable in [begin, end)."""

    begin: float
    end: float


@dataclass
class OpenWatch:
    """A watch that has delivered something, until the process closes it."""

    opened: float
    silent_at: float = math.inf
    closed_at: float = math.inf


@dataclass
class Process:
    """One process of the proxy, from start to end."""

    start: float
    known: frozenset[str]  # backends whose departure was in the list that it started with
    watches: list[OpenWatch] = field(default_factory=list)
    written: dict[str, float] = field(default_factory=dict)  # departures, by backend


@dataclass(frozen=True)
class Attempt:
    """The first byte of an attempt."""

    at: float
    process: int
    backend: str


@dataclass(frozen=True, order=True)
class LateAttempt:
    """By how much an attempt was later than allowed; 0 or less is in time."""

    ms: float
    at: float
    notified_at: float
    backend: str

    def __str__(self) -> str:
        return f"{self.ms:.0f} ms late: {self.backend} at {self.at:.0f}, notified at {self.notified_at:.0f}"


class DrainOracle:
    """Records events, and judges attempts at the end."""

    def __init__(
        self, outages: tuple[Outage, ...], pushed: bool = False, starts_in_outages: bool = False
    ) -> None:
        """``starts_in_outages``: what the previous process was notified of counts in an outage as well.

        Otherwise it does not count if discovery is down within 6 s of the start, because then the process can
        use nothing but the list that it started with.
        """
        self._outages, self._pushed, self._starts_in_outages = outages, pushed, starts_in_outages
        self._gone: dict[str, float] = {}  # since when discovery has the departure of a backend
        self._moves: list[float] = []
        self._attempts: list[Attempt] = []
        self.processes: list[Process] = []

    def had(self, backend: str, at: float) -> None:
        """From now on discovery lists this backend as draining or gone."""
        self._gone.setdefault(backend, at)

    def started(self, at: float, known: frozenset[str]) -> Process:
        """Start a new process, to which later attempts belong."""
        self.processes.append(Process(at, known))
        return self.processes[-1]

    def moved(self, at: float) -> None:
        """SIGHUP: discovery has another address from now on."""
        self._moves.append(at)

    def wrote(self, process: Process, backend: str, at: float) -> None:
        """The last byte of an update with this departure was written to a connection of the process."""
        process.written.setdefault(backend, at)

    def unread(self, process: Process, backend: str, at: float) -> None:
        """What was written at that time was discarded by a reset before it could be read."""
        if process.written.get(backend) == at:
            del process.written[backend]

    def attempt(self, at: float, backend: str) -> None:
        """The first byte of an attempt was sent."""
        self._attempts.append(Attempt(at, len(self.processes) - 1, backend))

    def attempts_at(self) -> list[float]:
        """Return when attempts began."""
        return [attempt.at for attempt in self._attempts]

    def late_attempts(self) -> list[LateAttempt]:
        """Return the attempts at backends whose departure counted as notified, the worst first."""
        found = []
        for attempt in self._attempts:
            if attempt.backend in self._gone:
                notified_at = self.notified_at(self.processes[attempt.process], attempt.backend)
                late = attempt.at - notified_at - GRACE_MS
                if late > -GRACE_MS:
                    found.append(LateAttempt(late, attempt.at, notified_at, attempt.backend))
        return sorted(found, reverse=True)

    def notified_at(self, process: Process, backend: str) -> float:
        """Return from when the departure of the backend counts as notified to the process."""
        had = self._gone[backend]
        if backend in process.known:
            return process.start
        if self._pushed:
            by_time = self._pushed_at(process, had)
        else:
            by_time = min(after_outages(had, self._outages) + LATEST_MS, self._by_silence(process, had))
            if process.start > had:
                by_time = max(by_time, process.start + START_MS)
        previous = self.processes[: self.processes.index(process)]
        soon = process.start + LATEST_MS
        away = any(outage.begin < soon and outage.end > process.start for outage in self._outages)
        counts = self._starts_in_outages or not away
        if counts and any(backend in one.written for one in previous):
            by_time = min(by_time, process.start)  # the same proxy
        return min(by_time, process.written.get(backend, math.inf))

    def _pushed_at(self, process: Process, had: float) -> float:
        notified_at = max(had, process.start)
        for move in self._moves:
            if move <= notified_at < move + MOVED_MS and move >= process.start:
                notified_at = move + MOVED_MS
        return notified_at

    def _by_silence(self, process: Process, had: float) -> float:
        """Return when the change counts if the watch was silent as it came: 6 s after it fell silent."""
        open_then = [watch for watch in process.watches if watch.opened <= had < watch.closed_at]
        if not open_then or open_then[-1].silent_at > had:
            return math.inf
        return max(had, after_outages(open_then[-1].silent_at, self._outages) + LATEST_MS)


def after_outages(at: float, outages: tuple[Outage, ...]) -> float:
    """Return ``at``, or the end of the last outage that covers it or begins less than 6 s after it."""
    ends = [outage.end for outage in outages if outage.begin < at + LATEST_MS and outage.end > at]
    return max([at, *ends])
