"""Who leads: a campaign for one record by the process's lease, and the fence under which the lead acts.

Every process watches the record. When it is free each waits a drawn time within ``spread_ms`` (after a lease
that ended, the lock-delay first) and tries only if it is still free then: of 200 candidates a few try
(Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014, on drawn
time-outs). Taking it writes a fence over all that are known (``lupinlink.coordination.fence``).

After a restore the stored fence may lie under one that others obeyed. Whoever sees a lead under a lower fence
than it has met writes that one beside the record, and the lead goes on under a higher one.

What a lead writes goes with ``guard()`` in the same commit: then a lead that stood still and was replaced can
write nothing more. What it tells others goes with ``fence``: they obey none under the highest they have met.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import (
    ABSENT,
    Agreement,
    CheckHolder,
    CheckRevision,
    Lease,
    Lock,
    Put,
    Record,
    Step,
    Unlock,
    View,
    Watch,
)
from lupinlink.coordination.errors import ConflictError, LeaseLostError, UncertainError
from lupinlink.coordination.fence import FenceRecord, HighestFence, decode_fence, encode_fence
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.errors import LupinError

log = logging.getLogger(__name__)
SPREAD_MS = 2000.0  # over which campaigns are drawn
LOCK_DELAY_MS = 1000.0  # of the service, if the caller knows no better
MOST_AGAIN_MS = 5000.0  # between two tries that failed
MET = "/met"  # after the key: where the highest fence stands that somebody met and the lead does not have


class LeaderElection:
    """The agent of one process for one record."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        process_lease: ProcessLease,
        key: str,
        name: str,
        draw: Callable[[], float],
        became: Callable[[int], None],
        lost: Callable[[LupinError], None],
        seen: HighestFence | None = None,
        spread_ms: float = SPREAD_MS,
        lock_delay_ms: float = LOCK_DELAY_MS,
    ) -> None:
        """``name``: this process's, shown as ``holder``.

        ``became(fence)`` is told when it leads, and again when it leads on under a higher fence; ``lost``
        when it leads no more. ``seen``: shared with what obeys the lead in this process.
        """
        self._agreement, self._clock, self._process_lease, self._draw = agreement, clock, process_lease, draw
        self._key, self._name, self._became, self._lost = key, name, became, lost
        self._seen = seen or HighestFence()
        self._spread_ms, self._lock_delay_ms = spread_ms, lock_delay_ms
        self._backoff = Backoff(max(lock_delay_ms, 500.0), MOST_AGAIN_MS, draw)
        self._record: Record | None = None  # as last seen
        self._met: Record | None = None  # what somebody complained of
        self._known = False  # whether it was seen at all
        self._lease: Lease | None = None  # under which it leads
        self._taken_ms = 0.0  # when the answer came to what made it lead
        self._asking = False  # a commit is out
        self._planned = False
        self._call = 0
        self._watch: Watch | None = None
        self.fence = 0  # of its own lead, the last one

    @property
    def is_leader(self) -> bool:
        """Whether it may believe that it leads. Danger: only a commit with ``guard()`` knows."""
        return self._lease is not None and self._lease.holds()

    @property
    def holder(self) -> str:
        """Who led when the record was last seen; empty: nobody."""
        return _mark(self._record).holder if self._record is not None and self._record.lease else ""

    def guard(self) -> tuple[Step, ...]:
        """What each commit under this lead must hold. Raises LeaseLostError when it does not lead."""
        if self._lease is None or not self._lease.holds():
            raise LeaseLostError(f"{self._name} does not lead {self._key}")
        return (CheckHolder(self._key, self._lease.name),)

    def start(self) -> None:
        """Watch, and campaign whenever the record is free."""
        self._process_lease.listen(lambda lease: self._look(), self._dismiss)
        self._watch = self._agreement.watch(self._key, self._view, lambda error: None)

    def stop(self) -> None:
        """Campaign no more; a lead is let go at once, so that another need not wait for the lease to end."""
        if self._watch is not None:
            self._watch.stop()
        self._watch = None
        self._clock.drop(self._call)
        if self.is_leader:
            assert self._lease is not None
            steps = [Unlock(self._key, encode_fence(FenceRecord(self.fence)), self._lease.name)]
            self._agreement.commit(steps).addErrback(lambda failure: None)
        self._lease = None

    def observe_fence(self, fence: int) -> None:
        """Somebody has met this fence; a lead under a lower one takes a higher, or none would obey it."""
        self._seen.admits(fence)
        self._look()

    def _view(self, view: View) -> None:
        record = view.records.get(self._key)
        if self._lease is not None and view.asked_ms < self._taken_ms:
            own = self._record
            if record is None or own is None or record.revision < own.revision:
                return  # asked before it led: older than what it wrote itself
        self._record, self._known, self._met = record, True, view.records.get(self._key + MET)
        self._look()

    def _look(self) -> None:
        if self._watch is None or not self._known or self._asking:
            return
        record, lease = self._record, self._process_lease.lease
        mark, met = _mark(record), _mark(self._met)
        self._seen.admits(max(mark.fence, met.fence))
        mine = record is not None and lease is not None and record.lease == lease.name
        if self._lease is not None and not mine:
            self._dismiss(LeaseLostError(f"{self._key} is held by another or by nobody"))
        if mine:
            self._lead(mark.fence, record, lease)
        elif lease is not None and (record is None or not record.lease):
            self._plan(self._lock_delay_ms if record is not None and mark.holder else 0.0)
        elif mark.fence < self._seen.highest and met.fence < self._seen.highest:
            self._plan(0.0)
        else:
            self._unplan()

    def _lead(self, fence: int, record: Record | None, lease: Lease | None) -> None:
        assert record is not None and lease is not None
        self._unplan()
        if fence < self._seen.highest or (self._lease is None and fence <= self.fence):
            # A restore: under a lower fence none would obey, and its own last lead was told to be over.
            mark = FenceRecord(self._seen.next(fence), self._name)
            self._commit(
                [
                    CheckHolder(self._key, lease.name),
                    Put(self._key, encode_fence(mark), record.revision),
                ]
            )
        elif self._lease is not lease or fence != self.fence:
            self._lease, self.fence = lease, fence
            log.info("leads", extra={"kv": {"key": self._key, "fence": fence}})
            self._became(fence)

    def _plan(self, first_ms: float) -> None:
        if not self._planned:
            self._planned = True
            wait_ms = first_ms + self._draw() * self._spread_ms
            self._call = self._clock.at(self._clock.now() + wait_ms, self._campaign)

    def _unplan(self) -> None:
        self._clock.drop(self._call)
        self._planned = False

    def _campaign(self) -> None:
        self._planned = False
        lease, record = self._process_lease.lease, self._record
        if record is not None and record.lease and (lease is None or record.lease != lease.name):
            self._complain()
            return
        if lease is None:
            return
        mark = FenceRecord(self._seen.next(_mark(record).fence), self._name)
        # Danger: without the guard two candidates would write one and the same fence, one after the other.
        revision = record.revision if record is not None else ABSENT
        self._commit([CheckRevision(self._key, revision), Lock(self._key, encode_fence(mark), lease.name)])

    def _complain(self) -> None:
        value = encode_fence(FenceRecord(self._seen.highest, self._name))
        revision = self._met.revision if self._met is not None else ABSENT
        self._commit([Put(self._key + MET, value, revision)])

    def _commit(self, steps: list[Step]) -> None:
        self._asking = True
        done = self._agreement.commit(steps)
        done.addCallbacks(self._written, self._refused, callbackArgs=(self._record,))

    def _written(self, records: dict[str, Record], before: Record | None) -> None:
        self._asking = False
        self._backoff.reset()
        if self._watch is None:
            return
        now = records.get(self._key)
        if now is None:
            return  # it was a complaint; the watch tells what comes of it
        self._taken_ms = self._clock.now()
        if self._record is None or self._record is before or self._record.revision < now.revision:
            self._record = now  # else the watch has told of what came after
        self._look()

    def _refused(self, failure: Failure) -> None:
        self._asking = False
        if self._watch is None:
            return
        if isinstance(failure.value, ConflictError | UncertainError):
            self._agreement.read(self._key).addCallbacks(self._view, self._refused)
        elif isinstance(failure.value, LupinError):
            self._plan(self._backoff.next_ms())
        else:
            log.error("the campaign failed", exc_info=failure.value)

    def _dismiss(self, error: LupinError) -> None:
        self._unplan()
        if self._lease is not None:
            self._lease = None
            log.warning("leads no more", extra={"kv": {"key": self._key, "why": error.line()}})
            self._lost(error)


def _mark(record: Record | None) -> FenceRecord:
    return decode_fence(record.value) if record is not None else FenceRecord()
