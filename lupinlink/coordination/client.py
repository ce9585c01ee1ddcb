"""An ``Agreement`` over a form's single calls: what both forms share, so that both behave alike."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred

from lupinlink.clock import Clock
from lupinlink.coordination.contract import Lease, Record, Step, View, Watch
from lupinlink.coordination.keeping import KeptLease
from lupinlink.coordination.pace import Pace, Pacing
from lupinlink.coordination.watching import StandingQuestion
from lupinlink.coordination.wire import Found, Wire
from lupinlink.errors import LupinError

BURST = 8  # standing questions that may be asked at once after a rest


class Counted:
    """A ``Wire`` that counts calls by kind, and lets the pace know of those that do not wait for it."""

    def __init__(self, wire: Wire, pace: Pace) -> None:
        self._wire, self._pace = wire, pace
        self.calls: Counter[str] = Counter()

    def _at_once(self, kind: str) -> None:
        self.calls[kind] += 1
        self._pace.spend()

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[Found]:
        if wait_ms:
            self.calls["ask"] += 1
        else:
            self._at_once("read")
        return self._wire.read(prefix, index, wait_ms)

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        self._at_once("commit")
        return self._wire.commit(steps)

    def open(self, ttl_ms: float) -> Deferred[str]:
        self._at_once("open")
        return self._wire.open(ttl_ms)

    def renew(self, lease: str) -> Deferred[float]:
        self._at_once("renew")
        return self._wire.renew(lease)

    def close(self, lease: str) -> Deferred[None]:
        self._at_once("close")
        return self._wire.close(lease)


class Client:
    """The service as one process sees it: a ``contract.Agreement``."""

    def __init__(
        self, wire: Wire, clock: Clock, draw: Callable[[], float], pacing: Pacing | None = None
    ) -> None:
        """``draw``: from [0, 1), of this process alone: it spreads its calls in time."""
        self._clock, self._draw, self._pacing = clock, draw, pacing or Pacing()
        self._pace = Pace(self._pacing.ask_ms, BURST)
        self._wire = Counted(wire, self._pace)

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._wire.calls.total()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """The same by kind: read, ask (a standing question), commit, open, renew, close."""
        return dict(self._wire.calls)

    def read(self, prefix: str) -> Deferred[View]:
        asked_ms = self._clock.now()
        return self._wire.read(prefix, 0, 0.0).addCallback(
            lambda found: View(prefix, found.records, found.index, asked_ms)
        )

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        return self._wire.commit(list(steps))

    def lease(self, ttl_ms: float, lost: Callable[[LupinError], object]) -> Deferred[Lease]:
        asked_ms = self._clock.now()
        return self._wire.open(ttl_ms).addCallback(
            lambda name: KeptLease(self._wire, self._clock, self._draw, name, ttl_ms, asked_ms, lost)
        )

    def watch(self, prefix: str, seen: Callable[[View], None], silent: Callable[[LupinError], None]) -> Watch:
        return StandingQuestion(
            self._wire, self._clock, self._pace, self._draw, prefix, self._pacing, seen, silent
        )
