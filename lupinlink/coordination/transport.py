"""The interface of a transport to the agreement service: single calls, each with a time-out.

``lupinlink.coordination.client`` builds an ``Agreement`` on it, with lease renewal, watches, rate limit and
backoff. Errors as in ``lupinlink.coordination.contract``.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.coordination.contract import Record, Step


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The result of a read."""

    records: dict[str, Record]  # by key
    index: int  # over 0; to be passed to the next blocking query


class Transport(Protocol):
    """A transport to the agreement service."""

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        """Return the records below a prefix; given an index over 0, once it differs or after ``wait_ms``.

        Fails: UnreachableError, BusyError.
        """
        ...

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        """Apply the steps atomically, as ``Agreement.commit`` does."""
        ...

    def open(self, ttl_ms: float) -> Deferred[str]:
        """Create a lease and return its name. Fails: UnreachableError, BusyError.

        If the response is lost, the lease that was created expires without being used.
        """
        ...

    def renew(self, lease: str) -> Deferred[float]:
        """Renew a lease; returns its time to live, which the service may have raised to get fewer renewals.

        Fails: LeaseLostError (there is no such lease), UnreachableError, BusyError.
        """
        ...

    def close(self, lease: str) -> Deferred[None]:
        """End a lease. Fails: UnreachableError, BusyError."""
        ...
