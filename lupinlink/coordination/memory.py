"""The agreement service in memory: for tests with several processes, and for a fleet of one process.

One ``MemoryService`` is the service; each process has its own transport to it, with switches that simulate
faults. As over a network, a request arrives after ``delay_ms``, and the response takes as long again.
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
        """``late``: as in ``KvStore``; ``delay_ms``: the network delay in each direction."""
        self.clock, self.delay_ms = clock, delay_ms
        self.store = KvStore(lock_delay_ms, late)
        self.reachable = True  # by any process
        self.calls = 0  # that arrived, from all processes
        self._waiting: list[Callable[[], bool]] = []
        self._expiry_call = 0
        self._read: dict[str, tuple[dict[str, Record], int]] = {}  # by prefix, as of ``_read_at``
        self._read_at = (-1.0, 0)

    def transport(self, clock: Clock | None = None) -> MemoryTransport:
        """A transport for one more process. ``clock``: the process's own, which may be stopped."""
        return MemoryTransport(self, clock or self.clock)

    def client(self, draw: Callable[[], float], timing: CallTiming | None = None) -> AgreementClient:
        """An agreement client for one more process."""
        return AgreementClient(self.transport(), self.clock, draw, timing)

    def save(self) -> StoreSnapshot:
        return self.store.save()

    def restore(self, saved: StoreSnapshot) -> None:
        """Restore an older state."""
        self.store.restore(saved, self.clock.now())
        self._read_at = (-1.0, 0)
        self.changed()

    def expire(self, lease: str) -> None:
        """End a lease at once, as if it had expired."""
        self.store.end(lease, self.clock.now())
        self.changed()

    def changed(self) -> None:
        """Answer the blocking queries that see a change, and schedule the next expiry of a lease."""
        self.store.expire(self.clock.now())
        self._waiting = [try_answer for try_answer in self._waiting if not try_answer()]
        self.plan()

    def plan(self) -> None:
        """Schedule the next expiry of a lease."""
        self.clock.drop(self._expiry_call)
        end = self.store.next_end()
        if end is not None:
            self._expiry_call = self.clock.at(end, self.changed)

    def read(self, prefix: str) -> tuple[dict[str, Record], int]:
        """As ``KvStore.read``, cached for one moment, since hundreds of processes read the same prefix."""
        now = self.clock.now()
        if self._read_at != (now, self.store.index):
            self.store.expire(now)
            self._read, self._read_at = {}, (now, self.store.index)
        if prefix not in self._read:
            self._read[prefix] = self.store.read(prefix, now)
        return self._read[prefix]

    def wait(self, try_answer: Callable[[], bool]) -> None:
        """Call ``try_answer`` at each change until it returns True (it was answered)."""
        self._waiting.append(try_answer)


class MemoryTransport:
    """One process's transport to the service: a ``transport.Transport``."""

    def __init__(self, service: MemoryService, clock: Clock) -> None:
        self._service, self._clock = service, clock
        self.cut = False  # calls of this process fail as unreachable
        self.busy = False  # calls fail as with status 429
        self.lost_responses = 0  # so many of the next commits are applied, but their responses lost
        self.lost_requests = 0  # so many of the next commits are lost on the way, which looks the same

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        service = self._service
        until = service.clock.now() + wait_ms

        def on_arrival(result: Deferred[ReadResult]) -> None:
            def try_answer() -> bool:
                error = self._rejection()
                records, now_index = service.read(prefix)
                if error is not None:
                    self._fail(result, error)
                elif now_index != index or service.clock.now() >= until:
                    self._answer(result, ReadResult(records, now_index))
                else:
                    return False
                return True

            if not try_answer():
                service.wait(try_answer)
                service.clock.at(until, service.changed)

        return self._send(on_arrival)

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        if self.lost_requests:
            self.lost_requests -= 1
            return self._send(lambda result: self._fail(result, UncertainError("no answer came")))
        lost = self.lost_responses > 0
        self.lost_responses -= lost

        def operation() -> dict[str, Record]:
            try:
                written = self._service.store.commit(steps, self._service.clock.now())
            except CoordinationError:
                if not lost:
                    raise
            if lost:
                raise UncertainError("no answer came")
            return written

        return self._call(operation)

    def open(self, ttl_ms: float) -> Deferred[str]:
        return self._call(lambda: self._service.store.open(ttl_ms, self._service.clock.now()))

    def renew(self, lease: str) -> Deferred[float]:
        return self._call(lambda: self._service.store.renew(lease, self._service.clock.now()))

    def close(self, lease: str) -> Deferred[None]:
        return self._call(lambda: self._service.store.end(lease, self._service.clock.now()))

    def _rejection(self) -> CoordinationError | None:
        if self.cut or not self._service.reachable:
            return UnreachableError("the service in memory is switched off")
        return BusyError("the service in memory is switched to busy") if self.busy else None

    def _send(self, on_arrival: Callable[[Deferred[T]], None]) -> Deferred[T]:
        result: Deferred[T] = Deferred()

        def deliver() -> None:
            self._service.calls += 1
            on_arrival(result)

        self._service.clock.after(self._service.delay_ms, deliver)
        return result

    def _answer(self, result: Deferred[T], value: T) -> None:
        self._clock.after(self._service.delay_ms, lambda: result.callback(value))

    def _fail(self, result: Deferred[T], error: CoordinationError) -> None:
        self._clock.after(self._service.delay_ms, lambda: result.errback(error))

    def _call(self, operation: Callable[[], T]) -> Deferred[T]:
        def on_arrival(result: Deferred[T]) -> None:
            error = self._rejection()
            if error is not None:
                self._fail(result, error)
                return
            before = self._service.store.index
            try:
                self._answer(result, operation())
            except CoordinationError as exc:
                self._fail(result, exc)
            if self._service.store.index != before:
                self._service.changed()
            else:
                self._service.plan()

        return self._send(on_arrival)
