"""A lease as its holder sees it: renewed in time, and not believed longer than the service grants it.

Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
SOSP 1989: the holder counts from before it asked, the grantor from after it was asked, so the holder's belief
ends first as long as the two clocks run at the same rate; ``DRIFT`` is what the rates may differ by.
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

DRIFT = 0.02  # of a lease's time that is not believed in
RENEW = 1.0 / 3.0  # of its time after which a lease is renewed: two failures in a row do not end it
SPREAD = 0.2  # of that, drawn: processes that started together drift apart
FIRST_AGAIN_MS = 250.0  # the shortest wait after a renewal that failed


class RenewedLease:
    """A ``contract.Lease``; made when the service has granted it."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        draw: Callable[[], float],
        name: str,
        ttl_ms: float,
        asked_ms: float,
        lost: Callable[[LupinError], object],
    ) -> None:
        """``asked_ms``: the clock before the lease was asked for."""
        self.name = name
        self._transport, self._clock, self._draw, self._lost = transport, clock, draw, lost
        self._ttl = self._every = ttl_ms
        self._backoff = Backoff(FIRST_AGAIN_MS, ttl_ms * RENEW, draw)
        self._until = asked_ms + ttl_ms * (1.0 - DRIFT)
        self._end_call = clock.at(self._until, self._look)
        self._renew_call = clock.at(self._next(asked_ms), self._renew)

    def holds(self) -> bool:
        # Danger: after a SIGSTOP this is asked before any timer has run; only the clock tells.
        return bool(self.name) and self._clock.now() < self._until

    def until_ms(self) -> float:
        return self._until

    def end(self) -> Deferred[None]:
        if not self.name:
            return succeed(None)
        return self._close().addErrback(lambda failure: None)  # it ends by itself

    def _next(self, asked_ms: float) -> float:
        return asked_ms + self._every * RENEW * (1.0 - SPREAD * self._draw())

    def _close(self) -> Deferred[None]:
        name, self.name = self.name, ""
        self._clock.drop(self._end_call)
        self._clock.drop(self._renew_call)
        return self._transport.close(name)

    def _lose(self, why: str) -> None:
        error = LeaseLostError(why)
        # Of use when only this process stood still: nobody need wait until the service ends it.
        self._close().addErrback(lambda failure: None)
        self._lost(error)

    def _look(self) -> None:
        # After a SIGSTOP the answer to a renewal may have been read first.
        if self.name and self._clock.now() >= self._until:
            self._lose("the lease was not renewed in time")

    def _renew(self) -> None:
        asked_ms = self._clock.now()
        self._transport.renew(self.name).addCallbacks(self._renewed, self._failed, callbackArgs=(asked_ms,))

    def _renewed(self, every_ms: float, asked_ms: float) -> None:
        if not self.name:
            return
        self._backoff.reset()
        self._every = max(self._ttl, every_ms)
        self._until = asked_ms + self._ttl * (1.0 - DRIFT)
        self._clock.drop(self._end_call)
        self._end_call = self._clock.at(self._until, self._look)
        self._renew_call = self._clock.at(self._next(asked_ms), self._renew)

    def _failed(self, failure: Failure) -> None:
        if not self.name:
            return
        if isinstance(failure.value, LeaseLostError):
            self._lose(str(failure.value))
            return
        self._renew_call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._renew)
