"""Log lines that follow one request by its id: attempts, refusals and failures.

At level debug each has a line. At level info there is at most one a second for each reason, with the number
of events since the last one. How an attempt ended is logged by ``net.application_servers.attempts``.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from enum import Enum

from lupinlink.clock import Clock
from lupinlink.net.log import LineLimit
from lupinlink.net.request_types import ClientRequest, EndReason, FailureReason, RefusalReason

log = logging.getLogger("lupinlink.net.proxy")


class RequestLog:
    """Logs what becomes of requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: defaultdict[Enum, LineLimit] = defaultdict(LineLimit)

    def attempt_began(self, request: ClientRequest, number: int, server: str) -> None:
        """An attempt starts; ``number``: 0 for the first, a retry from 1 on."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug("attempt", extra={"kv": {"id": request.identity, "attempt": number, "server": server}})

    def refused(self, request: ClientRequest, why: RefusalReason, cause: str) -> None:
        """A request is refused; ``cause``: the decision module's, else empty."""
        self._show("request refused", request, why, {"cause": cause})

    def failed(
        self, request: ClientRequest, why: FailureReason, last: EndReason | None = None, server: str = ""
    ) -> None:
        """A request is answered as failed; ``last``: how its last attempt ended, at ``server``."""
        kv = {"last": last.value, "server": server} if last is not None else {}
        self._show("request failed", request, why, kv)

    def _show(
        self,
        message: str,
        request: ClientRequest,
        why: FailureReason | RefusalReason,
        more: dict[str, str],
    ) -> None:
        kv = {"id": request.identity, "why": why.value, **more}
        if log.isEnabledFor(logging.DEBUG):
            log.debug(message, extra={"kv": kv})
        elif log.isEnabledFor(logging.INFO) and (events := self._limits[why].take(self._clock.now())):
            log.info(message, extra={"kv": {**kv, "events": events}})
