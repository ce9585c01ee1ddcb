"""Backends that record each attempt, behind a fault proxy that sends bytes after their answers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from random import Random
from typing import Any

from tests.loopback_servers import BROKEN_BYTES, NEVER_RAN

HEAD_END = b"\r\n\r\n"
WORK_S = (0.010, 0.060)  # the range of the backends' work
CELL_SIZE = 2  # backends
PADDING = "."
NEVER_CLOSED = float("inf")


class Extra(Enum):
    """What the fault proxy sends after an answer. The value of SAME is replaced by the answer itself."""

    SAME = b""
    OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
    ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
    NEVER_RAN = NEVER_RAN
    HALF_HEAD = b"HTTP/1.1 200 OK\r\nContent-Le"
    HALF_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"  # the next answer would complete it
    LONGER_BODY = b"more than the Content-Length has announced"
    BROKEN = BROKEN_BYTES
    EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"


@dataclass(frozen=True)
class AnswerFault:
    """Which answers are followed by what, and how long after them."""

    extra: Extra = Extra.SAME
    share: float = 0.0  # of the answers
    delay_s: tuple[float, float] = (0.0, 0.0)
    backends: frozenset[int] | None = None  # None: all
    from_answer: int = 0  # the first so many answers of a connection are sound
    padding_bytes: int = 0  # behind the id in each answer


@dataclass(slots=True)
class Receipt:
    """One attempt, as the fault proxy saw it on its proxy's side. Times are the event loop's."""

    trace: str
    backend: int
    began_at: float
    ended_at: float = NEVER_CLOSED  # its answer was passed on, or its connection was closed

    @property
    def cell(self) -> int:
        return self.backend // CELL_SIZE


@dataclass
class Farm:
    """The backends, each with a listener of the fault proxy in front of it."""

    size: int
    fault: AnswerFault
    seed: int = 1
    receipts: list[Receipt] = field(default_factory=list)
    connections: int = 0
    extras: int = 0  # sent so far

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.listeners = [socket.create_server(("127.0.0.1", 0), backlog=256) for _ in range(self.size)]
        self.ports: list[int] = [listener.getsockname()[1] for listener in self.listeners]

    async def serve(self) -> None:
        """Start to serve in the running event loop."""
        loop = asyncio.get_running_loop()
        for number, listener in enumerate(self.listeners):
            backend = partial(Backend, self.rng, self.fault.padding_bytes)
            server = await loop.create_server(backend, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            await loop.create_server(self._relay(number, port), sock=listener)

    def _relay(self, number: int, port: int) -> Callable[[], FaultProxy]:
        return lambda: FaultProxy(self, number, port)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()


class MessageProtocol(asyncio.Protocol):
    """Splits what arrives into whole messages with a Content-Length or no body."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self._unread = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._unread += data
        while (end := self._unread.find(HEAD_END)) >= 0:
            end += len(HEAD_END) + self._body_length(self._unread[:end])
            if len(self._unread) < end:
                return
            message, self._unread = self._unread[:end], self._unread[end:]
            self.message_received(message)

    @staticmethod
    def _body_length(head: bytes) -> int:
        return int(header(head, b"content-length") or 0)

    def message_received(self, message: bytes) -> None:
        raise NotImplementedError


def header(head: bytes, name: bytes) -> bytes:
    """The value of a header; empty if there is none."""
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.strip().lower() == name:
            return value.strip()
    return b""


class Backend(MessageProtocol):
    """Answers each request after some work with the request's own id."""

    def __init__(self, rng: Random, padding_bytes: int) -> None:
        super().__init__()
        self._rng, self._padding = rng, PADDING.encode() * padding_bytes

    def message_received(self, message: bytes) -> None:
        body = header(message, b"x-trace-id") + self._padding
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        asyncio.get_running_loop().call_later(self._rng.uniform(*WORK_S), self._answer, answer)

    def _answer(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer)


class FaultProxy(MessageProtocol):
    """One connection of the proxy under test: what it sends is passed on, and answers with the fault."""

    def __init__(self, farm: Farm, backend: int, port: int) -> None:
        super().__init__()
        self._farm, self._backend, self._port = farm, backend, port
        self._open: Receipt | None = None
        self._answers = 0
        self._upstream: asyncio.Transport | None = None
        self._waiting: list[bytes] = []  # until the connection to the backend is up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._farm.connections += 1
        self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        upstream, _ = await loop.create_connection(lambda: Upstream(self), "127.0.0.1", self._port)
        self._upstream = upstream
        for message in self._waiting:
            upstream.write(message)
        if self.transport.is_closing():
            upstream.close()

    def message_received(self, message: bytes) -> None:
        trace = header(message, b"x-trace-id").decode()
        self._open = Receipt(trace, self._backend, asyncio.get_running_loop().time())
        self._farm.receipts.append(self._open)
        if self._upstream is None:
            self._waiting.append(message)
        else:
            self._upstream.write(message)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_attempt()
        if self._upstream is not None:
            self._upstream.close()

    def _end_attempt(self) -> None:
        receipt, self._open = self._open, None
        if receipt is not None:
            receipt.ended_at = asyncio.get_running_loop().time()

    def answered(self, answer: bytes) -> None:
        """Pass on an answer of the backend, and perhaps more than that."""
        farm, fault = self._farm, self._farm.fault
        self._end_attempt()
        self._send(answer)
        self._answers += 1
        meets = fault.backends is None or self._backend in fault.backends
        if meets and self._answers > fault.from_answer and farm.rng.random() < fault.share:
            delay_s, data = farm.rng.uniform(*fault.delay_s), fault.extra.value or answer
            asyncio.get_running_loop().call_later(delay_s, self._send_extra, data)

    def _send_extra(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self._farm.extras += 1
            self._send(data)

    def _send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class Upstream(MessageProtocol):
    """The fault proxy's connection to its backend."""

    def __init__(self, downstream: FaultProxy) -> None:
        super().__init__()
        self._downstream = downstream

    def message_received(self, message: bytes) -> None:
        self._downstream.answered(message)

    def connection_lost(self, exc: Any) -> None:
        self._downstream.transport.close()
