"""The lead's side over an ``Agreement``: reads what gateways ask, and writes answers under its guard."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from urllib.parse import quote

import msgspec
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.contract import MAX_STEPS, Agreement, Delete, Put, Record, Step, View
from lupinlink.coordination.errors import LeaseLostError
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.errors import LupinError
from lupinlink.quota.sharing.allocator import Allocator
from lupinlink.quota.sharing.book import Key
from lupinlink.quota.sharing.errors import GarbledError
from lupinlink.quota.sharing.gateway import Gateway
from lupinlink.quota.sharing.messages import ASKS, DEALT, Dealt, pack, read_ask
from lupinlink.quota.sharing.settling import Settling
from lupinlink.quota.sharing.terms import Terms

log = logging.getLogger(__name__)
ROUND_MS = 1000.0  # between two rounds
SOON_MS = 300.0  # while somebody waits for what others were asked to give up
MOST_BYTES = 300 * 1024  # of values in one commit: as text they must fit into one of Consul's transactions


def record_of(key: Key) -> str:
    """The last part of a gateway's records' names."""
    return f"{quote(key[0], safe='')}/{key[1]}"


class Leading:
    """From when this process leads until it does not."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        lead: LeaderElection,
        allocator: Allocator,
        terms: Terms,
        gateway: Gateway,
        settling: Settling,
        draw: Callable[[], float],
    ) -> None:
        """``gateway``: this process's own, which asks and is answered without the service."""
        self._agreement, self._clock, self._lead, self._terms = agreement, clock, lead, terms
        self.allocator, self._gateway, self._settling, self._draw = allocator, gateway, settling, draw
        self._revisions: dict[str, int] = {}  # of asks as they were read
        self._keys: dict[str, Key] = {}
        self._stopped = False
        self._call = clock.at(clock.now(), self._look)

    def stop(self) -> None:
        """Deal no more."""
        self._stopped = True
        self._clock.drop(self._call)

    def _look(self) -> None:
        self._agreement.read(ASKS).addCallbacks(self._seen, self._failed).addErrback(_broken)

    def _again(self, wait_ms: float) -> None:
        if not self._stopped:
            self._call = self._clock.at(self._clock.now() + wait_ms, self._look)

    def _failed(self, failure: Failure) -> None:
        failure.trap(LupinError)  # type: ignore[no-untyped-call]
        self._again(ROUND_MS * (1.0 + self._draw()))

    def _seen(self, view: View) -> None:
        if self._stopped:
            return
        now = self._clock.now()
        for record in view.records.values():
            self._take(record, now)
        for gone in self._keys.keys() - view.records.keys():
            del self._revisions[gone]
            self.allocator.book.forget(self._keys.pop(gone))
        steps: list[Step] = []
        if self._gateway.due(now):
            ask = self._gateway.ask(now, self._draw())
            self.allocator.book.hear(ask, now)
            steps.append(Put(ASKS + record_of((ask.name, ask.born)), pack(ask), None))
        own: Dealt | None = None
        shapes = {name: one.purse.shape for name, one in self._gateway.versions.items()}
        for holder, dealt in self.allocator.round(now, shapes):
            if holder.key == (self._gateway.name, self._gateway.born):
                own = dealt
            else:
                steps.append(Put(DEALT + record_of(holder.key), pack(dealt), None))
        for key in self.allocator.gone:
            steps += [Delete(ASKS + record_of(key), None), Delete(DEALT + record_of(key), None)]
        self._write(steps, own)
        if changes := self._settling.steps(self.allocator, now):
            self._write(changes, None)
        alone = len(self.allocator.book) <= 1
        self._again(SOON_MS if self.allocator.waiting else self._terms.ask_ms * 0.9 if alone else ROUND_MS)

    def _take(self, record: Record, now: float) -> None:
        if self._revisions.get(record.key) == record.revision:
            return
        self._revisions[record.key] = record.revision
        try:
            ask = read_ask(record.value)
        except msgspec.DecodeError as exc:
            log.error("an ask", extra={"kv": {"why": GarbledError(f"{record.key}: {exc}").line()}})
            return
        self._keys[record.key] = (ask.name, ask.born)
        if (ask.name, ask.born) != (self._gateway.name, self._gateway.born):
            self.allocator.book.hear(ask, now)
            if ask.fence > self.allocator.fence:
                self._lead.observe_fence(ask.fence)

    def _write(self, steps: Sequence[Step], own: Dealt | None) -> None:
        try:
            guard = self._lead.guard()
        except LeaseLostError:
            return  # what was dealt counts until its time is over; nobody has it
        for i, part in enumerate(_parts(steps, MAX_STEPS - len(guard))):
            done = self._agreement.commit([*guard, *part])
            if i == 0 and own is not None:
                done.addCallback(self._own, own)
            done.addErrback(_unwritten).addErrback(_broken)

    def _own(self, written: object, own: Dealt) -> None:
        if not self._stopped:
            self._gateway.hear(own, self._clock.now())


def _parts(steps: Sequence[Step], most: int) -> list[list[Step]]:
    """Commits of so many steps and bytes at most; one empty one where there is nothing: the guard alone."""
    found: list[list[Step]] = [[]]
    size = 0
    for step in steps:
        bytes_ = len(step.value) if isinstance(step, Put) else 0
        if len(found[-1]) == most or (found[-1] and size + bytes_ > MOST_BYTES):
            found.append([])
            size = 0
        found[-1].append(step)
        size += bytes_
    return found


def _unwritten(failure: Failure) -> None:
    # Nobody was answered, or only perhaps: the book counts it either way, and the next round deals anew.
    failure.trap(LupinError)  # type: ignore[no-untyped-call]
    log.info("answers were not written", extra={"kv": {"why": str(failure.value)}})


def _broken(failure: Failure) -> None:
    log.error("dealing failed", exc_info=failure.value)
