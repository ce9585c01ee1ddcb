"""Hundreds of clients at once that hold a process's memory: picture (b) of incident 5e36ff."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Exchange, Script, ScriptedServer, answer, ask, request, stop_reading

CLIENTS, HELD_S = 400, 3.0
LIMIT_MB = 96
WAIT_S = 2.0
IDENTITY = "its-own"  # replaced by one for each client
BIG = b"b" * 8_000_000
SMALL = b"s" * 60_000


def give(body: bytes, exchange: Exchange) -> None:
    exchange.read_body()
    with suppress(OSError):
        exchange.send(answer(body))


SCRIPTS: dict[str, Script] = {
    "big": partial(give, BIG),
    "small": partial(give, SMALL),
    "half": partial(stop_reading, read_bytes=3000, stay_s=HELD_S),
}


class MemoryCrowds(ProxyProcessTest):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": LIMIT_MB, "sockets": 1024}
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"}],
    }

    def setUp(self) -> None:
        super().setUp()
        servers = [self.peer(ScriptedServer(SCRIPTS)) for _ in range(3)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(servers)))
        self.await_up()
        self.numbers = count()

    def peak_mb(self) -> float:
        """The most memory that the process has had resident."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
        raise AssertionError("no VmHWM")

    def hold(self, *pieces: bytes, read_per_s: int = 0) -> None:
        """One client: writes the pieces with pauses, and reads no more than this."""
        with suppress(OSError), socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            client.settimeout(HELD_S)
            client.connect(("127.0.0.1", self.port))
            until = time.monotonic() + HELD_S
            for piece in pieces:
                client.sendall(piece.replace(IDENTITY.encode(), b"%d" % next(self.numbers)))
                time.sleep(HELD_S / 4 / len(pieces))
            while time.monotonic() < until:
                if read_per_s:
                    client.recv(read_per_s // 10)
                time.sleep(0.1)

    def judge(self, *pieces: bytes, read_per_s: int = 0) -> None:
        """A crowd of these; meanwhile another client is served, and the memory stays within the limit."""
        crowd = [
            threading.Thread(target=self.hold, args=pieces, kwargs={"read_per_s": read_per_s}, daemon=True)
            for _ in range(CLIENTS)
        ]
        for client in crowd:
            client.start()
        time.sleep(HELD_S / 2)
        served = ask(self.port, request("/note/quick", f"beside-{next(self.numbers)}", WAIT_S))
        for client in crowd:
            client.join()
        self.assertLess(self.peak_mb(), LIMIT_MB)
        self.assertIsNone(self.process.poll())
        self.assertNotEqual(served.status, 0)
        self.assertLess(served.last_s, WAIT_S + 0.5)

    # Guards against: parts of heads of very many short fields fill the memory.
    def test_heads_of_many_short_fields(self) -> None:
        fields = [b"".join(b"a%d:b\r\n" % (100 * i + n) for n in range(100)) for i in range(16)]
        self.judge(b"GET /note/1 HTTP/1.1\r\n", *fields)

    # Guards against: large requests that stop half way fill the memory.
    def test_large_requests_that_stop_half_way(self) -> None:
        whole = request("/note/half", IDENTITY, WAIT_S, BIG)
        self.judge(whole[:400_000])
        self.judge(*(whole[i : i + 60_000] for i in range(0, 600_000, 60_000)))

    # Guards against: bodies of tiny chunks, written slowly, fill the memory.
    def test_bodies_of_tiny_chunks(self) -> None:
        head = request("/note/quick", IDENTITY, WAIT_S, b"", chunked=True)[:-5]
        self.judge(head, *[b"1\r\nx\r\n" * 50] * 10)

    # Guards against: answers that clients read slowly fill the memory.
    def test_answers_that_are_read_slowly(self) -> None:
        for name in ("small", "big"):
            with self.subTest(answer=name):
                self.judge(request(f"/note/{name}", IDENTITY, WAIT_S), read_per_s=65536)
