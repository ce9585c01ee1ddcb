"""A request as it is written to an application server: its head tells the time that is left then."""

from __future__ import annotations

from lupinlink.net import http1
from lupinlink.net.bodies import SMALL_BODY_BYTES, Body
from lupinlink.net.request_types import ClientRequest

REPLACED = ("x-expires-in-ms", "host")


def encode_request(call: ClientRequest, host: str, left_ms: float) -> tuple[bytes, Body | None]:
    """What goes out first, and the body that follows it as it comes: None where all of it is in the first."""
    body = call.body
    headers = [(n, v) for n, v in call.headers if n.lower() not in REPLACED]
    waits = left_ms if body.complete else call.expires_ms  # which counts from the last byte
    headers += [("Host", host), ("X-Expires-In-Ms", str(max(1, int(waits))))]
    length = body.end if body.complete else http1.CHUNKED if body.length is None else body.length
    head = http1.request_head(call.method, call.target, headers, length)
    if body.complete and body.end <= SMALL_BODY_BYTES:
        return head + body.read(0, body.end), None
    if body.complete:
        body.length = body.end  # told now, however it was told before
    return head, body
