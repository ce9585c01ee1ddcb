"""Sends answers to a client, whole or streamed, and closes or keeps its connection afterwards."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.net import http1
from lupinlink.net.bodies import ResponseStream
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.connection import ClientConnection
from lupinlink.net.clients.owner import ConnectionOwner
from lupinlink.net.request_types import FailureReason, Reply

# The kernel's buffer for a streamed answer: with a larger one, a client that does not read goes unnoticed.
SEND_BUFFER_BYTES = 128 * 1024
STATUS_OF_FAILURE = {
    FailureReason.NOT_SERVED: 502,
    FailureReason.TOO_LATE: 504,
    FailureReason.INTERNAL: 500,
    FailureReason.DUPLICATE: 409,
}


@implementer(IPushProducer)
class RespondingConnection(ClientConnection):
    """The Responder of the request that is open on this connection.

    As a push producer it takes no further request while the client does not read its answers, which would
    otherwise fill the memory.
    """

    def __init__(self, clients: ConnectionOwner) -> None:
        super().__init__(clients)
        self._open_handle: int | None = None  # the handle of the request that is open
        self._waiting = False  # a request is not answered yet, or its answer is being streamed
        self._stream: ResponseStream | None = None  # the answer that is being streamed
        self._chunked = False  # whether it is sent in chunks
        self._keep_open = True  # whether the client wants the connection to be kept open
        self._minor = 1  # of HTTP/1, as the client speaks it
        self._head_request = False  # it asked for an answer without its body

    def _advance(self) -> None:
        """Take the next request if none is open."""
        raise NotImplementedError

    def pauseProducing(self) -> None:
        self._not_reading = True
        self._delivery.restart(self._clients.clock.now(), self._unread_by_client())
        if self._stream is not None:
            self._stream.pause()

    def resumeProducing(self) -> None:
        self._not_reading = False
        if self._stream is not None:
            self._stream.resume()
        else:
            self._advance()

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def served(self, reply: Reply) -> None:
        if reply.stream is not None:
            self._start_stream(reply, reply.stream)
        else:
            self._answer(200, reply.headers, reply.body, reply.length)

    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None:
        after = [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else []
        self._answer(429 if over_quota else 503, after)

    def failed(self, why: FailureReason) -> None:
        self._answer(STATUS_OF_FAILURE[why], [("Content-Type", "text/plain")], f"{why.value}\n".encode())

    def _answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        length: int | None = None,
        closes: bool = False,
    ) -> None:
        """Answer the open request; ``closes``: the connection closes, unless more requests have arrived."""
        if not self._waiting:
            return
        self._waiting, self._open_handle = False, None
        self._clients.counters[f"answers_{status}"] += 1

        def encode(close: bool) -> bytes:
            if self._head_request:
                return http1.response_head(status, headers, length, close)
            return http1.response(status, headers, body, close)

        if self._begin_answer(encode, self._keep_open and self._incoming is None, closes):
            self._advance()
        else:
            self.close(CloseReason.ANSWERED)

    def _begin_answer(self, encode: Callable[[bool], bytes], may_stay: bool, closes: bool = False) -> bool:
        """Write an answer, or its head; returns whether the connection is kept open after it.

        ``encode``: takes whether it says that the connection closes. It does not while more requests have
        arrived, as those would be lost; nothing that takes long may come between that look and the write.
        """
        stays = may_stay and not closes and self._clients.keeps_open(self)
        answer = encode(not stays)
        if may_stay and not stays and self._has_more():
            stays, answer = True, encode(False)
        self._write(answer)
        return stays

    def _start_stream(self, reply: Reply, stream: ResponseStream) -> None:
        """Start to stream an answer; its head says whether the connection is kept open."""
        if not self._waiting:
            stream.stop()
            return
        self._open_handle = None
        self._clients.counters["answers_200"] += 1
        self._clients.streaming[self] = None
        length = stream.length if stream.length is not None else http1.CHUNKED if self._minor else None
        self._chunked = length == http1.CHUNKED
        self._stream = stream
        stream.on_data, stream.on_end, stream.on_error = (
            self._stream_data,
            self._stream_ended,
            self._stream_broke,
        )
        with suppress(OSError, AttributeError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._keep_open = self._begin_answer(
            lambda close: http1.response_head(200, reply.headers, length, close),
            self._keep_open and length is not None,
        )
        self._stream_data(reply.body)

    def _stream_broke(self) -> None:
        self.abort(CloseReason.ANSWER_BROKE)

    def _stream_data(self, data: bytes) -> None:
        if data and self._stream is not None:
            self._stream.sent_bytes += len(data)
            self._write(http1.chunk(data) if self._chunked else data)

    def _stream_ended(self) -> None:
        if self._stream is None:
            return
        if self._chunked:
            self._write(http1.LAST_CHUNK)
        self._stream, self._waiting = None, False
        self._clients.streaming.pop(self, None)
        if self._keep_open:
            self._advance()
        else:
            self.close(CloseReason.ANSWERED)
