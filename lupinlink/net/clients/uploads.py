"""Receives a request's body, and submits a large one before its end."""

from __future__ import annotations

from lupinlink.limits.body_progress import BodyProgress
from lupinlink.limits.upload_time import UploadTime
from lupinlink.net import http1
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.owner import IncomingRequest
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.read_pauses import PauseReason
from lupinlink.net.clients.responses import RespondingConnection
from lupinlink.net.request_types import ClientRequest
from lupinlink.net.socket_peek import peer_has_ended, receives_whole_segments, unread_bytes


class UploadingConnection(RespondingConnection):
    """The request that is being received on this connection."""

    def _read(self, message: http1.Message, path: str) -> ClientRequest:
        """The request, with how long it may have waited; only the first one of a connection can have."""
        request = self._clients.read_request(message, path)
        request.address = self.address
        request.waited_ms, self.waited_ms = self.waited_ms, 0.0
        return request

    def _note_head(self, head: http1.Message) -> None:
        # An HTTP/1.0 client may rely on the close of the connection to find the end of its answer.
        self._keep_open = head.version == 1 and head.keeps_open()
        self._minor, self._head_request = head.version, head.method == "HEAD"

    def _submit(self, request: ClientRequest) -> None:
        """Submit a request to the proxy, unless its client has closed the connection already."""
        if request.body.complete and self.has_left():
            self._clients.counters["left_unheard"] += 1
            self._closing = True  # the close is read next
            request.body.discard()
            return
        self._waiting, self._open_handle = True, None
        self.last_identity = request.identity
        handle = self._clients.proxy.submit(request, self)
        if self._waiting:
            self._open_handle = handle
        else:
            request.body.discard()

    def _receive_body(self, head: http1.Message) -> None:
        """Receive part of a body; submits the request once the body is too large to be buffered whole."""
        now = self._clients.clock.now()
        incoming = self._incoming
        if incoming is None:
            self._note_head(head)
            request = self._read(head, head.target.partition("?")[0])
            request.body.length = self._parser.length
            incoming = self._incoming = IncomingRequest(request, BodyProgress(now), UploadTime())
            request.body.on_room = lambda: self._resume_body(incoming)
            if (head.get("expect") or "").lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, data = incoming.request.body, self._parser.take_body()
        if data:
            if incoming.request.body.length is None:
                self._note_chunks(len(data))
            incoming.progress.received(len(data), now)
            body.add(data)
        if not self._waiting:
            if self._clients.budget.exceeded:
                raise http1.MessageError(503, "no room for this request now")
            if body.is_large:
                self._clients.counters["bodies_flowing"] += 1
                self.has_requested = True
                self._clients.set_phase(self, Phase.OPEN)
                self._clients.uploading[self] = None
                self._submit(incoming.request)
        if body.full and self._incoming is not None:
            incoming.progress.pause(now)
            body.pause()
            self._pauses.set(self.transport, PauseReason.BODY, True)
        self.observe_unread(now)

    def _resume_body(self, incoming: IncomingRequest) -> None:
        """Read on, as the body's buffer has room again."""
        if self._incoming is incoming:
            incoming.progress.resume(self._clients.clock.now())
            self._pauses.set(self.transport, PauseReason.BODY, False)

    def _body_complete(self, incoming: IncomingRequest, data: bytes) -> None:
        """Complete a body with its last bytes."""
        self._note_chunks(self._last_read_bytes)
        self._incoming = None
        self._clients.uploading.pop(self, None)
        self._pauses.set(self.transport, PauseReason.BODY, False)
        incoming.request.body.add(data)
        incoming.request.body.finish()
        if not self._waiting:
            self._submit(incoming.request)
        elif self._open_handle is not None:
            self._clients.proxy.body_completed(self._open_handle, incoming.time.since)

    def observe_unread(self, now: float) -> None:
        """Look whether the rest of the body may have been written, though it cannot be read at present."""
        incoming = self._incoming
        if incoming is None or self._open_handle is None:
            return
        body, before = incoming.request.body, incoming.time.since
        if not self._pauses and before is None:
            return  # it is read as it arrives
        if peer_has_ended(self.transport):
            self.abort(CloseReason.CLIENT_LEFT)
            return
        missing = None if body.length is None else body.length - body.end
        # In this order: what arrives in between makes the window smaller, never larger.
        unread, is_open = unread_bytes(self.transport), receives_whole_segments(self.transport)
        incoming.time.observe(now, self.read_bytes, unread, missing, is_open)
        if incoming.time.since != before:
            self._clients.proxy.body_may_be_complete(self._open_handle, incoming.time.since)
