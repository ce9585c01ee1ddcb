"""Application servers that receive uploads and now and then hang, are slow, or reset their connections."""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from tests.loopback_servers import LoopbackServer, reset
from tests.scripted_peers import answer

HEAD_END = b"\r\n\r\n"
READ_BYTES = 4096
BUFFER_BYTES, SEGMENT_BYTES = 4096, 1460  # as of a server across a network
MOST_BUFFERED_BYTES = 16_000  # at its machine: received, and not read yet
SLOW_BYTES_PER_S = (150_000.0, 1_000_000.0)
WORK_S = (0.0, 0.8)
HANGS_S = 4.0


class Condition(Enum):
    """What a server does with its connections."""

    SOUND = auto()
    SLOW = auto()  # in reading bodies
    HANGING = auto()
    RESETTING = auto()  # all connections, once; then it is slow
    DEAD = auto()  # its connections are reset and new ones refused


@dataclass
class Run:
    """A request that was received whole."""

    identity: str
    cls: str
    body: bytes
    at: float  # when its last byte was read
    arrived_from: float  # the earliest time at which that may have been here, unread


def arrived_from(reads: list[tuple[float, int]]) -> float:
    """The earliest time at which the last byte may have been here, by the times and sizes of all reads."""
    unread = 0
    for at, size in reversed(reads):
        if unread + size > MOST_BUFFERED_BYTES:
            return at
        unread += size
    return reads[0][0] if reads else time.monotonic()


class UploadServer(LoopbackServer):
    """Receives uploads, and notes those that are whole."""

    def __init__(self, seed: int) -> None:
        self._draw, self._condition = Random(seed), Condition.SOUND
        self._bytes_per_s = 0.0
        self._changed = threading.Event()
        self.runs: list[Run] = []
        self._reads: dict[socket.socket, list[tuple[float, int]]] = {}  # of the request that is coming
        super().__init__()
        self._take_little()

    def _take_little(self) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)

    def _listen(self, port: int) -> None:
        """Listen again at the address of the process that died."""
        self.listener = socket.create_server(("127.0.0.1", port))
        self._take_little()
        threading.Thread(target=self._accept, daemon=True).start()

    def begin(self, condition: Condition) -> None:
        """Change its condition."""
        before, self._condition = self._condition, condition
        self._bytes_per_s = self._draw.uniform(*SLOW_BYTES_PER_S)
        self._changed.set()
        self._changed = threading.Event()
        if condition is Condition.DEAD and before is not Condition.DEAD:
            self.close()
        elif condition is not Condition.DEAD and before is Condition.DEAD:
            self._listen(self.port)
        if condition in (Condition.RESETTING, Condition.DEAD):
            connections, self.connections = self.connections, []
            for connection in connections:
                reset(connection)

    def talk(self, connection: socket.socket) -> None:
        data = b""
        while True:
            head, data = self._until(connection, data, HEAD_END)
            target = head.split(b" ", 2)[1].decode()
            fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
            reads = self._reads[connection] = []
            if fields.get("transfer-encoding") == "chunked":
                body, data = self._chunks(connection, data)
            else:
                body, data = self._exactly(connection, data, int(fields["content-length"]))
            identity, cls = fields["x-trace-id"], target.split("/")[1]
            self.runs.append(Run(identity, cls, body, time.monotonic(), arrived_from(reads)))
            time.sleep(self._draw.uniform(*WORK_S))
            connection.sendall(answer(identity.encode()))

    def _read(self, connection: socket.socket) -> bytes:
        """Some bytes, read as its condition allows; raises OSError at the end."""
        while self._condition is Condition.HANGING:
            if not self._changed.wait(HANGS_S):
                raise OSError("hangs for good")
        data = connection.recv(READ_BYTES)
        if not data:
            raise OSError("ended")
        self._reads.setdefault(connection, []).append((time.monotonic(), len(data)))
        if self._condition in (Condition.SLOW, Condition.RESETTING):
            time.sleep(len(data) / self._bytes_per_s)
        return data

    def _until(self, connection: socket.socket, data: bytes, end: bytes) -> tuple[bytes, bytes]:
        """What comes before ``end``, and what is behind it."""
        while end not in data:
            data += self._read(connection)
        found, _, rest = data.partition(end)
        return found, rest

    def _exactly(self, connection: socket.socket, data: bytes, count: int) -> tuple[bytes, bytes]:
        pieces, held = [data], len(data)
        while held < count:
            pieces.append(self._read(connection))
            held += len(pieces[-1])
        whole = b"".join(pieces)
        return whole[:count], whole[count:]

    def _chunks(self, connection: socket.socket, data: bytes) -> tuple[bytes, bytes]:
        pieces = []
        while True:
            line, data = self._until(connection, data, b"\r\n")
            size = int(line, 16)
            piece, data = self._exactly(connection, data, size + 2)
            pieces.append(piece[:-2])
            if not size:
                return b"".join(pieces), data
