"""The agreement service's own state, as the published pages of Consul's KV and sessions define it. Pure.

Time is handed in (ms, one monotonic clock). What it promises and what it does not is that of the pages: a
lease ends no sooner than its time after the last renewal and perhaps as late as ``late`` times that (2 at
most); records that an ended lease held are let go, kept, and cannot be taken for the lock-delay; a record's
``taken`` starts anew when it was deleted; a write that changes nothing leaves the revision alone.
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
    """A lease in the service."""

    ttl_ms: float
    ends_ms: float


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A state to go back to."""

    index: int
    records: dict[str, Record] = field(default_factory=dict)
    grants: dict[str, LeaseState] = field(default_factory=dict)


class KvStore:
    """Records and leases; each call may come at any time, times must not fall."""

    def __init__(self, lock_delay_ms: float = 1000.0, late: float = 1.0) -> None:
        """``late``: in [1, 2], how many times its time a lease lives without renewal."""
        self.index = 1
        self.records: dict[str, Record] = {}
        self.grants: dict[str, LeaseState] = {}
        self._lock_delay_ms, self._late = lock_delay_ms, late
        self._delayed: dict[str, float] = {}  # until when a record cannot be taken
        self._gone: dict[str, int] = {}  # the revision at which a record was deleted
        self._opened = 0

    def open(self, ttl_ms: float, now: float) -> str:
        """A new lease; its name is never used again, not even after a restore."""
        self._opened += 1
        name = f"lease-{self._opened}"
        self.grants[name] = LeaseState(ttl_ms, now + ttl_ms * self._late)
        return name

    def renew(self, name: str, now: float) -> float:
        """Renew a lease; gives its time. Raises LeaseLostError when there is none."""
        self.expire(now)
        grant = self.grants.get(name)
        if grant is None:
            raise LeaseLostError(f"no lease {name}")
        self.grants[name] = replace(grant, ends_ms=now + grant.ttl_ms * self._late)
        return grant.ttl_ms

    def end(self, name: str, now: float) -> None:
        """End a lease, wanted or not; the lock-delay holds in either case."""
        if self.grants.pop(name, None) is None:
            return
        held = [record for record in self.records.values() if record.lease == name]
        if held:
            self.index += 1
        for record in held:
            self.records[record.key] = replace(record, lease="", revision=self.index)
            self._delayed[record.key] = now + self._lock_delay_ms

    def expire(self, now: float) -> None:
        """End what was not renewed in time."""
        for name in [name for name, grant in self.grants.items() if grant.ends_ms <= now]:
            self.end(name, now)

    def next_end(self) -> float | None:
        """When the next lease ends without renewal."""
        return min((grant.ends_ms for grant in self.grants.values()), default=None)

    def read(self, prefix: str, now: float) -> tuple[dict[str, Record], int]:
        """The records below a prefix by key, and the index of their newest change."""
        self.expire(now)
        found = {key: record for key, record in self.records.items() if key.startswith(prefix)}
        gone = [revision for key, revision in self._gone.items() if key.startswith(prefix)]
        return found, max([record.revision for record in found.values()] + gone, default=1)

    def commit(self, steps: Sequence[Step], now: float) -> dict[str, Record]:
        """All steps or none, each seeing those before it. Raises ConflictError, InvalidRequestError."""
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
                self._gone[key] = self.index
            else:
                self._gone.pop(key, None)
                self.records[key] = record
        return written

    def _step(self, step: Step, before: Record | None, now: float) -> Record | None:
        revision = before.revision if before else ABSENT
        holder = before.lease if before else ""
        match step:
            case CheckRevision(key, wanted):
                self._need(revision == wanted, f"{key} stands at {revision}, not {wanted}")
                return before
            case CheckHolder(key, lease):
                self._need(holder == lease != "", f"{key} is not held by {lease}")
                return before
            case Delete(key, wanted):
                self._need(wanted is None or revision == wanted, f"{key} stands at {revision}, not {wanted}")
                return None
            case Put(key, value, wanted):
                self._need(wanted is None or revision == wanted, f"{key} stands at {revision}, not {wanted}")
                return self._written(key, value, before, holder)
            case Lock(key, value, lease):
                self._need(lease in self.grants, f"there is no lease {lease}")
                self._need(holder in ("", lease), f"{key} is held by another")
                self._need(holder == lease or self._delayed.get(key, now) <= now, f"{key}: lock-delay")
                return self._written(key, value, before, lease)
            case Unlock(key, value, lease):
                self._need(holder == lease != "", f"{key} is not held by {lease}")
                return self._written(key, value, before, "")

    def _written(self, key: str, value: bytes, before: Record | None, lease: str) -> Record:
        if before is None:
            return Record(key, value, self.index + 1, lease, 1 if lease else 0)
        if before.value == value and before.lease == lease:
            return before  # it changes nothing, so the revision stays
        taken = before.lock_count + (lease not in ("", before.lease))
        return Record(key, value, self.index + 1, lease, taken)

    @staticmethod
    def _need(holds: bool, what: str) -> None:
        if not holds:
            raise ConflictError(what)

    def save(self) -> StoreSnapshot:
        """This state, to go back to."""
        return StoreSnapshot(self.index, dict(self.records), dict(self.grants))

    def restore(self, saved: StoreSnapshot, now: float) -> None:
        """Go back: records, leases (their time starts anew) and the index, which then names other changes."""
        self.index, self.records = saved.index, dict(saved.records)
        self.grants = {
            name: replace(grant, ends_ms=now + grant.ttl_ms * self._late)
            for name, grant in saved.grants.items()
        }
        self._gone.clear()
        self._delayed.clear()
