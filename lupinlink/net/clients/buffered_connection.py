"""A client's connection: what is read of it, and what is held for it."""

from __future__ import annotations

from twisted.internet.protocol import Protocol as Connection

from lupinlink.limits.delivery_progress import DeliveryProgress
from lupinlink.limits.idle_reuse import IdlePeriod
from lupinlink.limits.memory_sizes import sizes_at
from lupinlink.net import http1
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.memory import ConnectionMemory
from lupinlink.net.clients.owner import ConnectionOwner, IncomingRequest
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.read_pauses import PauseReason, ReadPauses
from lupinlink.net.socket_peek import peek
from lupinlink.net.twisted_types import Transport

TINY_CHUNKS_READ_BYTES = 1024
MIN_BODY_SHARE = 0.5  # of what is received; with less of it a body is in tiny chunks


class BufferedConnection(Connection):
    """One connection of a client: its state, its buffers and their part of the account of memory."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, clients: ConnectionOwner) -> None:
        self._clients = clients
        self._parser = http1.RequestParser(http1.MAX_MESSAGE)
        self._incoming: IncomingRequest | None = None
        self._closing = self._not_reading = False
        self._close_reason = CloseReason.CLIENT_LEFT  # once it is closing
        self._pauses = ReadPauses()
        self._delivery = DeliveryProgress()  # while its client does not read, or the connection closes
        self._memory = ConnectionMemory(clients.account)
        self._last_read_bytes = 0  # received in the last read
        self._sends_tiny_chunks = False
        self.phase: Phase | None = None
        self.since = 0.0  # when the phase began
        self.connected_at = self.last_read_at = clients.clock.now()
        self.has_requested = False  # a whole request was received on it
        self.address = ""
        self.read_bytes = 0  # received so far
        self.last_identity = ""  # of the last request that was submitted from it
        self.idle_period: IdlePeriod | None = None  # while it is idle between two requests
        self.handle = 0
        self.waited_ms = 0.0  # how long its first request may have waited unread; inf: unknown

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.set_read_size()
        self.transport.registerProducer(self, True)

    def set_read_size(self) -> None:
        """Read, and keep of an unsent answer, as much as the level of memory pressure allows."""
        size = sizes_at(self._clients.account.level).read
        self.transport.bufferSize = min(size, TINY_CHUNKS_READ_BYTES) if self._sends_tiny_chunks else size

    def _note_chunks(self, body_bytes: int) -> None:
        """Read less at a time of a body in tiny chunks: others wait while they are taken apart."""
        tiny = body_bytes < MIN_BODY_SHARE * self._last_read_bytes
        if tiny != self._sends_tiny_chunks:
            self._sends_tiny_chunks = tiny
            self.set_read_size()

    @property
    def received_bytes(self) -> int:
        """What is held of requests that have not come whole, or wait behind the open one."""
        body = self._incoming.request.body if self._incoming is not None else ()
        return self._memory.received_bytes + len(body)

    def reading_allowed(self) -> None:
        """Memory is not so short any more that parts of requests are not read on."""
        self._pauses.set(self.transport, PauseReason.MEMORY, False)

    def _peek(self) -> bool | None:
        """Whether unread data has arrived; None: the next to read is a close or an error."""
        byte = peek(self.transport)
        return None if byte == b"" else byte is not None

    def has_unread(self) -> bool:
        """Whether unread data has arrived."""
        return bool(self._peek())

    def _has_more(self) -> bool:
        """Whether more has arrived behind the request that is being answered."""
        return self._parser.started() or self.has_unread()

    @property
    def begun(self) -> bool:
        """Whether part of a request has been received."""
        return self._parser.started()
