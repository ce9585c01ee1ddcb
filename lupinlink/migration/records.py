"""The listeners' records as one process keeps them: watched, read, written, put back after a restore."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence

import msgspec
from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.contract import ABSENT, Agreement, Put, Record, Step, View, Watch
from lupinlink.errors import LupinError
from lupinlink.migration.follower import Follower
from lupinlink.migration.model import LISTENERS, Listener, packed, read_listener

log = logging.getLogger(__name__)
PUT_BACK_MS = 2000.0  # over which the proxies that know better are spread: one write is wanted, not 200


class Records:
    """``changed`` is called after each news; ``follower`` decides what counts."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        draw: Callable[[], float],
        follower: Follower,
        prefix: str,
        changed: Callable[[], None],
    ) -> None:
        self._agreement, self._clock, self._draw = agreement, clock, draw
        self._follower, self._prefix, self._changed = follower, prefix + LISTENERS, changed
        self._watch: Watch | None = None
        self._call = 0
        self._putting = False
        self._broken: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._index = 0
        self.restored = 0  # how often the service's history went back
        self.heard_at: float | None = None
        self.silent = ""  # what the service's last failure was; empty: it answers

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """As obeyed here, by name."""
        return self._follower.listeners

    def start(self) -> None:
        self._watch = self._agreement.watch(self._prefix, self._seen, self._failed)

    def stop(self) -> None:
        if self._watch is not None:
            self._watch.stop()
        self._watch = None
        self._clock.drop(self._call)

    def missing(self) -> list[Listener]:
        """Listeners of the fleet file that have no record yet."""
        if self.heard_at is None:
            return []
        return [one for one in self.listeners.values() if one.name not in self._revisions and not one.epoch]

    def put(self, listener: Listener) -> Put:
        """The step that writes it over what was last seen there, and over nothing else."""
        revision = self._revisions.get(listener.name, ABSENT)
        return Put(self._prefix + listener.name, packed(listener), revision)

    async def commit(self, steps: Sequence[Step]) -> Mapping[str, Record]:
        """All or none; what was written counts here at once. Fails as ``Agreement.commit``."""
        written = await self._agreement.commit(steps)
        mine = {key: record for key, record in written.items() if key.startswith(self._prefix)}
        if mine and self._watch is not None:
            self._told(mine, whole=False)
            self._changed()
        return written

    async def read(self) -> None:
        """Ask for the newest. Fails as ``Agreement.read``."""
        self.take(await self._agreement.read(self._prefix))

    def _seen(self, view: View) -> None:
        """News of the watch, whose index goes back only when the service was restored."""
        if view.index < self._index:
            self.restored += 1
            kv = {"to": view.index, "was": self._index}
            log.warning("the agreement service went back", extra={"kv": kv})
        self._index = view.index
        self.take(view)

    def take(self, view: View) -> None:
        """A state of all listeners."""
        self.heard_at, self.silent = self._clock.now(), ""
        if self._told(view.records, whole=True) and not self._putting:
            self._putting = True
            wait_ms = self._draw() * PUT_BACK_MS
            self._call = self._clock.at(self._clock.now() + wait_ms, self._look_again)
        self._changed()

    def _told(self, records: Mapping[str, Record], whole: bool) -> list[Listener]:
        """Take records; gives ours that are newer. ``whole``: what is not among them is not there."""
        found = {} if whole else {one.name: one for one in self.listeners.values()}
        if whole:
            self._revisions.clear()
        for key, record in records.items():
            name = key.removeprefix(self._prefix)
            self._revisions[name] = record.revision
            try:
                found[name] = read_listener(record.value)
            except (msgspec.DecodeError, UnicodeDecodeError) as exc:
                # Danger: nobody may write over what a newer program wrote; as it was obeyed, it stays.
                if name not in self._broken:
                    log.error("a listener's record cannot be read", extra={"kv": {"key": key, "why": exc}})
                self._broken.add(name)
                if name in self.listeners:
                    found[name] = self.listeners[name]
        return self._follower.told(found, self._clock.now())

    def _failed(self, error: LupinError) -> None:
        self.silent = error.line()
        self._changed()

    def _look_again(self) -> None:
        Deferred.fromCoroutine(self._put_back()).addErrback(self._not_put)

    def _not_put(self, failure: Failure) -> None:
        self._putting = False
        if not isinstance(failure.value, LupinError):
            log.error("records could not be put back", exc_info=failure.value)

    async def _put_back(self) -> None:
        """Read once more, since a view may simply be late, and write what is still older there."""
        view = await self._agreement.read(self._prefix)
        if self._watch is None:
            return
        older = self._told(view.records, whole=True)
        for mine in older:
            record = view.records.get(self._prefix + mine.name)
            theirs = read_listener(record.value).epoch if record is not None else 0
            log.warning("put back", extra={"kv": {"listener": mine.name, "epoch": mine.epoch, "was": theirs}})
            await self.commit([self.put(replace(mine, epoch=max(mine.epoch, theirs) + 1))])
        self._putting = False
