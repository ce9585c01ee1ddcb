"""Backends of the soak: they answer with the request's own id, and on demand once more some time later."""

from __future__ import annotations

import io
import math
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from tests.drain_fleet import Backend
from tests.loopback_servers import NEVER_RAN
from tests.scripted_peers import HEAD_END, Exchange
from tests.soak_scripts import SCRIPTS

WORK_S = (0.005, 0.030)  # the range of a request's work
SECOND_SHARE, SECOND_DELAY_S = 0.1, 0.1  # of the answers, and the longest delay


@dataclass
class Kill:
    """A backend that is killed: its connections are reset one after another, all of them by ``end``."""

    begin: float
    end: float = math.inf

    def falls_into(self, begin: float, end: float) -> bool:
        """Whether a connection may have been reset within this time."""
        return begin <= self.end and self.begin <= end


class Unread(io.RawIOBase):
    """What is left of a request: bytes that were received with its head, then the connection."""

    def __init__(self, connection: socket.socket, received: bytes) -> None:
        super().__init__()
        self._connection, self._received = connection, received

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        data = self._received[: len(buffer)] or self._connection.recv(len(buffer))
        self._received = self._received[len(data) :]
        buffer[: len(data)] = data
        return len(data)


class NamingBackend(Backend):
    """``second_answers``: whether some answers are followed by the same one, or by a refusal."""

    def __init__(self, port: int = 0) -> None:
        self.second_answers = False
        self._rng = Random(1)
        super().__init__(port=port)

    def respond(self, connection: socket.socket, received: bytes, trace: str) -> None:
        first, _, rest = received.partition(HEAD_END)
        script = SCRIPTS.get(first.split()[1].decode("latin-1").rpartition("/")[2])
        if script is None:
            self.send_answer(connection, trace)
            return
        fields = (line.partition(":") for line in first.decode("latin-1").split("\r\n")[1:])
        headers = {name.lower(): value.strip() for name, _, value in fields}
        script(Exchange(connection, io.BufferedReader(Unread(connection, rest)), trace, headers))

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
