"""Watches a prefix with blocking queries: each waits in the service until something changes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import View
from lupinlink.coordination.errors import CoordinationError, RestoredError
from lupinlink.coordination.rate_limit import CallRateLimiter, CallTiming
from lupinlink.coordination.restore_detection import next_view
from lupinlink.coordination.transport import ReadResult, Transport
from lupinlink.errors import LupinError

log = logging.getLogger(__name__)
MAX_RETRY_MS = 10000.0  # longest wait after failed queries
WAIT_JITTER = 0.4  # random share by which a query's wait is shortened
REQUERY_SPREAD_MS = 100.0  # a change answers every process at once; their next queries spread over this


class BlockingQuery:
    """A ``contract.Watch``. Exceptions raised by a listener are logged; the watch goes on."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        rate_limiter: CallRateLimiter,
        draw: Callable[[], float],
        prefix: str,
        timing: CallTiming,
        on_view: Callable[[View], None],
        on_error: Callable[[LupinError], None],
    ) -> None:
        self._transport, self._clock, self._rate_limiter, self._draw = transport, clock, rate_limiter, draw
        self._prefix, self._wait_ms, self._on_view, self._on_error = prefix, timing.wait_ms, on_view, on_error
        self._backoff = Backoff(timing.retry_ms, MAX_RETRY_MS, draw)
        self._last_view: View | None = None
        self._index = 0  # of the last response; 0: the next query returns at once
        self._stopped = False
        self._call = clock.at(clock.now() + rate_limiter.wait_ms(clock.now()), self._query)

    def stop(self) -> None:
        self._stopped = True
        self._clock.drop(self._call)

    def _schedule(self, wait_ms: float) -> None:
        at_ms = self._clock.now() + wait_ms
        self._call = self._clock.at(at_ms + self._rate_limiter.wait_ms(at_ms), self._query)

    def _query(self) -> None:
        asked_ms = self._clock.now()
        # Without jitter, queries that one change answers together would also time out together from then on.
        wait_ms = self._wait_ms * (1.0 - WAIT_JITTER * self._draw())
        result = self._transport.read(self._prefix, self._index, wait_ms)
        result.addCallbacks(self._on_result, self._on_failed, callbackArgs=(asked_ms,))

    def _on_result(self, result: ReadResult, asked_ms: float) -> None:
        if self._stopped:
            return
        self._backoff.reset()
        # Not the highest index so far, since after a restore the service may never reach that again.
        self._index = result.index
        before = self._last_view
        self._last_view = next_view(before, View(self._prefix, result.records, result.index, asked_ms))
        if before is not None and self._last_view.index < before.index:
            why = RestoredError(f"below {self._prefix}").line()
            log.warning("restored", extra={"kv": {"why": why}})
        self._schedule(self._draw() * REQUERY_SPREAD_MS)
        self._notify(self._on_view, self._last_view)

    def _on_failed(self, failure: Failure) -> None:
        if self._stopped:
            return
        self._index = 0  # so the next query returns at once with the current state
        self._schedule(self._backoff.next_ms())
        error = failure.value
        if not isinstance(error, LupinError):
            log.error("a query to the agreement service failed", exc_info=failure.value)
            error = CoordinationError(f"{type(failure.value).__name__}: {failure.value}")
        self._notify(self._on_error, error)

    @staticmethod
    def _notify(listener: Callable[[Any], None], value: View | LupinError) -> None:
        try:
            listener(value)
        except Exception:
            log.exception("a listener of the agreement service's records failed")
