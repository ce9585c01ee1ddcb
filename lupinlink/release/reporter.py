"""Writes this process's report: at intervals, at once when something turned, and when a permit is begun.

The record is changed by compare-and-set only. Of two processes of one name the one of the higher ``life``
has it; the other stands aside for good: an older process that stood still and goes on can neither hide its
successor nor begin on a permit that was not given to it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from twisted.internet.defer import DeferredLock

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import ABSENT, Agreement, CheckRevision, Put, Record, Step
from lupinlink.coordination.errors import ConflictError, UncertainError
from lupinlink.errors import LupinError
from lupinlink.release.errors import RecordError, SameNameError
from lupinlink.release.hearing import Hearing
from lupinlink.release.records import Report, decoded, encoded
from lupinlink.release.spawn import spawn

log = logging.getLogger(__name__)
SPREAD = 0.2  # of the interval either way: reports of a fleet drift apart
LOOK_MS = 1000.0  # how often what may turn is looked at
AGAIN_MS, MOST_AGAIN_MS = 500.0, 5000.0


@dataclass(slots=True)
class Standing:
    """What is known of the record of this name."""

    revision: int = ABSENT
    mine: Report | None = None  # as it stands there, if it is this process's


class Reporter:
    """The agent of one record."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        key: str,
        nonce: str,
        make: Callable[[], Report],
        every_ms: float,
        draw: Callable[[], float],
        hearing: Hearing,
    ) -> None:
        """``key``: of the record. ``make``: the report as of now, without ``life`` and ``beat``.
        ``hearing``: told of each answer and of each failure.
        """
        self._agreement, self._clock, self._make, self._draw = agreement, clock, make, draw
        self._key, self._nonce = key, nonce
        self._every_ms, self._hearing = every_ms, hearing
        self._backoff = Backoff(AGAIN_MS, MOST_AGAIN_MS, draw)
        self._lock = DeferredLock()
        self._stopped = False
        self._standing = Standing()
        self._life = self._beat = 0
        self._next_ms = 0.0
        self._told: tuple[bool, ...] = ()
        self._call = 0
        self.aside = False  # a later process has the name

    @property
    def life(self) -> int:
        """This process's number among those of its name; 0: not known yet."""
        return self._life

    def start(self) -> None:
        """Report from the first moment on in which this process can serve."""
        self._tick()

    def stop(self) -> None:
        self._stopped = True
        self._clock.drop(self._call)

    def _turned(self, report: Report) -> tuple[bool, ...]:
        return report.ready, report.serving, report.standby, bool(report.ask), bool(report.begun)

    def _tick(self) -> None:
        if self._stopped or self.aside:
            return
        report, now = self._make(), self._clock.now()
        # Danger: a successor that reported before it can serve would take the name from one that does.
        known = self._life > 0 or report.ready
        due = now >= self._next_ms or self._turned(report) != self._told
        if known and due and not self._lock.locked:
            spawn(self._write(), "report")
        self._call = self._clock.at(now + LOOK_MS * (1.0 - SPREAD * self._draw()), self._tick)

    def touch(self) -> None:
        """Report at once; if a write is out, when that is done."""
        if self._life and not self.aside and not self._stopped:
            spawn(self._write(), "report")

    async def _write(self) -> None:
        try:
            await self.write()
        except (ConflictError, UncertainError):
            self._next_ms = self._clock.now()  # the record was read anew: at the next look
        except LupinError:
            self._hearing.failed()
            self._next_ms = self._clock.now() + self._backoff.next_ms()
        else:
            self._backoff.reset()

    async def write(self, guards: Sequence[CheckRevision] = ()) -> Report | None:
        """Write the report with these guards in one commit; what stands there now, None: another process's.

        Fails: as ``Agreement.commit``. After UncertainError or ConflictError ``standing`` was read anew.
        """
        await self._lock.acquire()
        try:
            return await self._commit(guards)
        finally:
            self._lock.release()

    async def _commit(self, guards: Sequence[CheckRevision]) -> Report | None:
        if not self._life:
            await self._read()
        if self.aside or self._stopped:
            return None
        report = self._make()
        report.life, report.beat = self._life, self._beat + 1
        now = self._clock.now()
        self._next_ms = now + self._every_ms * (1.0 + SPREAD * (2.0 * self._draw() - 1.0))
        steps: list[Step] = [*guards, Put(self._key, encoded(report), self._standing.revision)]
        try:
            written = await self._agreement.commit(steps)
        except (ConflictError, UncertainError):
            await self._read()
            raise
        self._hearing.heard(self._clock.now())
        self._beat, self._told = report.beat, self._turned(report)
        self._standing = Standing(written[self._key].revision, report)
        return report

    @property
    def standing(self) -> Report | None:
        """This process's report as it was last known to stand in the service."""
        return self._standing.mine

    async def _read(self) -> None:
        view = await self._agreement.read(self._key)
        self._hearing.heard(self._clock.now())
        record: Record | None = view.records.get(self._key)
        other: Report | None = None
        if record is not None:
            try:
                other = decoded(Report, self._key, record.value)
            except RecordError as exc:
                log.warning("report not readable", extra={"kv": {"why": exc.line()}})
        nonce = self._nonce
        self._standing = Standing(
            record.revision if record is not None else ABSENT,
            other if other is not None and other.nonce == nonce else None,
        )
        if other is None or other.nonce == nonce:
            self._life = max(self._life, 1)
        elif not self._life:
            self._life = other.life + 1
        elif (other.life, other.nonce) > (self._life, nonce):
            self.aside = True
            error = SameNameError(f"{self._key} is written by its process number {other.life}")
            log.warning("stands aside", extra={"kv": {"why": error.line()}})
