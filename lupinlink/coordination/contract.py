"""The interface of the agreement service, through which the processes of a fleet coordinate.

Two transports implement it: ``consul`` uses Consul's HTTP API, ``memory`` keeps the state in this process.

All shared state is held in records. A commit changes records: up to ``MAX_STEPS`` steps, applied atomically.
Only compare-and-set by revision decides between two writers; a lease only tells when its holder may be
considered gone. Two processes may both believe that they hold a lease, for example after one was suspended
and resumed. The older one is stopped by its **fence** (a fencing token), a number that rises each time the
record is locked. Every commit made under a fence checks it (``CheckRevision``), and every process rejects
instructions whose fence is lower than the highest it has seen.

Times are milliseconds of the caller's monotonic clock (``lupinlink.clock.Clock``); nothing depends on wall
clock time. All calls are asynchronous; their errors are in ``lupinlink.coordination.errors``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.errors import LupinError

MAX_STEPS = 64  # in one commit: the documented limit of Consul's transactions
MAX_VALUE_BYTES = 512 * 1024  # of one record: the documented limit of Consul's values
ABSENT = 0  # as a revision: the record does not exist


@dataclass(frozen=True, slots=True)
class Record:
    """One record at one revision."""

    key: str
    value: bytes
    revision: int  # of its last change, rising until a restore; rewriting the same content is no change
    lease: str = ""  # name of the lease that holds the record, or empty
    lock_count: int = 0  # how often a lease has locked it since it was created


@dataclass(frozen=True, slots=True)
class Put:
    """Write a record if it is at ``revision`` (``ABSENT``: does not exist yet); None: unconditionally."""

    key: str
    value: bytes
    revision: int | None


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a record if it is at ``revision`` (which counts as two steps); None: unconditionally."""

    key: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class CheckRevision:
    """Write nothing; fail the commit unless the record is at ``revision`` (``ABSENT``: does not exist)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Lock:
    """Write a record and lock it for a lease; fails if another lease holds it or this lease has ended."""

    key: str
    value: bytes
    lease: str


@dataclass(frozen=True, slots=True)
class CheckHolder:
    """Write nothing; fail the commit unless the lease holds the record."""

    key: str
    lease: str


@dataclass(frozen=True, slots=True)
class Unlock:
    """Write a record and release its lock; fails unless the lease holds it."""

    key: str
    value: bytes
    lease: str


Step = Put | Delete | CheckRevision | Lock | CheckHolder | Unlock


@dataclass(frozen=True, slots=True)
class View:
    """A snapshot of all records below a prefix."""

    prefix: str
    records: dict[str, Record] = field(default_factory=dict)  # by key
    index: int = 0  # of the service's state; lower than in the previous view only after a restore
    asked_ms: float = 0.0  # the caller's clock when the query was sent: the view is at least as new


class Lease(Protocol):
    """A lease of this process. Its validity counts from when the last successful renewal was sent."""

    name: str  # the lease's identifier in the service; empty once lost

    def holds(self) -> bool:
        """Whether the lease is valid by the local clock; only a commit with ``CheckHolder`` is proof."""
        ...

    def until_ms(self) -> float:
        """When the lease stops being valid without a further renewal."""
        ...

    def end(self) -> Deferred[None]:
        """End the lease, which unlocks the records that it holds. Never fails."""
        ...


class Watch(Protocol):
    """A subscription to the records below a prefix."""

    def stop(self) -> None:
        """End the subscription."""
        ...


class Agreement(Protocol):
    """One process's client of the agreement service."""

    def read(self, prefix: str) -> Deferred[View]:
        """Return the current state of all records below ``prefix``. Fails: UnreachableError, BusyError."""
        ...

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        """Apply the steps atomically, each seeing those before it; return the written records by key.

        Fails with ConflictError (a condition did not hold), UnreachableError, BusyError or
        InvalidRequestError (the commit is malformed) when nothing was written, and with UncertainError when
        it may have been written; reading the records then tells.
        """
        ...

    def lease(self, ttl_ms: float, on_lost: Callable[[LupinError], object]) -> Deferred[Lease]:
        """Create a lease and renew it until it is ended. ``on_lost`` is called once, when it is lost.

        The service ends the lease between one and two times ``ttl_ms`` after the last renewal. For the
        lock-delay after that, no other lease can lock the records that it held.
        """
        ...

    def watch(
        self, prefix: str, on_view: Callable[[View], None], on_error: Callable[[LupinError], None]
    ) -> Watch:
        """Call ``on_view`` with the state below ``prefix`` and each later one, ``on_error`` on errors.

        ``on_view`` is also called when nothing has changed, with a newer ``asked_ms``. Changes in quick
        succession may be delivered together. Failed queries are retried with decorrelated backoff. After a
        restore of the service the view has a lower index than the one before.
        """
        ...
