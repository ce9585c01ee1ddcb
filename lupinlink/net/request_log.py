"""Log lines, at level debug, that follow one request by its id: attempts, refusals and failures.

How an attempt ended is logged by ``net.application_servers.attempts``.
"""

from __future__ import annotations

import logging

from lupinlink.net.request_types import ClientRequest, FailureReason, RefusalReason

log = logging.getLogger("lupinlink.net.proxy")


def attempt_began(request: ClientRequest, number: int, server: str) -> None:
    """An attempt starts; ``number``: 0 for the first, a retry from 1 on."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug("attempt", extra={"kv": {"id": request.identity, "attempt": number, "server": server}})


def refused(request: ClientRequest, why: RefusalReason, cause: str) -> None:
    """A request is refused; ``cause``: the decision module's, else empty."""
    if log.isEnabledFor(logging.DEBUG):
        kv = {"id": request.identity, "why": why.value, "cause": cause}
        log.debug("request refused", extra={"kv": kv})


def failed(request: ClientRequest, why: FailureReason) -> None:
    """A request is answered as failed."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug("request failed", extra={"kv": {"id": request.identity, "why": why.value}})
