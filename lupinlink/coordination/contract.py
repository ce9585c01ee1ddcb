"""The contract of agreement between processes; one form speaks Consul's published API, one is in memory.

Everything that processes must agree on is a record. A record changes by a commit: up to ``MOST_STEPS``
steps that all happen or none. Compare-and-set by revision is the only arbiter; a lease only tells when its
holder may be taken for gone. Two processes may both believe that they hold a lease (one stood still, then
went on): what stops the older is its **fence**, a number that rises with each taking of the lease's record
and is checked by every commit that acts under it (``Guarded``), and by every process that is told something
under it (it obeys no fence under the highest seen).

Times are milliseconds of the caller's monotonic clock (``lupinlink.clock.Clock``); no wall clock decides
anything. All calls are asynchronous and fire once; their errors are those of
``lupinlink.coordination.errors``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.errors import LupinError

MAX_STEPS = 64  # of one commit: the published bound of Consul's transactions
MAX_VALUE_BYTES = 512 * 1024  # bytes of one record: the published bound of Consul's values
ABSENT = 0  # as a revision: no such record


@dataclass(frozen=True, slots=True)
class Record:
    """One record as it stood at a revision."""

    key: str
    value: bytes
    revision: int  # of its last change (a write of what stands there is none); rises in one history
    lease: str = ""  # the lease that holds it, or empty
    lock_count: int = 0  # how often it was taken by a lease since it was created


@dataclass(frozen=True, slots=True)
class Put:
    """Write a record. ``revision``: only if it stands there (``ABSENT``: is not there yet); None: always."""

    key: str
    value: bytes
    revision: int | None


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a record, if it stands at ``revision`` (which counts for two steps); None: in any case."""

    key: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class CheckRevision:
    """Writes nothing; fails the commit unless the record stands at ``revision`` (``ABSENT``: is absent)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Lock:
    """Write a record and hold it by a lease; fails while another lease holds it, or the lease has ended."""

    key: str
    value: bytes
    lease: str


@dataclass(frozen=True, slots=True)
class CheckHolder:
    """Nothing is written; the commit fails unless that lease holds the record."""

    key: str
    lease: str


@dataclass(frozen=True, slots=True)
class Unlock:
    """Write a record and hold it no longer; fails unless that lease holds it."""

    key: str
    value: bytes
    lease: str


Step = Put | Delete | CheckRevision | Lock | CheckHolder | Unlock


@dataclass(frozen=True, slots=True)
class View:
    """All records below a prefix at one moment, and how far that moment is known to be the newest."""

    prefix: str
    records: dict[str, Record] = field(default_factory=dict)  # by key
    index: int = 0  # of the service's history; one lower than before means that it was restored
    asked_ms: float = 0.0  # the caller's clock before the question left: at least as new as this


class Lease(Protocol):
    """A lease of this process, counted by its own monotonic clock from before each renewal was asked for."""

    name: str  # of the lease in the service; empty once lost

    def holds(self) -> bool:
        """Whether this process may still believe in it. Danger: only a commit with ``Held`` knows."""
        ...

    def until_ms(self) -> float:
        """When the belief ends without a further renewal."""
        ...

    def end(self) -> Deferred[None]:
        """Give it up; what it holds is let go. Never fails."""
        ...


class Watch(Protocol):
    """A standing question."""

    def stop(self) -> None:
        """Hear no more."""
        ...


class Agreement(Protocol):
    """The service, as one process sees it."""

    def read(self, prefix: str) -> Deferred[View]:
        """The newest state of all records below ``prefix``. Fails: UnreachableError, BusyError."""
        ...

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        """All steps or none, each seeing those before it; gives the records written, by key.

        Fails: ConflictError (a step did not fit), UnreachableError or BusyError: nothing happened;
        UncertainError: it may have happened, read the records to find out; InvalidRequestError: the commit is
        malformed, nothing happened.
        """
        ...

    def lease(self, ttl_ms: float, lost: Callable[[LupinError], object]) -> Deferred[Lease]:
        """A new lease, renewed until it is ended. ``lost`` is called once, when it can no longer be believed.

        The service ends it no sooner than ``ttl_ms`` after the last renewal, perhaps as late as twice that;
        a record that it held cannot be taken by another for the service's lock-delay after that.
        """
        ...

    def watch(self, prefix: str, seen: Callable[[View], None], silent: Callable[[LupinError], None]) -> Watch:
        """Tell ``seen`` of each newer state below ``prefix``, the present one first; ``silent`` of failures.

        An answer that nothing has changed is told too: its ``asked_ms`` is newer. Changes that come fast are
        told together. Asks again by itself, with decorrelated back-off. After a restore ``seen`` gets a View
        of lower index.
        """
        ...
