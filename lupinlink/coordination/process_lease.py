"""The one lease of a process, requested again after it is lost.

A lease costs a renewal each third of its time, so all components of a process share one. When it is lost,
everything that was locked with it is lost.
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
FIRST_RETRY_MS, MAX_RETRY_MS = 500.0, 10000.0  # wait between failed requests
OnGained = Callable[[Lease], None]
OnLost = Callable[[LupinError], None]


class ProcessLease:
    """Holds the lease; ``start`` it once."""

    def __init__(self, agreement: Agreement, clock: Clock, ttl_ms: float, draw: Callable[[], float]) -> None:
        self._agreement, self._clock, self._ttl_ms, self._draw = agreement, clock, ttl_ms, draw
        self._backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, draw)
        self._listeners: list[tuple[OnGained, OnLost]] = []
        self._lease: Lease | None = None
        self._call = 0
        self._stopped = False
        self.failures = 0  # failed requests for a lease in a row
        self.last_failure = ""  # the last failure, as text

    @property
    def lease(self) -> Lease | None:
        """The lease, while it is valid."""
        return self._lease if self._lease is not None and self._lease.holds() else None

    def subscribe(self, on_gained: OnGained, on_lost: OnLost) -> None:
        """Subscribe to each new lease and each loss; a present lease is reported at once."""
        self._listeners.append((on_gained, on_lost))
        if (lease := self.lease) is not None:
            on_gained(lease)

    def start(self) -> None:
        """Request a lease at a random time within ``FIRST_RETRY_MS``, which spreads a fleet's start."""
        self._call = self._clock.at(self._clock.now() + self._draw() * FIRST_RETRY_MS, self._request)

    def stop(self) -> Deferred[None]:
        """End the lease without notifying the listeners."""
        self._stopped = True
        self._clock.drop(self._call)
        lease, self._lease = self._lease, None
        return lease.end() if lease is not None else succeed(None)

    def _request(self) -> None:
        self._agreement.lease(self._ttl_ms, self._on_lost).addCallbacks(self._on_granted, self._on_failed)

    def _on_granted(self, lease: Lease) -> None:
        if self._stopped:
            lease.end()
            return
        self._backoff.reset()
        self.failures = 0
        self._lease = lease
        for on_gained, _ in self._listeners:
            on_gained(lease)

    def _on_failed(self, failure: Failure) -> None:
        if self._stopped:
            return
        self.failures, self.last_failure = self.failures + 1, _describe(failure)
        if self.failures == 1:
            log.warning("no lease", extra={"kv": {"why": self.last_failure}})
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._request)

    def _on_lost(self, error: LupinError) -> None:
        if self._stopped:
            return
        self._lease = None
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._request)
        for _, on_lost in self._listeners:
            on_lost(error)


def _describe(failure: Failure) -> str:
    error = failure.value
    return error.line() if isinstance(error, LupinError) else f"{type(error).__name__}: {error}"
