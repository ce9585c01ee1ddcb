"""One proxy's side: which epoch it obeys, whether it serves, and what it reports. Pure; time is handed in.

A proxy obeys the highest epoch that it has seen of each listener and nothing older, so that of two orders the
later one holds wherever they meet. Cut off from the agreement service it goes on as it was last told: it is
the lead who waits for its word before anything rests on its having stopped.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from lupinlink.migration.model import Figures, Listener, Report, State
from lupinlink.migration.settings import MigrationSettings

RATE_MS = 10000.0  # over so long is a rate taken


class Memory(Struct, frozen=True):
    """What the next process of this name starts from."""

    seen: dict[str, int]
    serves: bool


@dataclass(slots=True)
class Fall:
    """How fast a count falls; rises are passed over."""

    _steps: deque[tuple[float, int]] = field(default_factory=deque)
    _last: int = 0
    _began: float | None = None

    def take(self, count: int, now: float) -> None:
        """The count as it is now."""
        if self._began is None:
            self._began = now
        elif count < self._last:
            self._steps.append((now, self._last - count))
        self._last = count

    def rate(self, now: float) -> float:
        """What fell a second, over the last ``RATE_MS``."""
        while self._steps and now - self._steps[0][0] > RATE_MS:
            self._steps.popleft()
        span = min(RATE_MS, now - self._began) if self._began is not None else 0.0
        return sum(step for _, step in self._steps) / max(span, 1000.0) * 1000.0


class Follower:
    """Takes the records as they come, and what the proxy holds."""

    def __init__(self, name: str, pool: str, run: str, settings: MigrationSettings, now: float) -> None:
        """``run``: drawn for this process."""
        self.name, self.pool, self.run = name, pool, run
        self._settings, self._began = settings, now
        self.listeners = {
            one.name: Listener(name=one.name, owner=one.home, epoch=0) for one in settings.listeners
        }
        self._known_at: float | None = None  # when the records were first read
        self._memory: Memory | None = None
        self._role: bool | None = None
        self._role_at = now
        self._live, self._bytes = Fall(), Fall()
        self._least: Figures | None = None  # since the last report, while it does not serve
        self._emptied = False
        self._ended = self._beat = 0

    def recall(self, memory: bytes, now: float) -> None:
        """The process starts now; what one before it remembered, or nothing."""
        self._began = now
        try:
            self._memory = msgspec.json.decode(memory, type=Memory) if memory else None
        except msgspec.DecodeError:
            self._memory = None  # of another program: as if there was none

    def told(self, records: Mapping[str, Listener], now: float) -> list[Listener]:
        """Take what the service holds; gives those records that this proxy knows to be older than the truth.

        After a restore to an older state what the fleet obeys stands in its processes alone: such a record is
        to be put back as known here, one epoch higher than both.
        """
        self._known_at = now if self._known_at is None else self._known_at
        older = []
        for name in {*records, *self.listeners}:
            mine, theirs = self.listeners.get(name), records.get(name)
            if mine is None or (theirs is not None and theirs.epoch >= mine.epoch):
                if theirs is not None:
                    self.listeners[name] = theirs
            elif mine.epoch > 0:
                older.append(mine)
        return older

    def serves(self, now: float) -> bool:
        """Whether it may serve clients, as far as migrations go."""
        if not self.pool:
            return True
        if self._memory is not None and not self._fresh(now):
            return self._memory.serves
        if self._known_at is None and now - self._began < self._settings.know_ms:
            return False  # a proxy on standby must not serve for the moment until it knows
        return any(listener.serves(self.name, self.pool) for listener in self.listeners.values())

    def _fresh(self, now: float) -> bool:
        """Whether the records are as new as what the process before this one obeyed.

        Of a restored service they are not, until somebody who knows better puts them back; if nobody does
        within ``fresh_ms``, they are all there is.
        """
        assert self._memory is not None
        if self._known_at is None:
            return False
        return now - self._known_at >= self._settings.fresh_ms or all(
            (one := self.listeners.get(name)) is not None and one.epoch >= epoch
            for name, epoch in self._memory.seen.items()
        )

    def look(self, figures: Figures, now: float) -> bool:
        """Take what the proxy holds now; gives whether the last who are still here are to be ended now."""
        serves = self.serves(now)
        if serves is not self._role:
            self._role, self._role_at = serves, now
            self._emptied, self._ended, self._least = False, 0, None
            self._live, self._bytes = Fall(), Fall()
        self._live.take(figures.live, now)
        self._bytes.take(figures.bytes_to_go, now)
        if serves:
            self._least = figures
            return False
        if self._least is None or figures.live <= self._least.live:
            # A front's own look at /up is a connection too, for a moment.
            self._least = figures
        self._emptied = self._emptied or not figures.live
        overdue = now - self._role_at >= self._settings.long_ms
        return overdue and not self._emptied and self._told_to_go()

    def _told_to_go(self) -> bool:
        """Whether an open migration drains it; one that is halted has nobody ended."""
        for listener in self.listeners.values():
            migration = listener.open
            order = migration.orders.get(self.name) if migration is not None else None
            if migration is not None and order is not None and order.epoch and not order.serves:
                return migration.state is not State.HALTED
        return False

    def ended(self, connections: int) -> None:
        """So many were ended by the rules."""
        self._ended += connections

    def ordered(self) -> int:
        """The epoch of the last order that this proxy was given in an open migration; 0: none."""
        orders = [one.open.orders.get(self.name) for one in self.listeners.values() if one.open is not None]
        return max((order.epoch for order in orders if order is not None), default=0)

    def standby(self, now: float) -> bool:
        """Whether no listener wants this proxy and it has been empty since."""
        return bool(self.pool) and self._emptied and not self.serves(now)

    def migrates(self) -> bool:
        """Whether an open migration has to do with this proxy's pool."""
        return any(one.open is not None and self.pool in one.pools() for one in self.listeners.values())

    def memory(self, now: float) -> bytes:
        """For the next process of this name; empty while nothing is known."""
        if self._known_at is None:
            return b""
        seen = {name: one.epoch for name, one in self.listeners.items() if one.epoch}
        return msgspec.json.encode(Memory(seen, self.serves(now)))

    def report(self, ready: bool, now: float) -> Report:
        """The next report; what was least since the last one is told, and forgotten."""
        self._beat += 1
        figures, self._least = self._least or Figures(), None
        return Report(
            name=self.name,
            pool=self.pool,
            run=self.run,
            beat=self._beat,
            seen={name: one.epoch for name, one in self.listeners.items() if one.epoch},
            serves=bool(self._role),
            ready=ready,
            role_ms=now - self._role_at,
            ended=self._ended,
            leaving_s=0.0 if self._role else round(self._live.rate(now), 3),
            bytes_s=0.0 if self._role else round(self._bytes.rate(now), 1),
            figures=figures,
        )
