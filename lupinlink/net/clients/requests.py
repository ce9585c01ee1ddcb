"""Receives the requests of a client over HTTP/1.1 and submits them to the proxy, one at a time."""

from __future__ import annotations

import logging

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as Reason

from lupinlink.limits.memory_account import MemoryLevel
from lupinlink.limits.memory_sizes import LEAST
from lupinlink.net import http1
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.owner import ConnectionOwner
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.read_pauses import PauseReason
from lupinlink.net.clients.uploads import UploadingConnection
from lupinlink.net.request_types import FailureReason

log = logging.getLogger("lupinlink.net.clients")
MAX_PIPELINED_BYTES = 8 * 1024  # of further requests behind the open one; clients send one at a time
# Read and discarded of a connection that is closing, for clients that write everything before they read.
MAX_DISCARDED_BYTES = 2 * http1.MAX_MESSAGE
TOO_MANY_PIPELINED = "too many requests sent ahead"


class Http1ClientConnection(UploadingConnection):
    """One HTTP/1.1 connection of a client; handles one request at a time."""

    def __init__(self, clients: ConnectionOwner) -> None:
        super().__init__(clients)
        self._advancing = self._sent_too_much = False
        self._discarded = 0

    def dataReceived(self, data: bytes) -> None:
        self.last_read_at = self._clients.clock.now()
        if self._closing or self._sent_too_much:
            if self._closing and self._close_reason is not CloseReason.REJECTED:
                self._log_dropped(self._close_reason, data, self.last_read_at - self.since)
            self._discard(len(data))
            return
        self.read_bytes += len(data)
        self._last_read_bytes = len(data)
        self._parser.feed(data)
        self._advance()

    def _count_received(self) -> None:
        """Count what is held of requests; while memory is short, read on only once little of them is."""
        self._memory.holds_received(0 if self._closing else self._parser.held())
        if self._closing:
            return
        short = self._clients.account.level >= MemoryLevel.REFUSE and self._incoming is None
        pauses = short and self.received_bytes >= LEAST.read
        self._pauses.set(self.transport, PauseReason.MEMORY, pauses)

    def _discard(self, count: int) -> None:
        """Discard data that follows the last answer, or too many pipelined requests.

        It is still read up to a limit: otherwise the close of a client would go unnoticed, and its open
        request would be sent on for nobody.
        """
        self._discarded += count
        if self._discarded <= MAX_DISCARDED_BYTES:
            return
        if self._sent_too_much and not self._closing and self._stream is None:
            self._discarded = 0
            self.reject(400, TOO_MANY_PIPELINED)  # this ends the request that is open, too
        else:
            self.transport.pauseProducing()

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        self._closing = True
        self._memory.release()
        self._clients.connection_lost(self)
        self._release_all()

    def _release_all(self) -> None:
        """Drop the open request, its body and its streamed answer."""
        incoming, self._incoming = self._incoming, None
        handle, self._open_handle = self._open_handle, None
        stream, self._stream = self._stream, None
        self._clients.streaming.pop(self, None)
        self._clients.uploading.pop(self, None)
        owed, self._waiting = self._waiting, False
        if owed and handle is not None:
            self._clients.proxy.client_left(handle)
        if incoming is not None:
            incoming.request.body.abort()
            incoming.request.body.discard()
        if stream is not None:
            stream.stop()

    def bytes_to_go(self) -> tuple[int, int]:
        """The bytes left of the streamed answer and the request body, and how many of them lack a length."""
        told, untold = 0, 0
        if self._stream is not None and self._stream.length is not None:
            told = max(0, self._stream.length - self._stream.sent_bytes) + int(self._unread_by_client())
        elif self._stream is not None:
            untold = 1
        body = self._incoming.request.body if self._incoming is not None else None
        if body is not None and body.length is not None:
            told += max(0, body.length - body.end)
        elif body is not None:
            untold += 1
        return told, untold

    def _advance(self) -> None:
        """Take the next request if none is open; a nested call leaves that to the outer one."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while not self._closing and (
                self._incoming is not None or not (self._waiting or self._not_reading)
            ):
                message = self._parser.next()
                ahead = message is not None and len(self._parser.buffer) > MAX_PIPELINED_BYTES
                if self._sent_too_much or ahead:
                    raise http1.MessageError(400, TOO_MANY_PIPELINED)
                if message is None:
                    if self._parser.head is not None:
                        self._receive_body(self._parser.head)
                    break
                self.has_requested = True
                self._clients.set_phase(self, Phase.OPEN, anew=self._incoming is None)
                if self._incoming is None:
                    self._take(message)
                else:
                    self._body_complete(self._incoming, message.body)
        except http1.MessageError as exc:
            self.reject(exc.status, str(exc))
        except Exception:
            log.exception("request failed inside")
            self._clients.counters["internal_errors"] += 1
            self.reject(500, FailureReason.INTERNAL.value)
        finally:
            self._advancing = False
            self._count_received()
        if self._closing:
            return
        if not self._waiting:
            # Timed from the first byte, so that a client cannot keep it by sending a byte now and then.
            begun = Phase.HEAD if self._incoming is None else Phase.BODY
            rests = Phase.RESTING if self.has_requested else Phase.SILENT
            self._clients.set_phase(self, begun if self._parser.started() else rests)
        if self._incoming is None and (self._waiting or self._not_reading):
            # Rejected once the open request is answered; nothing more that the client sends is used.
            self._sent_too_much = self._sent_too_much or len(self._parser.buffer) > MAX_PIPELINED_BYTES

    def _take(self, message: http1.Message) -> None:
        self._note_head(message)
        path = message.target.partition("?")[0]
        if path == "/up" and message.method in ("GET", "HEAD"):
            ready = self._clients.ready
            self._waiting = True
            self._answer(200 if ready else 503, [("Content-Type", "text/plain")], b"up\n" if ready else b"")
            return
        try:
            request = self._read(message, path)
        except http1.MessageError as exc:
            self._answer_invalid(exc)
            return
        request.body.add(message.body)
        request.body.finish()
        self._submit(request)

    def _answer_invalid(self, error: http1.MessageError) -> None:
        """Answer a request that came whole and is not valid; those behind it are taken as usual."""
        self._clients.counters[f"rejected_{error.status}"] += 1
        self._waiting = True
        self._answer(error.status, [("Content-Type", "text/plain")], f"{error}\n".encode(), closes=True)
