"""Why the proxy closes clients' connections, and the log lines about it."""

from __future__ import annotations

import logging
import re
from enum import Enum

from lupinlink.net.log import LineLimit

log = logging.getLogger("lupinlink.net.clients")
MAX_IDS = 8  # in one log line
TRACE_ID = re.compile(rb"\nx-trace-id:[ \t]*([\x21-\x7e]{1,64})", re.IGNORECASE)


class CloseReason(Enum):
    """Why the proxy closes a client's connection."""

    ANSWERED = "last answer"  # the answer said that the connection closes
    IDLE = "idle too long"
    NO_REQUEST = "no request came"
    ROOM = "room for others"
    UNLIKELY_REUSE = "not likely to be used again"
    OUT_OF_SERVICE = "drain, handover or stop"
    REJECTED = "request not valid"
    CLIENT_LEFT = "client has left"
    CLIENT_STAYS = "client does not close after its last answer"
    NOT_READ = "answer not read by the client"
    ANSWER_BROKE = "answer broke off"


def identities(data: bytes) -> str:
    """The ids of the requests whose heads are in the data, as far as they can be told; comma-separated."""
    return ",".join(found.decode("ascii") for found in TRACE_ID.findall(data)[:MAX_IDS])


class CloseLog:
    """Logs closes at level debug, and at level warning the requests that are dropped by them."""

    def __init__(self) -> None:
        self._dropped_limit = LineLimit()

    def closed(self, reason: CloseReason, detail: str, address: str, identity: str, idle_ms: float) -> None:
        """A connection is closed; ``detail``: more on the reason; ``idle_ms``: since it was last read.

        ``identity``: of the last request that was submitted from it.
        """
        if log.isEnabledFor(logging.DEBUG):
            kv = {
                "why": reason.value,
                "detail": detail,
                "client": address,
                "last": identity,
                "idle_ms": int(idle_ms),
            }
            log.debug("client connection closed", extra={"kv": kv})

    def dropped(self, reason: CloseReason, data: bytes, since_ms: float, now: float) -> None:
        """Received data is thrown away; ``since_ms``: since the close was decided."""
        if events := self._dropped_limit.take(now):
            kv = {
                "why": reason.value,
                "ids": identities(b"\n" + data),
                "bytes": len(data),
                "closed_ms_ago": int(since_ms),
                "events": events,
            }
            log.warning("received data dropped by a close", extra={"kv": kv})
