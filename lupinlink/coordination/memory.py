"""The agreement service in memory: for tests of several processes, and for a fleet of one.

One ``MemoryService`` stands for the service; each process has a wire of its own to it, with switches for what
may go wrong on the way. Nothing is answered within the call that asked: as over a network, what was asked
arrives after ``delay_ms`` and the answer after as long again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

from twisted.internet.defer import Deferred

from lupinlink.clock import Clock
from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.contract import Record, Step
from lupinlink.coordination.errors import BusyError, CoordinationError, UncertainError, UnreachableError
from lupinlink.coordination.kv_store import KvStore, StoreSnapshot
from lupinlink.coordination.rate_limit import CallTiming
from lupinlink.coordination.transport import ReadResult

T = TypeVar("T")


class MemoryService:
    """The service itself."""

    def __init__(
        self, clock: Clock, lock_delay_ms: float = 1000.0, late: float = 1.0, delay_ms: float = 1.0
    ) -> None:
        """``late``: as in ``Ledger``; ``delay_ms``: of each way, one of a call's two."""
        self.clock, self.delay_ms = clock, delay_ms
        self.store = KvStore(lock_delay_ms, late)
        self.reachable = True  # for all
        self.calls = 0  # that arrived, of all processes
        self._waiting: list[Callable[[], bool]] = []
        self._end_call = 0
        self._read: dict[str, tuple[dict[str, Record], int]] = {}  # by prefix, as of ``_read_at``
        self._read_at = (-1.0, 0)

    def transport(self, clock: Clock | None = None) -> MemoryTransport:
        """One more process's way here. ``clock``: the process's own, which may stand still."""
        return MemoryTransport(self, clock or self.clock)

    def client(self, draw: Callable[[], float], pacing: CallTiming | None = None) -> AgreementClient:
        """One more process, all the way."""
        return AgreementClient(self.transport(), self.clock, draw, pacing)

    def save(self) -> StoreSnapshot:
        return self.store.save()

    def restore(self, saved: StoreSnapshot) -> None:
        """Go back to an older state."""
        self.store.restore(saved, self.clock.now())
        self._read_at = (-1.0, 0)
        self.changed()

    def expire(self, lease: str) -> None:
        """End a lease at once, as if its holder had stood still."""
        self.store.end(lease, self.clock.now())
        self.changed()

    def changed(self) -> None:
        """Answer the questions that something came up for, and look again when a lease may end."""
        self.store.expire(self.clock.now())
        self._waiting = [ask for ask in self._waiting if not ask()]
        self.plan()

    def plan(self) -> None:
        """Look again when a lease may end."""
        self.clock.drop(self._end_call)
        end = self.store.next_end()
        if end is not None:
            self._end_call = self.clock.at(end, self.changed)

    def read(self, prefix: str) -> tuple[dict[str, Record], int]:
        """As ``Ledger.read``, once for all questions of one moment: hundreds of processes ask the same."""
        now = self.clock.now()
        if self._read_at != (now, self.store.index):
            self.store.expire(now)
            self._read, self._read_at = {}, (now, self.store.index)
        if prefix not in self._read:
            self._read[prefix] = self.store.read(prefix, now)
        return self._read[prefix]

    def wait(self, ask: Callable[[], bool]) -> None:
        """``ask`` is called at each change until it says that it was answered."""
        self._waiting.append(ask)


class MemoryTransport:
    """One process's way to the service: a ``wire.Wire``."""

    def __init__(self, service: MemoryService, clock: Clock) -> None:
        self._service, self._clock = service, clock
        self.cut = False  # this process reaches it no more: calls are refused
        self.busy = False  # it is turned away with 429
        self.lost_responses = 0  # so many next commits are done and their answers lost
        self.lost_requests = 0  # so many next commits are lost on their way there, which looks the same

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        service = self._service
        until = service.clock.now() + wait_ms

        def arrive(result: Deferred[ReadResult]) -> None:
            def ask() -> bool:
                error = self._turned_away()
                records, now_index = service.read(prefix)
                if error is not None:
                    self._fail(result, error)
                elif now_index != index or service.clock.now() >= until:
                    self._answer(result, ReadResult(records, now_index))
                else:
                    return False
                return True

            if not ask():
                service.wait(ask)
                service.clock.at(until, service.changed)

        return self._send(arrive)

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        if self.lost_requests:
            self.lost_requests -= 1
            return self._send(lambda result: self._fail(result, UncertainError("no answer came")))
        lost = self.lost_responses > 0
        self.lost_responses -= lost

        def do() -> dict[str, Record]:
            try:
                written = self._service.store.commit(steps, self._service.clock.now())
            except CoordinationError:
                if not lost:
                    raise
            if lost:
                raise UncertainError("no answer came")
            return written

        return self._call(do)

    def open(self, ttl_ms: float) -> Deferred[str]:
        return self._call(lambda: self._service.store.open(ttl_ms, self._service.clock.now()))

    def renew(self, lease: str) -> Deferred[float]:
        return self._call(lambda: self._service.store.renew(lease, self._service.clock.now()))

    def close(self, lease: str) -> Deferred[None]:
        return self._call(lambda: self._service.store.end(lease, self._service.clock.now()))

    def _turned_away(self) -> CoordinationError | None:
        if self.cut or not self._service.reachable:
            return UnreachableError("the service in memory is switched off")
        return BusyError("the service in memory is switched to busy") if self.busy else None

    def _send(self, arrive: Callable[[Deferred[T]], None]) -> Deferred[T]:
        result: Deferred[T] = Deferred()

        def come() -> None:
            self._service.calls += 1
            arrive(result)

        self._service.clock.after(self._service.delay_ms, come)
        return result

    def _answer(self, result: Deferred[T], what: T) -> None:
        self._clock.after(self._service.delay_ms, lambda: result.callback(what))

    def _fail(self, result: Deferred[T], error: CoordinationError) -> None:
        self._clock.after(self._service.delay_ms, lambda: result.errback(error))

    def _call(self, do: Callable[[], T]) -> Deferred[T]:
        def arrive(result: Deferred[T]) -> None:
            error = self._turned_away()
            if error is not None:
                self._fail(result, error)
                return
            before = self._service.store.index
            try:
                self._answer(result, do())
            except CoordinationError as exc:
                self._fail(result, exc)
            if self._service.store.index != before:
                self._service.changed()
            else:
                self._service.plan()

        return self._send(arrive)
