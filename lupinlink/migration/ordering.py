"""Carries an operator's order to the records: checked here at once, decided on what stands there."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.component import AdminResponse
from lupinlink.coordination.errors import ConflictError
from lupinlink.errors import LupinError
from lupinlink.migration.errors import MigrationError, OrderLostError
from lupinlink.migration.model import Listener
from lupinlink.migration.records import Records

log = logging.getLogger(__name__)
KEPT = 5  # so many orders are shown
TRIES = 8
AGAIN_MS, MOST_AGAIN_MS = 200.0, 3000.0
Decide = Callable[[Mapping[str, Listener]], Listener]  # the new record of one of these; raises MigrationError


class Orders:
    """Of one door."""

    def __init__(self, clock: Clock, draw: Callable[[], float], records: Records) -> None:
        self._clock, self._draw, self._records = clock, draw, records
        self._given: deque[list[str]] = deque(maxlen=KEPT)  # each: the order, and what came of it
        self._calls: set[int] = set()
        self._stopped = False

    def stop(self) -> None:
        self._stopped = True
        for call in self._calls:
            self._clock.drop(call)

    def lines(self) -> list[str]:
        """What was asked for here, and what came of it."""
        return [f"{what}: {came}" for what, came in self._given]

    def give(self, what: str, decide: Decide) -> AdminResponse:
        """An order: 202 if it fits what is known here, and on its way; else why not, and nothing is asked."""
        try:
            wanted = decide(self._records.listeners)
        except MigrationError as exc:
            return AdminResponse(409, exc.line() + "\n")
        if wanted is self._records.listeners.get(wanted.name):
            return AdminResponse(200, "nothing to do, it stands so already\n")
        entry = [what, "on its way"]
        self._given.append(entry)
        log.info("order", extra={"kv": {"order": what}})
        self._try(entry, decide, Backoff(AGAIN_MS, MOST_AGAIN_MS, self._draw), TRIES)
        return AdminResponse(202, "asked for; GET /control/migration tells what comes of it\n")

    def _try(self, entry: list[str], decide: Decide, backoff: Backoff, tries: int) -> None:
        def failed(failure: Failure) -> None:
            self._failed(failure, entry, decide, backoff, tries)

        Deferred.fromCoroutine(self._carry(entry, decide)).addErrback(failed)

    async def _carry(self, entry: list[str], decide: Decide) -> None:
        """Decide on what stands there now; whatever was decided on something older is refused there."""
        await self._records.read()
        wanted = decide(self._records.listeners)
        if wanted is not self._records.listeners.get(wanted.name):
            await self._records.commit([self._records.put(wanted)])
        entry[1] = "done"

    def _failed(
        self, failure: Failure, entry: list[str], decide: Decide, backoff: Backoff, tries: int
    ) -> None:
        error = failure.value
        if isinstance(error, MigrationError):
            entry[1] = error.line()
        elif isinstance(error, LupinError) and tries > 1 and not self._stopped:
            # An answer that was lost too: it is decided anew on what stands there, so nothing is done twice.
            entry[1] = (
                "on its way, somebody else was first" if isinstance(error, ConflictError) else error.line()
            )
            at_ms = self._clock.now() + backoff.next_ms()
            call = self._clock.at(at_ms, lambda: self._try(entry, decide, backoff, tries - 1))
            self._calls.add(call)
        else:
            entry[1] = OrderLostError(f"{error}").line()
            if not isinstance(error, LupinError):
                log.error("an order failed inside", exc_info=error)
