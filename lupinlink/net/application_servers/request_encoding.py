"""Encodes a request for an application server; its head tells the time that is left when it is sent."""

from __future__ import annotations

from lupinlink.net import http1
from lupinlink.net.bodies import SMALL_BODY_BYTES, Body
from lupinlink.net.request_types import ClientRequest

REPLACED_HEADERS = ("x-expires-in-ms", "host")


def encode_request(request: ClientRequest, host: str, left_ms: float) -> tuple[bytes, Body | None]:
    """The bytes to write first, and the body to send after them; None if they include all of the body."""
    body = request.body
    headers = [(n, v) for n, v in request.headers if n.lower() not in REPLACED_HEADERS]
    waits = left_ms if body.complete else min(left_ms, request.expires_ms)  # counts from the last byte
    headers += [("Host", host), ("X-Expires-In-Ms", str(max(1, int(waits))))]
    length = body.end if body.complete else http1.CHUNKED if body.length is None else body.length
    head = http1.request_head(request.method, request.target, headers, length)
    if body.complete and body.end <= SMALL_BODY_BYTES:
        return head + body.read(0, body.end), None
    if body.complete:
        body.length = body.end  # sent with a Content-Length, even if it was received in chunks
    return head, body
