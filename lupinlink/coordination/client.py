"""An ``Agreement`` on top of a transport, with lease renewal, watches and rate limit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred

from lupinlink.clock import Clock
from lupinlink.coordination.blocking_query import BlockingQuery
from lupinlink.coordination.contract import Lease, Record, Step, View, Watch
from lupinlink.coordination.lease_renewal import RenewedLease
from lupinlink.coordination.rate_limit import CallRateLimiter, CallTiming
from lupinlink.coordination.transport import ReadResult, Transport
from lupinlink.errors import LupinError

BURST = 8  # blocking queries that may be sent at once after idle time


class CountingTransport:
    """Counts calls by kind, and reports those that are not delayed to the rate limiter."""

    def __init__(self, transport: Transport, rate_limiter: CallRateLimiter) -> None:
        self._transport, self._rate_limiter = transport, rate_limiter
        self.calls: Counter[str] = Counter()

    def _count_unpaced(self, kind: str) -> None:
        self.calls[kind] += 1
        self._rate_limiter.charge()

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        if wait_ms:
            self.calls["ask"] += 1
        else:
            self._count_unpaced("read")
        return self._transport.read(prefix, index, wait_ms)

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        self._count_unpaced("commit")
        return self._transport.commit(steps)

    def open(self, ttl_ms: float) -> Deferred[str]:
        self._count_unpaced("open")
        return self._transport.open(ttl_ms)

    def renew(self, lease: str) -> Deferred[float]:
        self._count_unpaced("renew")
        return self._transport.renew(lease)

    def close(self, lease: str) -> Deferred[None]:
        self._count_unpaced("close")
        return self._transport.close(lease)


class AgreementClient:
    """One process's client of the service: a ``contract.Agreement``."""

    def __init__(
        self, transport: Transport, clock: Clock, draw: Callable[[], float], timing: CallTiming | None = None
    ) -> None:
        """``draw``: random, from [0, 1), independent for each process; it spreads the calls in time."""
        self._clock, self._draw, self._timing = clock, draw, timing or CallTiming()
        self._rate_limiter = CallRateLimiter(self._timing.ask_ms, BURST)
        self._transport = CountingTransport(transport, self._rate_limiter)

    @property
    def calls(self) -> int:
        """Calls sent so far."""
        return self._transport.calls.total()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """Calls sent so far by kind: read, ask (a blocking query), commit, open, renew, close."""
        return dict(self._transport.calls)

    def read(self, prefix: str) -> Deferred[View]:
        asked_ms = self._clock.now()
        return self._transport.read(prefix, 0, 0.0).addCallback(
            lambda result: View(prefix, result.records, result.index, asked_ms)
        )

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        return self._transport.commit(list(steps))

    def lease(self, ttl_ms: float, on_lost: Callable[[LupinError], object]) -> Deferred[Lease]:
        asked_ms = self._clock.now()
        return self._transport.open(ttl_ms).addCallback(
            lambda name: RenewedLease(
                self._transport, self._clock, self._draw, name, ttl_ms, asked_ms, on_lost
            )
        )

    def watch(
        self, prefix: str, on_view: Callable[[View], None], on_error: Callable[[LupinError], None]
    ) -> Watch:
        return BlockingQuery(
            self._transport,
            self._clock,
            self._rate_limiter,
            self._draw,
            prefix,
            self._timing,
            on_view,
            on_error,
        )
