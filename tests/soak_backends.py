"""Backends of the soak: they answer with the request's own id, and on demand once more some time later."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from random import Random

from tests.drain_fleet import Backend
from tests.loopback_servers import NEVER_RAN

WORK_S = (0.005, 0.030)  # the range of a request's work
SECOND_SHARE, SECOND_DELAY_S = 0.1, 0.1  # of the answers, and the longest delay


class NamingBackend(Backend):
    """``second_answers``: whether some answers are followed by the same one, or by a refusal."""

    def __init__(self) -> None:
        self.second_answers = False
        self._rng = Random(1)
        super().__init__()

    def send_answer(self, connection: socket.socket, trace: str) -> None:
        body = trace.encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        time.sleep(self._rng.uniform(*WORK_S))
        connection.sendall(answer)
        if self.second_answers and self._rng.random() < SECOND_SHARE:
            second = self._rng.choice((answer, NEVER_RAN))
            delay_s = self._rng.uniform(0.0, SECOND_DELAY_S)
            threading.Timer(delay_s, self._send_second, (connection, second)).start()

    @staticmethod
    def _send_second(connection: socket.socket, answer: bytes) -> None:
        with suppress(OSError):
            connection.sendall(answer)
