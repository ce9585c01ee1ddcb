"""One lease for all that a process holds, taken anew when it was lost.

A lease costs a renewal each third of its time, so the parts of a process share one. Losing it loses all.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import Agreement, Lease
from lupinlink.errors import LupinError

log = logging.getLogger(__name__)
FIRST_AGAIN_MS, MOST_AGAIN_MS = 500.0, 10000.0  # waits after failures
Gained = Callable[[Lease], None]
Lost = Callable[[LupinError], None]


class ProcessLease:
    """The agent; ``start`` it once."""

    def __init__(self, agreement: Agreement, clock: Clock, ttl_ms: float, draw: Callable[[], float]) -> None:
        self._agreement, self._clock, self._ttl_ms, self._draw = agreement, clock, ttl_ms, draw
        self._backoff = Backoff(FIRST_AGAIN_MS, MOST_AGAIN_MS, draw)
        self._listeners: list[tuple[Gained, Lost]] = []
        self._lease: Lease | None = None
        self._call = 0
        self._stopped = False
        self.failures = 0  # in a row, of asking for a lease
        self.why = ""  # the last of them

    @property
    def lease(self) -> Lease | None:
        """The lease, while it may be believed."""
        return self._lease if self._lease is not None and self._lease.holds() else None

    def listen(self, gained: Gained, lost: Lost) -> None:
        """Be told of each lease and of each loss; of the one that there is at once."""
        self._listeners.append((gained, lost))
        if (lease := self.lease) is not None:
            gained(lease)

    def start(self) -> None:
        """Take a lease within the first half second: a fleet that starts together does not ask together."""
        self._call = self._clock.at(self._clock.now() + self._draw() * FIRST_AGAIN_MS, self._ask)

    def stop(self) -> Deferred[None]:
        """Give it up; nobody is told."""
        self._stopped = True
        self._clock.drop(self._call)
        lease, self._lease = self._lease, None
        return lease.end() if lease is not None else succeed(None)

    def _ask(self) -> None:
        self._agreement.lease(self._ttl_ms, self._ended).addCallbacks(self._granted, self._failed)

    def _granted(self, lease: Lease) -> None:
        if self._stopped:
            lease.end()
            return
        self._backoff.reset()
        self.failures = 0
        self._lease = lease
        for gained, _ in self._listeners:
            gained(lease)

    def _failed(self, failure: Failure) -> None:
        if self._stopped:
            return
        self.failures, self.why = self.failures + 1, _line(failure)
        if self.failures == 1:
            log.warning("no lease", extra={"kv": {"why": self.why}})
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._ask)

    def _ended(self, error: LupinError) -> None:
        if self._stopped:
            return
        self._lease = None
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._ask)
        for _, lost in self._listeners:
            lost(error)


def _line(failure: Failure) -> str:
    error = failure.value
    return error.line() if isinstance(error, LupinError) else f"{type(error).__name__}: {error}"
