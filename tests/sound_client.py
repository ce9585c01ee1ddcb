"""A client that behaves well, for tests of what its requests meet beside others that do not."""

from __future__ import annotations

import select
import socket
import time
from collections import Counter

SOUND_WAIT_S, LATE_S = 4.0, 0.5
SOUND_BODY_BYTES = 10_000


class SoundClient:
    """Asks one request after the other, each with a body now and then, and notes how it ended."""

    def __init__(self, port: int, number: int, ends: Counter[str]) -> None:
        self._port, self._number, self._ends = port, number, ends
        self._connection: socket.socket | None = None
        self._asked = 0

    def ask(self) -> None:
        """One request, on the connection that is kept where there is one."""
        self._asked += 1
        body = bytes(SOUND_BODY_BYTES) if self._asked % 2 else b""
        request = (
            f"{'POST' if body else 'GET'} /look/quick HTTP/1.1\r\nHost: test\r\nX-Customer: acme\r\n"
            f"X-Trace-Id: sound-{self._number}-{self._asked}\r\n"
            f"X-Expires-In-Ms: {int(SOUND_WAIT_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        begin, end = time.monotonic(), "none"
        try:
            if self._connection is None or self._was_closed():
                self.close()
                self._connection = socket.create_connection(("127.0.0.1", self._port), SOUND_WAIT_S)
            self._connection.settimeout(SOUND_WAIT_S + LATE_S)
            self._connection.sendall(request)
            head = self._read_answer()
            end = head.split(" ")[1] if head else "closed"
            if time.monotonic() - begin > SOUND_WAIT_S + LATE_S:
                end = "late"
            if "connection: close" in head.lower() or not head:
                self.close()
        except TimeoutError:
            self.close()
        except OSError:
            end = "reset"
            self.close()
        self._ends[end] += 1

    def _was_closed(self) -> bool:
        """Whether the proxy has closed the connection that is kept, as it may between two requests."""
        return bool(select.select([self._connection], [], [], 0.0)[0])

    def _read_answer(self) -> str:
        assert self._connection is not None
        got = b""
        while b"\r\n\r\n" not in got:
            if not (piece := self._connection.recv(65536)):
                return ""
            got += piece
        head, _, rest = got.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        left = int(text.lower().partition("content-length:")[2].split("\r\n")[0] or 0) - len(rest)
        while left > 0:
            if not (piece := self._connection.recv(65536)):
                return ""
            left -= len(piece)
        return text

    def close(self) -> None:
        """End the connection that is kept."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
