"""Helpers of the tests of the agreement interface, which run against both implementations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from functools import wraps
from typing import Any, TypeVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from lupinlink.coordination.contract import Agreement, Lease, Step, View
from lupinlink.errors import LupinError

E = TypeVar("E", bound=LupinError)
TTL_MS = 300.0


def async_test(test: Callable[[Any], Coroutine[Any, Any, None]]) -> Callable[[Any], Deferred[None]]:
    """Turn a coroutine into a test for trial."""

    @wraps(test)
    def run(self: Any) -> Deferred[None]:
        return Deferred.fromCoroutine(test(self))

    return run


class WatchRecorder:
    """Records the views and errors of a watch; ``until`` waits for a condition."""

    def __init__(self, agreement: Agreement, prefix: str) -> None:
        self.views: list[View] = []
        self.errors: list[LupinError] = []
        self._waits: list[tuple[Callable[[], bool], Deferred[None]]] = []
        self.watch = agreement.watch(prefix, self._on_view, self._on_error)

    def _on_view(self, view: View) -> None:
        self.views.append(view)
        self._check_waits()

    def _on_error(self, error: LupinError) -> None:
        self.errors.append(error)
        self._check_waits()

    def _check_waits(self) -> None:
        for wait in [wait for wait in self._waits if wait[0]()]:
            self._waits.remove(wait)
            wait[1].callback(None)

    def until(self, holds: Callable[[], bool]) -> Deferred[None]:
        fired: Deferred[None] = Deferred()
        self._waits.append((holds, fired))
        self._check_waits()
        return fired.addTimeout(8.0, reactor)

    def more(self) -> Deferred[None]:
        seen = len(self.views)
        return self.until(lambda: len(self.views) > seen)

    @property
    def values(self) -> dict[str, bytes]:
        return {key: record.value for key, record in self.views[-1].records.items()} if self.views else {}


class AgreementContract:
    """Two clients of one service; a subclass sets the implementation as ``form``."""

    form: Callable[[], Any]

    def setUp(self: Any) -> None:
        self.service = self.form()
        self.a, self.b = self.service.client(), self.service.client()
        self.leases: list[Lease] = []
        self.addCleanup(self._clean)

    def _clean(self: Any) -> None:
        self.service.close()
        net: Any = reactor
        for call in net.getDelayedCalls():
            call.cancel()
        net.removeAll()  # connections that were never established

    async def assert_commit_fails(self: Any, kind: type[E], *steps: Step, by: Agreement | None = None) -> E:
        try:
            await (by or self.a).commit(steps)
        except kind as error:
            return error
        raise AssertionError(f"{steps} was applied")

    async def value(self: Any, key: str) -> bytes | None:
        record = (await self.b.read(key)).records.get(key)
        return record.value if record is not None else None

    def watched(self: Any, agreement: Agreement, prefix: str) -> WatchRecorder:
        watched = WatchRecorder(agreement, prefix)
        self.addCleanup(watched.watch.stop)
        return watched

    async def lease(self: Any, agreement: Agreement, lost: Callable[[LupinError], object] = id) -> Lease:
        lease: Lease = await agreement.lease(TTL_MS, lost)
        self.addCleanup(lambda: lease.end())
        return lease

    async def assert_fails(self: Any, kind: type[LupinError], call: Awaitable[object]) -> None:
        try:
            await call
        except kind:
            return
        raise AssertionError("the call succeeded")
