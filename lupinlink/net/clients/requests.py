"""Requests as a client sends them: one at a time, its body whole or as it comes, to the decisions."""

from __future__ import annotations

import logging

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as Reason

from lupinlink.limits.body_progress import BodyProgress
from lupinlink.net import http1
from lupinlink.net.clients.connection import ConnectionOwner, IncomingRequest
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.responses import RespondingConnection
from lupinlink.net.request_types import ClientRequest, FailureReason

log = logging.getLogger("lupinlink.net.clients")
SENT_AHEAD = 8 * 1024  # bytes of further requests that may wait behind one: clients send one at a time
# Bytes read and dropped for the sake of a client that writes before it reads.
DISCARDED = 2 * http1.MAX_MESSAGE
TOO_MANY = "too many requests sent ahead"


class Http1ClientConnection(RespondingConnection):
    """One connection of a client; one request at a time."""

    def __init__(self, clients: ConnectionOwner) -> None:
        super().__init__(clients)
        self._advancing = self._overrun = False
        self._discarded = 0

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self._clients.clock.now()
        if self._deaf or self._overrun:
            self._discard(len(data))
            return
        self._parser.feed(data)
        self._advance()

    def _discard(self, count: int) -> None:
        """What comes behind a last answer, or too far ahead of one, is of no use; its sender's end is.

        Danger: left unread, a client that has gone would keep its request here, to be sent on for nobody.
        """
        self._discarded += count
        if self._discarded <= DISCARDED:
            return
        if self._overrun and not self._deaf and self._flow is None:
            self._discarded = 0
            self.reject(400, TOO_MANY)  # this ends the request that is open, too
        else:
            self.transport.pauseProducing()

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        self._deaf = True
        self._clients.lost(self)
        self._drop_all()

    def _drop_all(self) -> None:
        """Nothing more is taken or passed on here."""
        intake, self._intake = self._intake, None
        request, self._request = self._request, None
        flow, self._flow = self._flow, None
        self._clients.streaming.pop(self, None)
        self._clients.uploading.pop(self, None)
        owed, self._waiting = self._waiting, False
        if owed and request is not None:
            self._clients.proxy.client_left(request)
        if intake is not None:
            intake.call.body.abort()
            intake.call.body.discard()
        if flow is not None:
            flow.stop()

    def bytes_to_go(self) -> tuple[int, int]:
        """Bytes still to go of a long answer or of a body that comes, and how many of both do not tell."""
        told, untold = 0, 0
        if self._flow is not None and self._flow.length is not None:
            told = max(0, self._flow.length - self._flow.sent_bytes) + int(self._still_to_read())
        elif self._flow is not None:
            untold = 1
        body = self._intake.call.body if self._intake is not None else None
        if body is not None and body.length is not None:
            told += max(0, body.length - body.end)
        elif body is not None:
            untold += 1
        return told, untold

    def _advance(self) -> None:
        """Take the next request if none is open; calls from within leave the work to the outer one."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while not self._deaf and (self._intake is not None or not (self._waiting or self._not_reading)):
                message = self._parser.next()
                ahead = message is not None and len(self._parser.buffer) > SENT_AHEAD
                if self._overrun or ahead:
                    raise http1.MessageError(400, TOO_MANY)
                if message is None:
                    if self._parser.head is not None:
                        self._receive(self._parser.head)
                    break
                self.asked = True
                self._clients.enter(self, Phase.OPEN, anew=self._intake is None)
                if self._intake is None:
                    self._take(message)
                else:
                    self._received(self._intake, message.body)
        except http1.MessageError as exc:
            self.reject(exc.status, str(exc))
        except Exception:
            log.exception("request failed inside")
            self._clients.counters["internal_errors"] += 1
            self.reject(500, FailureReason.INTERNAL.value)
        finally:
            self._advancing = False
        if self._deaf:
            return
        if not self._waiting:
            # Counted from the first byte: a peer that drips bytes must not hold its connection for ever.
            begun = Phase.HEAD if self._intake is None else Phase.BODY
            rests = Phase.RESTING if self.asked else Phase.SILENT
            self._clients.enter(self, begun if self._parser.started() else rests)
        if self._intake is None and (self._waiting or self._not_reading):
            # It is told so once the request that is open has its answer; nothing that it sends is taken.
            self._overrun = self._overrun or len(self._parser.buffer) > SENT_AHEAD

    def _take(self, message: http1.Message) -> None:
        self._know(message)
        path = message.target.partition("?")[0]
        if path == "/up" and message.method in ("GET", "HEAD"):
            ready = self._clients.ready
            self._waiting = True
            self._answer(200 if ready else 503, [("Content-Type", "text/plain")], b"up\n" if ready else b"")
            return
        call = self._read(message, path)
        call.body.add(message.body)
        call.body.finish()
        self._give(call)

    def _read(self, message: http1.Message, path: str) -> ClientRequest:
        """The call, with how long it may have waited unread: only the first of a connection can have."""
        call = self._clients.read(message, path)
        call.address = self.address
        call.waited_ms, self.held_ms = self.held_ms, 0.0
        return call

    def _know(self, head: http1.Message) -> None:
        # An older client takes an answer for ended only when the connection is.
        self._keep = head.version == 1 and head.keeps_open()
        self._minor, self._only_head = head.version, head.method == "HEAD"

    def _give(self, call: ClientRequest) -> None:
        """To the decisions, unless its client has closed already: for nobody, nothing is sent on."""
        if call.body.complete and self.has_left():
            self._clients.counters["left_unheard"] += 1
            self._deaf = True  # its end is read next
            call.body.discard()
            return
        self._waiting, self._request = True, None
        request = self._clients.proxy.submit(call, self)
        if self._waiting:
            self._request = request
        else:
            call.body.discard()

    def _receive(self, head: http1.Message) -> None:
        """A head is here, and a body that is not whole yet."""
        now = self._clients.clock.now()
        intake = self._intake
        if intake is None:
            self._know(head)
            call = self._read(head, head.target.partition("?")[0])
            call.body.length = self._parser.length
            intake = self._intake = IncomingRequest(call, BodyProgress(now))
            call.body.on_room = lambda: self._go_on(intake)
            if (head.get("expect") or "").lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, data = intake.call.body, self._parser.take_body()
        if data:
            intake.progress.received(len(data), now)
            body.add(data)
        if not self._waiting:
            if self._clients.budget.exceeded:
                raise http1.MessageError(503, "no room for this request now")
            if body.is_large:
                self._clients.counters["bodies_flowing"] += 1
                self.asked = True
                self._clients.enter(self, Phase.OPEN)
                self._clients.uploading[self] = None
                self._give(intake.call)
        if body.full and self._intake is not None:
            intake.progress.pause(now)
            self._read_on("body", False)

    def _go_on(self, intake: IncomingRequest) -> None:
        """There is room for more of the body."""
        if self._intake is intake:
            intake.progress.resume(self._clients.clock.now())
            self._read_on("body", True)

    def _received(self, intake: IncomingRequest, data: bytes) -> None:
        """The last byte of a body is here."""
        self._intake = None
        self._clients.uploading.pop(self, None)
        self._read_on("body", True)
        intake.call.body.add(data)
        intake.call.body.finish()
        if not self._waiting:
            self._give(intake.call)
        elif self._request is not None:
            self._clients.proxy.body_completed(self._request)
