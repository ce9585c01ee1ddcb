"""Clients that make a proxy hold memory, each kind in many connections at once; asyncio, loopback only.

Run as a program of its own (``python -m tests.crowd_clients PORT KIND CLIENTS SECONDS SEED``), so that the
crowd takes no time of the interpreter that plays sound clients and judges.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count

HOST = "127.0.0.1"
BODY_BYTES, SMALL_ANSWER_BYTES, LONG_ANSWER_BYTES = 1_000_000, 60_000, 1_000_000
RENEW_S = 4.0  # after so long a client closes its connection and opens another
SLOW_READ_BYTES, SLOW_READ_S = 4096, 0.1
RECEIVE_BUFFER_BYTES = 16_384
PIECE_S = 0.05
SHORT_FIELDS = 3200
EXPIRES_MS = 3900
REFUSED_PAUSE_S = 0.02
START_SPREAD_S = 0.3

numbers = count(1)
prefix = f"{random.SystemRandom().getrandbits(40):010x}"


def head(method: str, path: str, *more: str) -> bytes:
    """The head of a request with an id of its own."""
    identity = f"{prefix}-{next(numbers)}"
    lines = [f"{method} {path} HTTP/1.1", "Host: crowd", f"X-Trace-Id: {identity}",
             f"X-Expires-In-Ms: {EXPIRES_MS}", *more]  # fmt: skip
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Connection:
    """One connection of a client with a small receive buffer."""

    def __init__(self, made: socket.socket) -> None:
        self._socket = made
        self._loop = asyncio.get_running_loop()

    @classmethod
    async def open(cls, port: int) -> Connection:
        made = socket.socket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        made.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(made, (HOST, port))
        except BaseException:
            made.close()
            raise
        return cls(made)

    async def write(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def read(self, most: int = SLOW_READ_BYTES) -> bytes:
        return await self._loop.sock_recv(self._socket, most)

    async def read_slowly(self) -> None:
        while await self.read():
            await asyncio.sleep(SLOW_READ_S)

    async def read_to_end(self) -> None:
        while await self.read(65536):
            pass

    def close(self) -> None:
        self._socket.close()


async def stop_half_way(it: Connection) -> None:
    """Half of a large body, then silence."""
    await it.write(head("POST", "/look/take", f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES // 2))
    await it.read_to_end()


async def stop_half_way_unread(it: Connection) -> None:
    """Half of a large body for a server that reads nothing."""
    await it.write(head("POST", "/look/deaf", f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES // 2))
    await it.read_to_end()


async def write_short_fields(it: Connection) -> None:
    """The head of a request of very many short fields, without its end."""
    await it.write(head("GET", "/look/quick")[:-2])
    for first in range(0, SHORT_FIELDS, SHORT_FIELDS // 16):
        await it.write(b"".join(b"a%d:\r\n" % number for number in range(first, first + SHORT_FIELDS // 16)))
        await asyncio.sleep(PIECE_S)
    await it.read_to_end()


async def write_many_fields(it: Connection) -> None:
    """Whole requests of as many fields as may be, to a server that answers late."""
    fields = [f"a{number}: {number}" for number in range(90)]
    await it.write(head("GET", "/look/late", *fields))
    await it.read_to_end()


async def read_long(it: Connection) -> None:
    """A long answer that is read slowly."""
    await it.write(head("GET", f"/look/give/{LONG_ANSWER_BYTES}"))
    await it.read_slowly()


async def read_small(it: Connection) -> None:
    """An answer that is sent whole, and read slowly."""
    await it.write(head("GET", f"/look/give/{SMALL_ANSWER_BYTES}"))
    await it.read_slowly()


async def read_nothing(it: Connection) -> None:
    """Answers that are not read at all, with the next requests behind them."""
    for _ in range(8):
        await it.write(head("GET", f"/look/give/{SMALL_ANSWER_BYTES}"))
    await asyncio.sleep(RENEW_S)


async def write_tiny_chunks(it: Connection) -> None:
    """A body in chunks of one byte, written slowly."""
    await it.write(head("POST", "/look/take", "Transfer-Encoding: chunked"))
    while True:
        await it.write(b"1\r\nx\r\n" * 40)
        await asyncio.sleep(PIECE_S / 5)


async def push(it: Connection) -> None:
    """Large bodies at full speed, on a new connection after each refusal."""
    whole = head("POST", "/look/take", f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES)
    writing = asyncio.ensure_future(it.write(whole))
    try:
        said = await it.read(65536)
        if not said.startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(REFUSED_PAUSE_S)
    finally:
        writing.cancel()
        with suppress(asyncio.CancelledError, OSError):
            await writing


async def churn(it: Connection) -> None:
    """One quick request on a connection, which then ends."""
    await it.write(head("GET", "/look/quick", "Connection: close"))
    await it.read_to_end()


async def rest(it: Connection) -> None:
    """One quick request on a connection, which then rests."""
    await it.write(head("GET", "/look/quick"))
    await it.read_to_end()


KINDS: dict[str, Callable[[Connection], Awaitable[None]]] = {
    "half": stop_half_way,
    "unread": stop_half_way_unread,
    "heads": write_short_fields,
    "fields": write_many_fields,
    "read": read_long,
    "small": read_small,
    "ahead": read_nothing,
    "slow": write_tiny_chunks,
    "push": push,
    "churn": churn,
    "rest": rest,
}


async def stay(port: int, kind: str, generator: random.Random) -> None:
    """One client for the whole time, which renews its connection."""
    await asyncio.sleep(generator.random() * START_SPREAD_S)
    names = sorted(KINDS)
    while True:
        act = KINDS[generator.choice(names) if kind == "mixed" else kind]
        with suppress(OSError, TimeoutError):
            it = await Connection.open(port)
            try:
                async with asyncio.timeout(RENEW_S):
                    await act(it)
            finally:
                it.close()
        await asyncio.sleep(REFUSED_PAUSE_S)


async def crowd(port: int, kind: str, clients: int, seconds: float, seed: int) -> None:
    """Play the whole crowd for this time."""
    tasks = [asyncio.create_task(stay(port, kind, random.Random(seed * 10_000 + n))) for n in range(clients)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(crowd(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5])))
