"""A request from its receipt to its end, and the time that it has."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lupinlink.net.request_types import ClientRequest, EndReason, OpenAttempt, Responder

CLIENT_MARGIN_MS = 20.0  # the module's deadline is this much before the client's, for the answer's way back
# The time of a request counts from its last byte, which is still to come while its body is streamed. The
# client side ends an upload that stalls, and tells when the last byte may have been written unread; the
# module gets a deadline beyond the end of any upload.
UPLOAD_LIMIT_MS = 1_200_000.0
REQUEST_BYTES = 5 * 1024  # memory of the objects of one request, its attempt and its timers
FIELD_BYTES = 200  # memory of a field's objects beside its text


@dataclass(slots=True)
class OpenRequest:
    """A request, from its receipt until it is answered and no attempt of it is in flight."""

    request: ClientRequest
    responder: Responder | None  # None once it is answered or its client has left
    deadline: float
    guard_timer: int = 0
    attempts_in_flight: int = 0
    server: str = ""  # of the last attempt
    committed: bool = False  # its body cannot be sent again: the attempt in flight is the last one
    may_have_run: bool = False  # at least one attempt may have been executed by its server
    attempts: list[OpenAttempt] = field(default_factory=list)
    last_end: EndReason | None = None  # how its last attempt ended
    held_bytes: int = 0  # memory of its objects and its head


def memory_of(request: ClientRequest) -> int:
    """The memory that a request takes beside its body, in bytes."""
    text = sum(len(name) + len(value) for name, value in request.headers) + len(request.target)
    return REQUEST_BYTES + FIELD_BYTES * len(request.headers) + text


def time_left_ms(request: ClientRequest, waited_ms: float) -> float:
    """How long the module has from now to get an answer, in ms; never below 0.

    0 if it is unknown how long the request has waited, so that the module refuses it at once: a load
    balancer that has not noticed that this process died forwards the requests that it held, whose time
    may have run out (scenario herd+mass: held for 1.06 s with 0.668 s to live).
    """
    if math.isinf(waited_ms):
        return 0.0
    return max(0.0, max(request.expires_ms - CLIENT_MARGIN_MS, request.expires_ms / 2.0) - waited_ms)
