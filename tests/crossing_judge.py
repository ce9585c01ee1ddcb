"""Clients that write when their connection may be about to end, and what became of each request."""

from __future__ import annotations

import select
import socket
import struct
import threading
import time
from contextlib import suppress
from itertools import count

from tests.loopback_servers import WAIT
from tests.proxy_process import ProxyProcessTest

# Protocol, "The rules on sockets": every time limit is that much longer. An end of the connection that comes
# no later after the request was written has crossed it; a later one has lost it.
CROSSED_S = 0.05
HEAD_END = b"\r\n\r\n"
# Linux: offset in struct tcp_info of tcpi_last_ack_recv: milliseconds since the last acknowledgement came.
TCPI_LAST_ACK_RECV_OFFSET = 56
TCP_INFO_BYTES = TCPI_LAST_ACK_RECV_OFFSET + 4
TICK_S = 0.01  # of the system's timer, which that counts


class CrossingClient:
    """One connection, with one or several requests at a time."""

    def __init__(self, port: int, name: str, ending: str = "", timeout_s: float = WAIT) -> None:
        """``ending``: of the ids of its requests; ``timeout_s``: for an answer."""
        self.name, self.closes, self.body = name, False, b""
        self.names: list[str] = []  # the ids of the requests that were written together last
        self._ending, self._numbers = ending, count()
        self._buffer = b""
        self._ended_in_order = False
        self._socket = socket.create_connection(("127.0.0.1", port), timeout_s)

    def close(self) -> None:
        self._socket.close()

    def write(self, number: int = 1, before: bytes = b"") -> float:
        """Write so many requests at once, behind other bytes; returns when they were written."""
        self.names = [f"{self.name}.{next(self._numbers)}{self._ending}" for _ in range(number)]
        self._socket.sendall(
            before
            + "".join(
                f"GET /look/1 HTTP/1.1\r\nX-Trace-Id: {name}\r\nX-Customer: acme\r\n"
                "X-Expires-In-Ms: 1500\r\n\r\n"
                for name in self.names
            ).encode()
        )
        return time.monotonic()

    def write_part(self) -> None:
        """Write part of a head, and no more."""
        self._socket.sendall(b"GET /look/1 HT")

    def has_ended(self, wait_s: float = 0.0) -> bool:
        """Whether something can be read, which between two requests is the end of the connection."""
        poll = select.poll()  # select() takes no descriptors over 1,023
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(wait_s * 1000.0))

    def ended_after(self, written_at: float) -> float:
        """How long after that time the end of the connection arrived, in seconds.

        This process may notice it late. An end in order is what the other machine has sent last, or
        comes before that. Of a reset the system keeps no time: it counts as arriving when it is noticed.
        """
        now = time.monotonic()
        if self._ended_in_order:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            (heard_ms,) = struct.unpack_from("I", info, TCPI_LAST_ACK_RECV_OFFSET)
            now -= max(0.0, heard_ms / 1000.0 - TICK_S)
        return now - written_at

    def _receive(self) -> bytes:
        data = self._socket.recv(65536)
        self._ended_in_order = not data
        return data

    def answer(self) -> int | None:
        """The status of the next answer; None: the connection has ended without a whole one."""
        with suppress(ConnectionError):
            while HEAD_END not in self._buffer:
                if not (data := self._receive()):
                    return None
                self._buffer += data
            head, _, self._buffer = self._buffer.partition(HEAD_END)
            lines = head.decode("latin-1").lower().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            self.closes = headers.get("connection") == "close"
            while len(self._buffer) < int(headers["content-length"]):
                if not (data := self._receive()):
                    return None
                self._buffer += data
            length = int(headers["content-length"])
            self.body, self._buffer = self._buffer[:length], self._buffer[length:]
            return int(lines[0].split()[1])
        return None


class CrossingTest(ProxyProcessTest):
    """A test that counts requests whose connection ended unanswered, later than a crossing explains."""

    def setUp(self) -> None:
        super().setUp()
        self.lost: list[str] = []
        self.answered = 0
        self._lock = threading.Lock()

    def crossing_client(self, name: str) -> CrossingClient:
        client = CrossingClient(self.port, name)
        self.addCleanup(client.close)
        return client

    def judge(self, client: CrossingClient, written_at: float, number: int = 1) -> bool:
        """Take the answers to that many requests; False if the connection ended before the last of them."""
        for left in range(number, 0, -1):
            if client.answer() is None:
                took = client.ended_after(written_at)
                if took > CROSSED_S:
                    with self._lock:
                        self.lost.append(f"{client.name}: {left} of {number} after {took * 1000:.0f} ms")
                return False
            with self._lock:
                self.answered += 1
        return True

    def ask_after(self, client: CrossingClient, at: float) -> bool:
        """Write one request at that time, unless the connection has ended by then; whether it goes on."""
        time.sleep(max(0.0, at - time.monotonic()))
        try:
            if client.closes or client.has_ended():
                return False
            written_at = client.write()
        except OSError:
            return False
        return self.judge(client, written_at)
