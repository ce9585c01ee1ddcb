"""An ``Agreement`` over a form's single calls: what both forms share, so that both behave alike."""

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

BURST = 8  # standing questions that may be asked at once after a rest


class Counted:
    """A ``Wire`` that counts calls by kind, and lets the pace know of those that do not wait for it."""

    def __init__(self, transport: Transport, pace: CallRateLimiter) -> None:
        self._transport, self._pace = transport, pace
        self.calls: Counter[str] = Counter()

    def _at_once(self, kind: str) -> None:
        self.calls[kind] += 1
        self._pace.spend()

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        if wait_ms:
            self.calls["ask"] += 1
        else:
            self._at_once("read")
        return self._transport.read(prefix, index, wait_ms)

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        self._at_once("commit")
        return self._transport.commit(steps)

    def open(self, ttl_ms: float) -> Deferred[str]:
        self._at_once("open")
        return self._transport.open(ttl_ms)

    def renew(self, lease: str) -> Deferred[float]:
        self._at_once("renew")
        return self._transport.renew(lease)

    def close(self, lease: str) -> Deferred[None]:
        self._at_once("close")
        return self._transport.close(lease)


class AgreementClient:
    """The service as one process sees it: a ``contract.Agreement``."""

    def __init__(
        self, transport: Transport, clock: Clock, draw: Callable[[], float], pacing: CallTiming | None = None
    ) -> None:
        """``draw``: from [0, 1), of this process alone: it spreads its calls in time."""
        self._clock, self._draw, self._pacing = clock, draw, pacing or CallTiming()
        self._pace = CallRateLimiter(self._pacing.ask_ms, BURST)
        self._transport = Counted(transport, self._pace)

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._transport.calls.total()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """The same by kind: read, ask (a standing question), commit, open, renew, close."""
        return dict(self._transport.calls)

    def read(self, prefix: str) -> Deferred[View]:
        asked_ms = self._clock.now()
        return self._transport.read(prefix, 0, 0.0).addCallback(
            lambda found: View(prefix, found.records, found.index, asked_ms)
        )

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        return self._transport.commit(list(steps))

    def lease(self, ttl_ms: float, lost: Callable[[LupinError], object]) -> Deferred[Lease]:
        asked_ms = self._clock.now()
        return self._transport.open(ttl_ms).addCallback(
            lambda name: RenewedLease(self._transport, self._clock, self._draw, name, ttl_ms, asked_ms, lost)
        )

    def watch(self, prefix: str, seen: Callable[[View], None], silent: Callable[[LupinError], None]) -> Watch:
        return BlockingQuery(
            self._transport, self._clock, self._pace, self._draw, prefix, self._pacing, seen, silent
        )
