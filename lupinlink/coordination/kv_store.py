"""An in-memory model of Consul's KV store and sessions, after Consul's documentation.

Performs no I/O; the caller passes the current time (ms, one monotonic clock). The guarantees are Consul's: a
lease ends between one and ``late`` times (2 at most) its time to live after the last renewal; records that an
ended lease held are unlocked but kept, and cannot be locked during the lock-delay; a record's ``lock_count``
starts again after it was deleted; a write that changes nothing keeps the revision.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from lupinlink.coordination.commit_validation import validate_commit
from lupinlink.coordination.contract import (
    ABSENT,
    CheckHolder,
    CheckRevision,
    Delete,
    Lock,
    Put,
    Record,
    Step,
    Unlock,
)
from lupinlink.coordination.errors import ConflictError, LeaseLostError


@dataclass(frozen=True, slots=True)
class LeaseState:
    """The state of one lease."""

    ttl_ms: float
    ends_ms: float


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A saved state, for ``KvStore.restore``."""

    index: int
    records: dict[str, Record] = field(default_factory=dict)
    leases: dict[str, LeaseState] = field(default_factory=dict)


class KvStore:
    """Records and leases. The times passed in must not decrease."""

    def __init__(self, lock_delay_ms: float = 1000.0, late: float = 1.0) -> None:
        """``late``: in [1, 2]; without renewal a lease ends after this many times its time to live."""
        self.index = 1
        self.records: dict[str, Record] = {}
        self.leases: dict[str, LeaseState] = {}
        self._lock_delay_ms, self._late = lock_delay_ms, late
        self._lock_delays: dict[str, float] = {}  # by key: until when the record cannot be locked
        self._deleted: dict[str, int] = {}  # by key: the revision at which the record was deleted
        self._lease_count = 0

    def open(self, ttl_ms: float, now: float) -> str:
        """Create a lease and return its name, which is never used again, not even after a restore."""
        self._lease_count += 1
        name = f"lease-{self._lease_count}"
        self.leases[name] = LeaseState(ttl_ms, now + ttl_ms * self._late)
        return name

    def renew(self, name: str, now: float) -> float:
        """Renew a lease; returns its time to live. Raises LeaseLostError if there is no such lease."""
        self.expire(now)
        state = self.leases.get(name)
        if state is None:
            raise LeaseLostError(f"no lease {name}")
        self.leases[name] = replace(state, ends_ms=now + state.ttl_ms * self._late)
        return state.ttl_ms

    def end(self, name: str, now: float) -> None:
        """End a lease; the lock-delay applies whether it was released or has expired."""
        if self.leases.pop(name, None) is None:
            return
        held = [record for record in self.records.values() if record.lease == name]
        if held:
            self.index += 1
        for record in held:
            self.records[record.key] = replace(record, lease="", revision=self.index)
            self._lock_delays[record.key] = now + self._lock_delay_ms

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time."""
        for name in [name for name, state in self.leases.items() if state.ends_ms <= now]:
            self.end(name, now)

    def next_end(self) -> float | None:
        """When the next lease ends unless it is renewed."""
        return min((state.ends_ms for state in self.leases.values()), default=None)

    def read(self, prefix: str, now: float) -> tuple[dict[str, Record], int]:
        """Return the records below a prefix by key, and the index of their latest change."""
        self.expire(now)
        found = {key: record for key, record in self.records.items() if key.startswith(prefix)}
        deleted = [revision for key, revision in self._deleted.items() if key.startswith(prefix)]
        return found, max([record.revision for record in found.values()] + deleted, default=1)

    def commit(self, steps: Sequence[Step], now: float) -> dict[str, Record]:
        """Apply the steps atomically and in order. Raises ConflictError, InvalidRequestError."""
        validate_commit(steps)
        self.expire(now)
        changed: dict[str, Record | None] = {}
        written: dict[str, Record] = {}
        for step in steps:
            before = changed[step.key] if step.key in changed else self.records.get(step.key)
            after = self._step(step, before, now)
            if after != before:
                changed[step.key] = after
            if after is None:
                written.pop(step.key, None)
            elif isinstance(step, Put | Lock | Unlock):
                written[step.key] = after
        if changed:
            self.index += 1
        for key, record in changed.items():
            if record is None:
                self.records.pop(key, None)
                self._deleted[key] = self.index
            else:
                self._deleted.pop(key, None)
                self.records[key] = record
        return written

    def _step(self, step: Step, before: Record | None, now: float) -> Record | None:
        revision = before.revision if before else ABSENT
        holder = before.lease if before else ""
        match step:
            case CheckRevision(key, wanted):
                self._require(revision == wanted, f"{key} is at revision {revision}, not {wanted}")
                return before
            case CheckHolder(key, lease):
                self._require(holder == lease != "", f"{key} is not held by {lease}")
                return before
            case Delete(key, wanted):
                self._require(
                    wanted is None or revision == wanted, f"{key} is at revision {revision}, not {wanted}"
                )
                return None
            case Put(key, value, wanted):
                self._require(
                    wanted is None or revision == wanted, f"{key} is at revision {revision}, not {wanted}"
                )
                return self._written(key, value, before, holder)
            case Lock(key, value, lease):
                self._require(lease in self.leases, f"there is no lease {lease}")
                self._require(holder in ("", lease), f"{key} is held by another")
                self._require(holder == lease or self._lock_delays.get(key, now) <= now, f"{key}: lock-delay")
                return self._written(key, value, before, lease)
            case Unlock(key, value, lease):
                self._require(holder == lease != "", f"{key} is not held by {lease}")
                return self._written(key, value, before, "")

    def _written(self, key: str, value: bytes, before: Record | None, lease: str) -> Record:
        if before is None:
            return Record(key, value, self.index + 1, lease, 1 if lease else 0)
        if before.value == value and before.lease == lease:
            return before  # nothing changes, so the revision stays
        taken = before.lock_count + (lease not in ("", before.lease))
        return Record(key, value, self.index + 1, lease, taken)

    @staticmethod
    def _require(holds: bool, what: str) -> None:
        if not holds:
            raise ConflictError(what)

    def save(self) -> StoreSnapshot:
        """Save the current state."""
        return StoreSnapshot(self.index, dict(self.records), dict(self.leases))

    def restore(self, saved: StoreSnapshot, now: float) -> None:
        """Restore records, leases (as if just renewed) and the index, which then counts on from there."""
        self.index, self.records = saved.index, dict(saved.records)
        self.leases = {
            name: replace(state, ends_ms=now + state.ttl_ms * self._late)
            for name, state in saved.leases.items()
        }
        self._deleted.clear()
        self._lock_delays.clear()
