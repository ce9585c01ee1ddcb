"""Validates the head of a client's request and turns it into a ClientRequest. No I/O."""

from __future__ import annotations

from lupinlink.net import http1
from lupinlink.net.bodies import Body
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.request_types import ClientRequest
from lupinlink.settings import Effect, Settings

ALWAYS_FORWARDED = {"x-trace-id", "idempotency-key"}


class RequestReader:
    """Reads requests, with the classes and tenants of the settings."""

    def __init__(self, settings: Settings, budget: BodyBudget) -> None:
        self._settings, self._budget = settings, budget
        self._classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name: i for i, t in enumerate(settings.tenants)}

    def read(self, message: http1.Message, path: str) -> ClientRequest:
        """The request with this head, without its body; raises MessageError if it is not valid."""
        if message.method not in ("GET", "HEAD", "POST"):
            raise http1.MessageError(405, "method not allowed")
        parts = path.split("/")
        index = self._classes.get(parts[1])
        if index is None:
            raise http1.MessageError(404, "unknown class")
        cls = self._settings.classes[index]
        # An id that is given twice is useless: application servers may take either for finding duplicates.
        trace, key = message.get("x-trace-id"), message.get("idempotency-key")
        if not trace or "," in trace:
            raise http1.MessageError(400, "no X-Trace-Id")
        if (cls.effect == Effect.KEYED and not key) or "," in (key or ""):
            raise http1.MessageError(400, "no Idempotency-Key")
        text = message.get("x-expires-in-ms")
        expires = cls.deadline_ms
        if text is not None:
            if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) == 0:
                raise http1.MessageError(400, "malformed X-Expires-In-Ms")
            expires = min(float(text), expires)
        # Hop-by-hop headers, and those that Connection names, are not forwarded; the two ids always are.
        own = (http1.HOP_BY_HOP | message.options()) - ALWAYS_FORWARDED
        return ClientRequest(
            trace,
            index,
            self._tenants.get(message.get("x-customer") or "", -1) if self._tenants else 0,
            expires,
            message.get("x-second-try") == "1",
            message.method,
            message.target,
            [(n, v) for n, v in message.headers if n.lower() not in own],
            Body(self._budget, None),
            parts[-1] if len(parts) > 2 else "",
        )
