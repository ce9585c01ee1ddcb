"""HTTP/1.1: incremental parsers for requests and responses; re-exports the writers. Performs no I/O."""

from __future__ import annotations

import re

from lupinlink.net.http1_chunks import whole_chunks
from lupinlink.net.http1_fields import add_fields
from lupinlink.net.http1_lines import HEAD_END, LINE_END, EndFinder
from lupinlink.net.http1_messages import HOP_BY_HOP as HOP_BY_HOP
from lupinlink.net.http1_messages import Message as Message
from lupinlink.net.http1_messages import MessageError as MessageError
from lupinlink.net.http1_start_lines import answer_with, request_with
from lupinlink.net.http1_writers import CHUNKED as CHUNKED
from lupinlink.net.http1_writers import LAST_CHUNK as LAST_CHUNK
from lupinlink.net.http1_writers import REASONS as REASONS
from lupinlink.net.http1_writers import chunk as chunk
from lupinlink.net.http1_writers import request as request
from lupinlink.net.http1_writers import request_head as request_head
from lupinlink.net.http1_writers import response as response
from lupinlink.net.http1_writers import response_head as response_head

REQUEST_TIMEOUT = 408  # some servers say so before they close an idle connection (RFC 9110, 15.5.9)
MAX_HEAD, MAX_BODY, MAX_HEADERS = 16 * 1024, 64 * 1024, 100  # bytes, bytes, fields
PARSED_FIELD_BYTES = 400  # memory of a field's objects beside its text, in a message that is being parsed
MAX_CHUNK_LINE = 4096  # a chunk size with its extensions, or a trailer line
MAX_MESSAGE = 32 * 1024 * 1024  # body of a message that is streamed

CHUNK_SIZE = re.compile(rb"0{0,16}([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")


