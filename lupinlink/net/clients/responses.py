"""Answers on their way to a client: whole, or passed on as they come; and whether it stays after one."""

from __future__ import annotations

import socket
from contextlib import suppress

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.net import http1
from lupinlink.net.bodies import ResponseStream
from lupinlink.net.clients.connection import ClientConnection, ConnectionOwner
from lupinlink.net.request_types import FailureReason, Reply

FLOW_SEND_BYTES = 128 * 1024  # of such an answer in the kernel: beyond it nobody could tell who does not read
STATUS = {
    FailureReason.NOT_SERVED: 502,
    FailureReason.TOO_LATE: 504,
    FailureReason.INTERNAL: 500,
    FailureReason.DUPLICATE: 409,
}


@implementer(IPushProducer)
class RespondingConnection(ClientConnection):
    """ClientSide of the proxy: takes the one answer of the request that is open.

    As a push producer it takes no further request while its answers are not read: a silent peer must
    not fill the memory.
    """

    def __init__(self, clients: ConnectionOwner) -> None:
        super().__init__(clients)
        self._request: int | None = None  # the handle of the request that is open
        self._waiting = False  # an answer is owed, or on its way
        self._flow: ResponseStream | None = None  # the answer that is being passed on
        self._chunked = False  # in what form
        self._keep = True  # the client means the connection to stay
        self._minor = 1  # the version of HTTP/1 that it speaks
        self._only_head = False  # of the answer is asked for

    def _advance(self) -> None:
        """Take the next request if none is open."""
        raise NotImplementedError

    def pauseProducing(self) -> None:
        self._not_reading, self.not_reading_since = True, self._clients.clock.now()
        if self._flow is not None:
            self._flow.pause()

    def resumeProducing(self) -> None:
        self._not_reading = False
        if self._flow is not None:
            self._flow.resume()
        else:
            self._advance()

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def served(self, reply: Reply) -> None:
        if reply.flow is not None:
            self._pass_on(reply, reply.flow)
        else:
            self._answer(200, reply.headers, reply.body, reply.length)

    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None:
        after = [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else []
        self._answer(429 if over_quota else 503, after)

    def failed(self, why: FailureReason) -> None:
        self._answer(STATUS[why], [("Content-Type", "text/plain")], f"{why.value}\n".encode())

    def _answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b"", length: int | None = None
    ) -> None:
        if not self._waiting:
            return
        self._waiting, self._request = False, None
        self._clients.counters[f"answers_{status}"] += 1
        uploading = self._intake is not None
        stay = self._keep and not uploading and self._clients.keeps(self)
        if self._only_head:
            self.transport.write(http1.response_head(status, headers, length, close=not stay))
        else:
            self.transport.write(http1.response(status, headers, body, close=not stay))
        if stay:
            self._advance()
        else:
            self.close()

    def _pass_on(self, reply: Reply, flow: ResponseStream) -> None:
        """Pass an answer on as it comes; whether its connection stays is told in its head."""
        if not self._waiting:
            flow.stop()
            return
        self._request = None
        self._clients.counters["answers_200"] += 1
        self._clients.streaming[self] = None
        length = flow.length if flow.length is not None else http1.CHUNKED if self._minor else None
        self._chunked = length == http1.CHUNKED
        self._keep = self._keep and length is not None and self._clients.keeps(self)
        self._flow = flow
        flow.on_data, flow.on_end, flow.on_error = self._flow_data, self._flow_ended, self.abort
        with suppress(OSError, AttributeError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, FLOW_SEND_BYTES)
        self.transport.write(http1.response_head(200, reply.headers, length, close=not self._keep))
        self._flow_data(reply.body)

    def _flow_data(self, data: bytes) -> None:
        if data and self._flow is not None:
            self._flow.sent_bytes += len(data)
            self.transport.write(http1.chunk(data) if self._chunked else data)

    def _flow_ended(self) -> None:
        if self._flow is None:
            return
        if self._chunked:
            self.transport.write(http1.LAST_CHUNK)
        self._flow, self._waiting = None, False
        self._clients.streaming.pop(self, None)
        if self._keep:
            self._advance()
        else:
            self.close()
