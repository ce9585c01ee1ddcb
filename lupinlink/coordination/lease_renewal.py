"""Renews a lease in time, and stops relying on it before the service can end it.

Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
SOSP 1989: the holder counts from before it sent the request, the service from after it received it, so the
lease expires first at the holder as long as both clocks run at the same rate. ``MAX_CLOCK_DRIFT`` is the
difference of rates that is allowed for.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.errors import LeaseLostError
from lupinlink.coordination.transport import Transport
from lupinlink.errors import LupinError

MAX_CLOCK_DRIFT = 0.02  # share of a lease's time by which it expires earlier at the holder
RENEW_AFTER = 1.0 / 3.0  # share of a lease's time: two failed renewals in a row do not end it
RENEW_JITTER = 0.2  # random share of that: processes that started together drift apart
FIRST_RETRY_MS = 250.0  # shortest wait after a failed renewal


class RenewedLease:
    """A ``contract.Lease`` that the service has granted."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        draw: Callable[[], float],
        name: str,
        ttl_ms: float,
        asked_ms: float,
        on_lost: Callable[[LupinError], object],
    ) -> None:
        """``asked_ms``: the time before the lease was requested. ``draw``: random, from [0, 1)."""
        self.name = name
        self._transport, self._clock, self._draw, self._on_lost = transport, clock, draw, on_lost
        self._ttl_ms = self._renewal_ttl_ms = ttl_ms
        self._backoff = Backoff(FIRST_RETRY_MS, ttl_ms * RENEW_AFTER, draw)
        self._valid_until_ms = asked_ms + ttl_ms * (1.0 - MAX_CLOCK_DRIFT)
        self._expiry_call = clock.at(self._valid_until_ms, self._check_expiry)
        self._renew_call = clock.at(self._next_renewal_ms(asked_ms), self._renew)

    def holds(self) -> bool:
        # Compares the clock, because after a SIGSTOP this may be called before the expiry timer has run.
        return bool(self.name) and self._clock.now() < self._valid_until_ms

    def until_ms(self) -> float:
        return self._valid_until_ms

    def end(self) -> Deferred[None]:
        if not self.name:
            return succeed(None)
        return self._close().addErrback(lambda failure: None)  # the service ends the lease when it expires

    def _next_renewal_ms(self, asked_ms: float) -> float:
        return asked_ms + self._renewal_ttl_ms * RENEW_AFTER * (1.0 - RENEW_JITTER * self._draw())

    def _close(self) -> Deferred[None]:
        name, self.name = self.name, ""
        self._clock.drop(self._expiry_call)
        self._clock.drop(self._renew_call)
        return self._transport.close(name)

    def _on_lease_lost(self, reason: str) -> None:
        error = LeaseLostError(reason)
        # If only this process was suspended, others then need not wait until the service ends the lease.
        self._close().addErrback(lambda failure: None)
        self._on_lost(error)

    def _check_expiry(self) -> None:
        # After a SIGSTOP the response to a renewal may be read before this timer runs.
        if self.name and self._clock.now() >= self._valid_until_ms:
            self._on_lease_lost("the lease was not renewed in time")

    def _renew(self) -> None:
        asked_ms = self._clock.now()
        self._transport.renew(self.name).addCallbacks(
            self._on_renewed, self._on_failed, callbackArgs=(asked_ms,)
        )

    def _on_renewed(self, granted_ttl_ms: float, asked_ms: float) -> None:
        if not self.name:
            return
        self._backoff.reset()
        self._renewal_ttl_ms = max(self._ttl_ms, granted_ttl_ms)
        self._valid_until_ms = asked_ms + self._ttl_ms * (1.0 - MAX_CLOCK_DRIFT)
        self._clock.drop(self._expiry_call)
        self._expiry_call = self._clock.at(self._valid_until_ms, self._check_expiry)
        self._renew_call = self._clock.at(self._next_renewal_ms(asked_ms), self._renew)

    def _on_failed(self, failure: Failure) -> None:
        if not self.name:
            return
        if isinstance(failure.value, LeaseLostError):
            self._on_lease_lost(str(failure.value))
            return
        self._renew_call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._renew)