class Parser:
    """Is fed bytes and returns complete messages, one at a time.

    ``max_held``: bytes of a body that are buffered; ``max_body``: of a whole body, if ``take_body`` is used.
    """

    def __init__(self, max_held: int = MAX_BODY, max_body: int | None = None) -> None:
        self.buffer = bytearray()
        self.head: Message | None = None  # of the message that is being parsed
        self.head_bytes = 0  # memory that its head takes
        self.body_received = 0  # bytes of its body so far
        self.length: int | None = None  # of its body, as declared; None: unknown until its end
        self._max_held, self._max_body = max_held, max_held if max_body is None else max_body
        self._body = bytearray()
        self._trailer = 0
        self._chunked = False
        # Bytes left of this chunk; next is: a size line (-1), trailers (-2), the chunk's CRLF (-3).
        self._chunk = -1
        self._ends = EndFinder()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def started(self) -> bool:
        """Whether part of a message has been received."""
        return self.head is not None or bool(self.buffer)

    def size(self) -> int:
        """Bytes buffered here."""
        return len(self.buffer) + len(self._body)

    def held(self) -> int:
        """Bytes of memory that the message takes here."""
        return self.size() + self.head_bytes

    def next(self) -> Message | None:
        """The next complete message, None if more bytes are needed. Raises MessageError."""
        if self.head is None and not self._read_head():
            return None
        if self._chunked:
            whole = self._read_chunks()
        elif self.length is None:
            self._keep(len(self.buffer))
            whole = False
        else:
            self._keep(min(self.length - self.body_received, len(self.buffer)))
            whole = self.body_received == self.length
        return self._done() if whole else None

    def take_body(self) -> bytes:
        """The bytes of the body since the last call, for bodies that are streamed."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def eof(self) -> Message | None:
        """The connection was closed; returns the message if the close completes it."""
        ended = self.head is not None and self.length is None and not self._chunked
        return self._done() if ended else None

    def start_line(self, line: str) -> Message:
        raise NotImplementedError

    def default_body_length(self, message: Message) -> int | None:
        """The body's length if no header declares it; None: until the connection is closed."""
        raise NotImplementedError

    def has_no_body(self, message: Message) -> bool:
        """Whether the message has no body, whatever its headers say."""
        return False

    def _done(self) -> Message:
        message = self.head
        assert message is not None
        message.body = bytes(self._body)
        self.head, self._chunked, self._chunk = None, False, -1
        self.head_bytes = 0
        self._body.clear()
        return message

    @property
    def unfinished(self) -> bool:
        """Whether a head, a chunk or a chunk's size is only partly received."""
        return bool(self.buffer) or (self._chunked and self._chunk != -1)

    def _keep(self, count: int) -> None:
        self._add_to_body(self.buffer[:count])
        del self.buffer[:count]

    def _has_room(self, count: int) -> bool:
        return len(self._body) + count <= self._max_held and self.body_received + count <= self._max_body

    def _add_to_body(self, data: bytes | bytearray) -> None:
        if not self._has_room(len(data)):
            raise MessageError(413, "body too large")
        self.body_received += len(data)
        self._body += data

    def _read_head(self) -> bool:
        while self.buffer.startswith(b"\r\n"):  # empty lines before a message are allowed
            del self.buffer[:2]
        end = self._ends.find(self.buffer, HEAD_END, MAX_HEAD)
        if end < 0:
            if len(self.buffer) >= MAX_HEAD:
                raise MessageError(431, "head too large")
            return False
        text = self.buffer[:end].decode("latin-1")
        del self.buffer[: end + len(HEAD_END)]
        lines = text.split("\r\n")
        message = self.start_line(lines[0])
        if len(lines) > MAX_HEADERS:
            raise MessageError(431, "too many headers")
        add_fields(message, lines[1:])
        self._frame(message)
        self.head = message
        self.head_bytes = len(text) + PARSED_FIELD_BYTES * len(message.headers)
        return True

    def _frame(self, message: Message) -> None:
        coding, length = message.get("transfer-encoding"), message.get("content-length")
        self._chunked, self._chunk, self._trailer = False, -1, 0
        self.body_received, self.length = 0, None
        if coding is not None:
            # Two framings in one message would allow request smuggling.
            if length is not None or coding.strip().lower() != "chunked":
                raise MessageError(400, "unknown framing")
            self._chunked = True
        elif length is not None:
            values = {v.strip() for v in length.split(",")}
            value = values.pop()
            if values or not value.isascii() or not value.isdigit():
                raise MessageError(400, "malformed Content-Length")
            if len(value) > 9 or int(value) > self._max_body:
                raise MessageError(413, "body too large")
            self.length = int(value)
        else:
            self.length = self.default_body_length(message)
        if self.has_no_body(message):
            self._chunked, self.length = False, 0

    def _take_whole_chunks(self) -> None:
        """Take the plain chunks at the start of the buffer that are there whole, all at once."""
        pieces, end = whole_chunks(self.buffer)
        if not end:
            return
        del self.buffer[:end]
        self._ends.restart()
        data = b"".join(pieces)
        # If not all of them have room, those before the one that has none count.
        for piece in (data,) if self._has_room(len(data)) else pieces:
            self._add_to_body(piece)

    def _read_chunks(self) -> bool:
        while True:
            if self._chunk == -1:
                self._take_whole_chunks()
            if self._chunk > 0:
                count = min(self._chunk, len(self.buffer))
                self._keep(count)
                self._chunk -= count
                if self._chunk:
                    return False
                self._chunk = -3
            line = self._line()
            if line is None:
                return False
            if self._chunk == -3:
                if line:
                    raise MessageError(400, "chunk is longer than its size")
                self._chunk = -1
            elif self._chunk == -2:
                if not line:
                    return True
                self._trailer += len(line)
                if self._trailer > MAX_HEAD:
                    raise MessageError(431, "trailer too large")
            else:
                match = CHUNK_SIZE.fullmatch(line)
                if match is None:
                    raise MessageError(400, "malformed chunk size")
                self._chunk = int(match.group(1), 16) or -2
                if self._chunk > self._max_body:
                    raise MessageError(413, "body too large")

    def _line(self) -> bytes | None:
        end = self._ends.find(self.buffer, LINE_END, MAX_CHUNK_LINE)
        if end < 0:
            if len(self.buffer) >= MAX_CHUNK_LINE:
                raise MessageError(400, "malformed chunk line")
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + len(LINE_END)]
        return line


class RequestParser(Parser):
    """Parses the requests of a client."""

    def start_line(self, line: str) -> Message:
        return request_with(line)

    def default_body_length(self, message: Message) -> int | None:
        return 0


class ResponseParser(Parser):
    """Parses the answers of an application server or of discovery."""

    def start_line(self, line: str) -> Message:
        return answer_with(line)

    for_head_request = False  # set by the caller before the answer to a HEAD request is parsed

    def default_body_length(self, message: Message) -> int | None:
        return 0 if self.has_no_body(message) else None

    def has_no_body(self, message: Message) -> bool:
        return self.for_head_request or message.status < 200 or message.status in (204, 304)
