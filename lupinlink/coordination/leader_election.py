"""Leader election: candidates compete to lock one record with their process's lease.

Every process watches the record. When the record is unlocked, each candidate waits a random time within
``spread_ms`` (preceded by the lock-delay if a lease ended) and tries only if the record is still unlocked, so
that of 200 candidates only a few try. Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014, describe such randomized time-outs. The winner writes a fence that is higher than
all it knows (``lupinlink.coordination.fence``).

After a restore of the service the stored fence may be lower than one that processes have already accepted. A
process that sees a leader with too low a fence writes the highest fence it knows to a second record; the
leader then continues under a higher fence.

A leader adds ``guard()`` to each commit, so that a leader that was suspended and replaced can write nothing
more. Its messages to other processes carry ``fence``; they reject any lower than the highest they have seen.
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
CAMPAIGN_SPREAD_MS = 2000.0  # the range of a candidate's random wait
LOCK_DELAY_MS = 1000.0  # the service's, unless the caller gives it
MAX_RETRY_MS = 5000.0  # longest wait after a failed attempt
REPORTED = "/met"  # key suffix of the record in which a process reports a fence above the leader's


class LeaderElection:
    """One process's candidate in the election for one record."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        process_lease: ProcessLease,
        key: str,
        name: str,
        draw: Callable[[], float],
        on_elected: Callable[[int], None],
        on_lost: Callable[[LupinError], None],
        highest_fence: HighestFence | None = None,
        spread_ms: float = CAMPAIGN_SPREAD_MS,
        lock_delay_ms: float = LOCK_DELAY_MS,
    ) -> None:
        """``name``: this process's, stored in the record as ``holder``.

        ``on_elected(fence)`` is called when this process becomes leader, and again when it continues under a
        higher fence; ``on_lost`` when it is leader no longer. ``highest_fence`` may be shared with the code
        that follows the leader in this process.
        """
        self._agreement, self._clock, self._process_lease, self._draw = agreement, clock, process_lease, draw
        self._key, self._name, self._on_elected, self._on_lost = key, name, on_elected, on_lost
        self._highest_fence = highest_fence or HighestFence()
        self._spread_ms, self._lock_delay_ms = spread_ms, lock_delay_ms
        self._backoff = Backoff(max(lock_delay_ms, 500.0), MAX_RETRY_MS, draw)
        self._record: Record | None = None  # as last read
        self._reported: Record | None = None  # the highest fence that another process has reported
        self._loaded = False  # whether the record has been read at all
        self._lease: Lease | None = None  # the lease under which this process leads
        self._elected_ms = 0.0  # when the response to the latest winning commit arrived
        self._committing = False  # a commit is in flight
        self._scheduled = False
        self._call = 0
        self._watch: Watch | None = None
        self.fence = 0  # of the current leadership of this process, or its last one

    @property
    def is_leader(self) -> bool:
        """Whether this process leads by its local clock; only a commit with ``guard()`` is proof."""
        return self._lease is not None and self._lease.holds()

    @property
    def holder(self) -> str:
        """The leader's name when the record was last read; empty if there was none."""
        return _fence_record(self._record).holder if self._record is not None and self._record.lease else ""

    def guard(self) -> tuple[Step, ...]:
        """The steps that each commit of the leader must include. Raises LeaseLostError if not the leader."""
        if self._lease is None or not self._lease.holds():
            raise LeaseLostError(f"{self._name} does not lead {self._key}")
        return (CheckHolder(self._key, self._lease.name),)

    def start(self) -> None:
        """Watch the record and campaign whenever it is unlocked."""
        self._process_lease.subscribe(lambda lease: self._evaluate(), self._step_down)
        self._watch = self._agreement.watch(self._key, self._on_view, lambda error: None)

    def stop(self) -> None:
        """Stop campaigning; a leader unlocks the record, so others need not wait until its lease ends."""
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
        """Note a fence that another process has seen; a leader under a lower one moves to a higher one."""
        self._highest_fence.admits(fence)
        self._evaluate()

    def _on_view(self, view: View) -> None:
        record = view.records.get(self._key)
        if self._lease is not None and view.asked_ms < self._elected_ms:
            own = self._record
            if record is None or own is None or record.revision < own.revision:
                return  # queried before the election, so older than this process's own write
        self._record, self._loaded, self._reported = record, True, view.records.get(self._key + REPORTED)
        self._evaluate()

    def _evaluate(self) -> None:
        if self._watch is None or not self._loaded or self._committing:
            return
        record, lease = self._record, self._process_lease.lease
        fence_record, reported = _fence_record(record), _fence_record(self._reported)
        self._highest_fence.admits(max(fence_record.fence, reported.fence))
        held_here = record is not None and lease is not None and record.lease == lease.name
        if self._lease is not None and not held_here:
            self._step_down(LeaseLostError(f"{self._key} is held by another or by nobody"))
        if held_here:
            self._act_as_holder(fence_record.fence, record, lease)
        elif lease is not None and (record is None or not record.lease):
            self._schedule(self._lock_delay_ms if record is not None and fence_record.holder else 0.0)
        elif (
            fence_record.fence < self._highest_fence.highest and reported.fence < self._highest_fence.highest
        ):
            self._schedule(0.0)
        else:
            self._unschedule()

    def _act_as_holder(self, fence: int, record: Record | None, lease: Lease | None) -> None:
        assert record is not None and lease is not None
        self._unschedule()
        if fence < self._highest_fence.highest or (self._lease is None and fence <= self.fence):
            # After a restore: others would reject the lower fence, and that of an ended term is not reused.
            fence_record = FenceRecord(self._highest_fence.next(fence), self._name)
            self._commit(
                [
                    CheckHolder(self._key, lease.name),
                    Put(self._key, encode_fence(fence_record), record.revision),
                ]
            )
        elif self._lease is not lease or fence != self.fence:
            self._lease, self.fence = lease, fence
            log.info("leads", extra={"kv": {"key": self._key, "fence": fence}})
            self._on_elected(fence)

    def _schedule(self, first_ms: float) -> None:
        if not self._scheduled:
            self._scheduled = True
            wait_ms = first_ms + self._draw() * self._spread_ms
            self._call = self._clock.at(self._clock.now() + wait_ms, self._campaign)

    def _unschedule(self) -> None:
        self._clock.drop(self._call)
        self._scheduled = False

    def _campaign(self) -> None:
        self._scheduled = False
        lease, record = self._process_lease.lease, self._record
        if record is not None and record.lease and (lease is None or record.lease != lease.name):
            self._report_fence()
            return
        if lease is None:
            return
        fence_record = FenceRecord(self._highest_fence.next(_fence_record(record).fence), self._name)
        # Without the revision check two candidates could write the same fence, one after the other.
        revision = record.revision if record is not None else ABSENT
        self._commit(
            [CheckRevision(self._key, revision), Lock(self._key, encode_fence(fence_record), lease.name)]
        )

    def _report_fence(self) -> None:
        value = encode_fence(FenceRecord(self._highest_fence.highest, self._name))
        revision = self._reported.revision if self._reported is not None else ABSENT
        self._commit([Put(self._key + REPORTED, value, revision)])

    def _commit(self, steps: list[Step]) -> None:
        self._committing = True
        done = self._agreement.commit(steps)
        done.addCallbacks(self._on_written, self._on_refused, callbackArgs=(self._record,))

    def _on_written(self, records: dict[str, Record], before: Record | None) -> None:
        self._committing = False
        self._backoff.reset()
        if self._watch is None:
            return
        now = records.get(self._key)
        if now is None:
            return  # a reported fence; the watch delivers the leader's reaction
        self._elected_ms = self._clock.now()
        if self._record is None or self._record is before or self._record.revision < now.revision:
            self._record = now  # otherwise the watch has already delivered a newer record
        self._evaluate()

    def _on_refused(self, failure: Failure) -> None:
        self._committing = False
        if self._watch is None:
            return
        if isinstance(failure.value, ConflictError | UncertainError):
            self._agreement.read(self._key).addCallbacks(self._on_view, self._on_refused)
        elif isinstance(failure.value, LupinError):
            self._schedule(self._backoff.next_ms())
        else:
            log.error("the campaign failed", exc_info=failure.value)

    def _step_down(self, error: LupinError) -> None:
        self._unschedule()
        if self._lease is not None:
            self._lease = None
            log.warning("leads no more", extra={"kv": {"key": self._key, "why": error.line()}})
            self._on_lost(error)


def _fence_record(record: Record | None) -> FenceRecord:
    return decode_fence(record.value) if record is not None else FenceRecord()
