"""Application servers and a discovery on loopback, for tests with a real proxy process."""

from __future__ import annotations

import http.client
import json
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

WAIT = 10.0  # seconds until a test gives up waiting for something
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NEVER_RAN = b"HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
SO_TIMESTAMPNS, STAMP_BYTES = 35, 64  # Linux
BROKEN_BYTES = b"\x00\xffnothing of HTTP\r\n\r\n"


def stamp_receipts(connection: socket.socket) -> None:
    """Let the kernel note when what this socket receives has come."""
    connection.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def received_at(ancillary: list[tuple[int, int, bytes]]) -> float:
    """Return the kernel's time of receipt, on the monotonic clock; the current time if it has none."""
    now, wall = time.monotonic(), time.time()
    for _, kind, data in ancillary:
        if kind == SO_TIMESTAMPNS:
            seconds, nanoseconds = map(int, struct.unpack("qq", data))
            return now - (wall - (seconds + nanoseconds / 1e9))
    return now


class LoopbackServer:
    """A listening socket with a thread per connection; ``ends`` gets the number of each one that ends."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port: int = self.listener.getsockname()[1]
        self.ends: queue.Queue[int] = queue.Queue()
        self.accepted = 0
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.accepted += 1
                self.connections.append(connection)
                threading.Thread(target=self._serve, args=(connection, self.accepted), daemon=True).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        with suppress(OSError), connection:
            self.talk(connection)
        self.ends.put(number)

    def talk(self, connection: socket.socket) -> None:
        raise NotImplementedError

    def close(self) -> None:
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def die(self) -> None:
        """End as a process that is killed: its connections are reset."""
        self.close()
        for connection in list(self.connections):
            reset(connection)


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)  # wakes threads that wait on it; the close below is a reset then
        connection.close()


def read_request(stream: Any) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request from a socket's file: first line, headers, body; None at the end."""
    line = stream.readline().decode().strip()
    if not line:
        return None
    headers = {k.lower(): v for k, v in http.client.parse_headers(stream).items()}
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        body = stream.read(length)
        return (line, headers, body) if len(body) == length else None
    pieces = []  # joined once, as appending 32 MB piece by piece can take seconds
    while size := int(stream.readline().strip() or b"0", 16):
        pieces.append(stream.read(size))
        stream.readline()
    stream.readline()
    return line, headers, b"".join(pieces)


class ApplicationServer(LoopbackServer):
    """Sends what ``answer`` returns; b"" or Connection: close ends the connection, None sends nothing."""

    def __init__(self, answer: bytes | None = OK) -> None:
        self.answer: Callable[[dict[str, str]], bytes | None] = lambda headers: answer
        self.seen: queue.Queue[tuple[str, dict[str, str], bytes]] = queue.Queue()
        self.met: queue.Queue[ApplicationServer] = queue.Queue()  # may be shared by several
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            answer = self.answer(request[1])
            self.seen.put(request)
            self.met.put(self)
            if answer is not None:
                connection.sendall(answer)
                if not answer or b": close\r" in answer:
                    return


class Discovery(LoopbackServer):
    """Keeps watches open; ``asked``: first line of each call, ``list``: the full list (None: no answer)."""

    def __init__(self) -> None:
        self.list: dict[str, Any] | None = None
        self.asked: queue.Queue[str] = queue.Queue()
        self.watches: queue.Queue[socket.socket] = queue.Queue()
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        request = read_request(stream)
        while request is not None and "watch" not in request[0]:
            self.asked.put(request[0])
            if self.list is not None:
                body = json.dumps(self.list).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            request = read_request(stream)
        if request is None:
            return
        # An empty line says that nothing has changed; a head alone says nothing.
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"))
        self.watches.put(connection)
        self.asked.put(request[0])
        connection.recv(1)  # until the proxy ends it

    def watch(self) -> socket.socket:
        return self.watches.get(timeout=WAIT)


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


def listing(rev: int, full: bool, *rows: dict[str, Any]) -> dict[str, Any]:
    return {"rev": rev, "all": full, "targets": list(rows)}


def row(uid: str, server: LoopbackServer, state: str = "in_service", **more: Any) -> dict[str, Any]:
    return {"uid": uid, "endpoint": f"127.0.0.1:{server.port}", "az": "a", "model": "m", "pod_group": 0,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0, **more}  # fmt: skip
