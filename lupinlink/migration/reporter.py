"""One proxy's part: obeys what it is told at once, and reports what it holds, spread in time."""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import Agreement, Delete, Put, Record
from lupinlink.errors import LupinError
from lupinlink.migration.follower import Follower
from lupinlink.migration.host import Host
from lupinlink.migration.model import REPORTS, packed
from lupinlink.migration.settings import MigrationSettings

log = logging.getLogger(__name__)
SAMPLE_MS = 500.0  # how often it looks at what it holds while a migration has to do with it
SOON_MS = 1000.0  # between two reports at least
SPREAD = 0.2  # of an interval, drawn
MOST_AGAIN_MS = 10000.0


class Reporter:
    """Started and stopped by the agent; ``obey`` may be called at any time."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        draw: Callable[[], float],
        follower: Follower,
        settings: MigrationSettings,
        prefix: str,
    ) -> None:
        self._agreement, self._clock, self._draw = agreement, clock, draw
        self._follower, self._settings = follower, settings
        self._host: Host | None = None
        self._key = prefix + REPORTS + follower.name
        self._backoff = Backoff(SOON_MS, MOST_AGAIN_MS, draw)
        self._call = 0
        self._asking = False
        self._role: bool | None = None
        self._memory = b""
        self._revision: int | None = None
        self._sent = -SOON_MS
        self._due = 0.0
        self._told: tuple[bool, int] = (False, 0)  # role and order as last reported

    def start(self, host: Host) -> None:
        self._host = host
        now = self._clock.now()
        self._due = now + self._draw() * SOON_MS  # a fleet that starts together does not report together
        self.obey()
        self._call = self._clock.at(now + SAMPLE_MS * (1.0 + self._draw()), self._tick)

    def stop(self) -> None:
        """Report no more; a process that ends on purpose is not waited for later."""
        self._host = None
        self._clock.drop(self._call)
        if self._revision is not None:
            self._agreement.commit([Delete(self._key, self._revision)]).addErrback(lambda failure: None)

    def obey(self) -> None:
        """Serve or stop, as the highest epoch seen has it."""
        host = self._host
        if host is None:
            return
        now = self._clock.now()
        serves = self._follower.serves(now)
        if serves is not self._role:
            self._role = serves
            if self._follower.pool:
                log.info("listener", extra={"kv": {"serves": serves, "epochs": self._epochs()}})
                host.in_service() if serves else host.drain()
        memory = self._follower.memory(now)
        if memory and memory != self._memory:
            self._memory = memory
            host.remember(memory)
        if self._told != (serves, self._follower.ordered()):
            self._due = min(self._due, max(now, self._sent + SOON_MS) + self._draw() * SPREAD * SOON_MS)

    def _epochs(self) -> str:
        return ",".join(f"{name}:{one.epoch}" for name, one in sorted(self._follower.listeners.items()))

    def _tick(self) -> None:
        now, host = self._clock.now(), self._host
        if host is None:
            return
        self._call = self._clock.at(now + SAMPLE_MS, self._tick)
        self.obey()  # what waits for the clock: a start that knows nothing yet
        migrates = self._follower.migrates()
        if migrates:
            self._due = min(self._due, self._sent + self._settings.report_ms * (1.0 + SPREAD))
        due = now >= self._due and not self._asking
        if (migrates or due) and self._follower.look(host.figures(), now):
            ended = host.end_last()
            self._follower.ended(ended)
            log.warning("ended the last by the rules", extra={"kv": {"connections": ended}})
        if due and self._follower.pool:
            self._send(host.ready, now)

    def _send(self, ready: bool, now: float) -> None:
        every = self._settings.report_ms if self._follower.migrates() else self._settings.rest_ms
        self._asking, self._sent = True, now
        self._due = now + every * (1.0 - SPREAD * self._draw())
        report = self._follower.report(ready, now)
        self._told = report.serves, self._follower.ordered()
        self._agreement.commit([Put(self._key, packed(report), None)]).addCallbacks(self._done, self._failed)

    def _done(self, written: dict[str, Record]) -> None:
        self._asking = False
        self._backoff.reset()
        self._revision = written[self._key].revision if self._key in written else None

    def _failed(self, failure: Failure) -> None:
        self._asking = False
        self._revision = None
        self._told = (not self._told[0], -1)  # nobody has read it
        self._due = self._clock.now() + self._backoff.next_ms()
        if not isinstance(failure.value, LupinError):
            log.error("a report failed", exc_info=failure.value)
