"""A standing question: asked again and again, each asking waiting in the service until something changes."""

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
MOST_AGAIN_MS = 10000.0  # between questions that failed
SHORTER = 0.4  # of a question's wait, drawn
SPREAD_MS = 100.0  # a change wakes every process at once; they ask again within this


class BlockingQuery:
    """A ``contract.Watch``. What fails in a listener is logged and ends nothing."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        pace: CallRateLimiter,
        draw: Callable[[], float],
        prefix: str,
        pacing: CallTiming,
        seen: Callable[[View], None],
        silent: Callable[[LupinError], None],
    ) -> None:
        self._transport, self._clock, self._pace, self._draw = transport, clock, pace, draw
        self._prefix, self._wait_ms, self._seen, self._silent = prefix, pacing.wait_ms, seen, silent
        self._backoff = Backoff(pacing.retry_ms, MOST_AGAIN_MS, draw)
        self._told: View | None = None
        self._index = 0  # as the service gave it
        self._stopped = False
        self._call = clock.at(clock.now() + pace.wait_ms(clock.now()), self._ask)

    def stop(self) -> None:
        self._stopped = True
        self._clock.drop(self._call)

    def _again(self, wait_ms: float) -> None:
        at_ms = self._clock.now() + wait_ms
        self._call = self._clock.at(at_ms + self._pace.wait_ms(at_ms), self._ask)

    def _ask(self) -> None:
        asked_ms = self._clock.now()
        # Danger: questions that one change has woken together would come together ever after.
        wait_ms = self._wait_ms * (1.0 - SHORTER * self._draw())
        found = self._transport.read(self._prefix, self._index, wait_ms)
        found.addCallbacks(self._answered, self._failed, callbackArgs=(asked_ms,))

    def _answered(self, found: ReadResult, asked_ms: float) -> None:
        if self._stopped:
            return
        self._backoff.reset()
        # Danger: the highest index so far would be the wrong one; after a restore nothing comes up to it.
        self._index = found.index
        before = self._told
        self._told = next_view(before, View(self._prefix, found.records, found.index, asked_ms))
        if before is not None and self._told.index < before.index:
            why = RestoredError(f"below {self._prefix}").line()
            log.warning("restored", extra={"kv": {"why": why}})
        self._again(self._draw() * SPREAD_MS)
        self._tell(self._seen, self._told)

    def _failed(self, failure: Failure) -> None:
        if self._stopped:
            return
        self._index = 0  # what it missed is told at once, and freshly
        self._again(self._backoff.next_ms())
        error = failure.value
        if not isinstance(error, LupinError):
            log.error("a question to the agreement service failed", exc_info=failure.value)
            error = CoordinationError(f"{type(failure.value).__name__}: {failure.value}")
        self._tell(self._silent, error)

    @staticmethod
    def _tell(listener: Callable[[Any], None], what: View | LupinError) -> None:
        try:
            listener(what)
        except Exception:
            log.exception("a listener of the fleet's records failed")
