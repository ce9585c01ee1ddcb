"""Application servers that follow a script named by the request's path, and clients that note the times."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any

from tests.loopback_servers import STAMP_BYTES, WAIT, LoopbackServer, received_at, stamp_receipts

HEAD_END = b"\r\n\r\n"
PIECE_BYTES = 64 * 1024
Script = Callable[["Exchange"], None]


@dataclass
class Exchange:
    """One request at a server, of which the head has been read."""

    connection: socket.socket
    stream: Any
    identity: str
    headers: dict[str, str]

    def read_body(self, pace: float = 0.0) -> bytes:
        """Read the whole body; ``pace``: in bytes a second, 0: as fast as it comes."""
        if self.headers.get("transfer-encoding") != "chunked":
            return self._read(int(self.headers.get("content-length", 0)), pace)
        pieces = []  # joined once, as appending 30 MB piece by piece takes a second
        while size := int(self.stream.readline().strip() or b"0", 16):
            pieces.append(self._read(size, pace))
            self.stream.readline()
        self.stream.readline()
        return b"".join(pieces)

    def _read(self, count: int, pace: float) -> bytes:
        pieces = []
        while count and (piece := self.stream.read(min(count, PIECE_BYTES))):
            pieces.append(piece)
            count -= len(piece)
            if pace:
                time.sleep(len(piece) / pace)
        return b"".join(pieces)

    def send(self, *parts: bytes | float) -> None:
        """Write bytes; a number is a pause in seconds."""
        for part in parts:
            if isinstance(part, bytes):
                self.connection.sendall(part)
            else:
                time.sleep(part)

    def wait_for_close(self) -> None:
        """Wait until the other side closes the connection."""
        with suppress(OSError):
            while self.connection.recv(PIECE_BYTES):
                pass


def answer(body: bytes, status: int = 200, more: str = "") -> bytes:
    """A whole answer with a length."""
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def stop_reading(exchange: Exchange, read_bytes: int, stay_s: float) -> None:
    """Read no more than this, stay for so long, and end the connection: what is unread is no request."""
    exchange.stream.read(read_bytes)
    time.sleep(stay_s)
    raise OSError("never read")


def default_script(exchange: Exchange) -> None:
    """Read all and answer at once with the id."""
    exchange.read_body()
    exchange.send(answer(exchange.identity.encode()))


class ScriptedServer(LoopbackServer):
    """Plays the script that the last part of a request's path names."""

    def __init__(self, scripts: Mapping[str, Script], buffer_bytes: int = 0, port: int = 0) -> None:
        """``buffer_bytes``: what its machine takes of a request before it is read; 0: as usual."""
        self._scripts = dict(scripts)
        self.runs: Counter[str] = Counter()  # whole heads, by id
        self.closed_at: dict[str, float] = {}  # when the connection of an id ended
        self._lock = threading.Lock()
        super().__init__(port)
        if buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)

    def talk(self, connection: socket.socket) -> None:
        stream, identity = connection.makefile("rb"), ""
        try:
            while line := stream.readline():
                headers: dict[str, str] = {}
                while (text := stream.readline().strip()) != b"":
                    name, _, value = text.decode().partition(":")
                    headers[name.lower()] = value.strip()
                identity = headers.get("x-trace-id", "")
                with self._lock:
                    self.runs[identity] += 1
                name = line.split()[1].decode().rpartition("/")[2]
                script = self._scripts.get(name, default_script)
                script(Exchange(connection, stream, identity, headers))
        finally:
            self.closed_at[identity] = time.monotonic()


@dataclass
class Answered:
    """What became of a request; times are seconds since its last byte was written.

    The kernel stamps what is received, so that they tell nothing of when this process got round to it.
    """

    status: int  # 0: none came
    body: bytes
    first_s: float
    last_s: float
    written_s: float  # from the first byte of the request to its last
    written_whole: bool = True  # else the connection ended before


def request(path: str, identity: str, wait_s: float, body: bytes = b"", chunked: bool = False) -> bytes:
    """A whole request; POST if its path is not that of a safe class."""
    method = "GET" if path.startswith("/look") else "POST"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: test\r\nX-Trace-Id: {identity}\r\nX-Customer: acme\r\n"
        f"X-Expires-In-Ms: {int(wait_s * 1000)}\r\n"
    )
    if path.startswith("/scan"):
        head += f"Idempotency-Key: key-{identity}\r\n"
    if chunked:
        chunks = [body[i : i + PIECE_BYTES] for i in range(0, len(body), PIECE_BYTES)]
        coded = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in chunks)
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + coded + b"0\r\n\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def paced(data: bytes, bytes_per_s: float, piece_s: float = 0.05) -> Iterable[bytes | float]:
    """The data in pieces with pauses between them."""
    size = max(1, int(bytes_per_s * piece_s))
    for start in range(0, len(data), size):
        yield data[start : start + size]
        yield piece_s


def ask(port: int, *parts: bytes | float, patience_s: float = WAIT, send_buffer: int = 0) -> Answered:
    """Write one request, in parts with pauses, on a new connection, and read its answer."""
    with socket.socket() as client:
        if send_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        client.settimeout(patience_s)
        client.connect(("127.0.0.1", port))
        stamp_receipts(client)
        begin, is_whole = time.monotonic(), False
        with suppress(OSError):  # it may be answered before it is whole
            for part in parts:
                if isinstance(part, bytes):
                    client.sendall(part)
                else:
                    time.sleep(part)
            is_whole = True
        answered = _read_answer(client, begin, time.monotonic())
        answered.written_whole = is_whole
        return answered


def _read_answer(client: socket.socket, begin: float, written: float) -> Answered:
    got, first, last = b"", 0.0, 0.0
    with suppress(OSError):
        while not _is_whole(got):
            data, ancillary, _, _ = client.recvmsg(PIECE_BYTES, STAMP_BYTES)
            if not data:
                break
            last = received_at(ancillary)
            first = first or last
            got += data
    head, _, body = got.partition(HEAD_END)
    is_whole = _is_whole(got)
    status = int(head.split()[1]) if is_whole else 0
    if is_whole and b"chunked" in head.lower():
        body = _joined(body)
    if not is_whole:
        last = time.monotonic()
    return Answered(status, body, (first or last) - written, last - written, written - begin)


def _is_whole(got: bytes) -> bool:
    head, end, body = got.partition(HEAD_END)
    if not end:
        return False
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


def _joined(body: bytes) -> bytes:
    joined = b""
    while size := int(body.partition(b"\r\n")[0], 16):
        body = body.partition(b"\r\n")[2]
        joined, body = joined + body[:size], body[size + 2 :]
    return joined


def all_at_once(*calls: Callable[[], Answered]) -> list[Answered]:
    """Make the calls at once; returns what they return, in order."""
    found: list[Answered | None] = [None] * len(calls)

    def make(number: int, call: Callable[[], Answered]) -> None:
        found[number] = call()

    threads = [threading.Thread(target=partial(make, *pair), daemon=True) for pair in enumerate(calls)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [one for one in found if one is not None]
