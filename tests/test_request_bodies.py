"""What becomes of a request's body between its client and the servers that it is sent to."""

from __future__ import annotations

import random
import socket
import threading
import unittest
from typing import Any, ClassVar

from lupinlink.net.bodies import (
    REPLAY_LIMIT_BYTES,
    Body,
    BodyBudget,
    DiscardedBytesError,
)
from tests.loopback_servers import reset
from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import (
    Answered,
    Exchange,
    ScriptedServer,
    answer,
    ask,
    request,
)

WAIT_S = 2.0
READ_BEFORE_DEATH_BYTES = 5922
SERVER_BUFFER_BYTES, SEGMENT_BYTES = 8192, 1460  # as of a server across a network


class States(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BodyBudget(2 * REPLAY_LIMIT_BYTES)
        self.resumed: list[str] = []

    def body(self, size: int, name: str = "") -> Body:
        body = Body(self.budget, None)
        body.add(b"x" * size)
        body.on_room = lambda: self.resumed.append(name)
        return body

    # Guards against: bytes from the middle of a body are sent in place of its begin (review case 6).
    def test_bytes_that_were_dropped_cannot_be_read(self) -> None:
        body = self.body(REPLAY_LIMIT_BYTES + 1)
        body.mark_sent(len(body))
        self.assertFalse(body.replayable)
        with self.assertRaises(DiscardedBytesError):
            body.read(0, 1)
        self.assertEqual(body.read(body.end, 1), b"")

    # Guards against: a body that is here whole loses its front, though another server may need it.
    def test_a_complete_body_is_kept_while_memory_lasts(self) -> None:
        self.budget.limit_bytes = 4 * REPLAY_LIMIT_BYTES
        body = self.body(REPLAY_LIMIT_BYTES + 1)
        body.finish()
        body.mark_sent(body.end)
        self.assertTrue(body.replayable)
        self.body(2 * REPLAY_LIMIT_BYTES)  # memory is short now
        body.mark_sent(body.end)
        self.assertFalse(body.replayable)


class DyingServers(ProxyProcessTest):
    """The first server that gets a request dies while it receives it; the next one answers."""

    sizes: ClassVar[tuple[int, ...]] = (230_000, 262_144, *range(263_000, 278_000, 2_000), 300_000)

    def setUp(self) -> None:
        super().setUp()
        self.died: set[str] = set()
        self.bodies: list[tuple[str, bytes]] = []
        self.lock = threading.Lock()
        scripts = {"1": self.die_once}
        servers = [self.peer(ScriptedServer(scripts, SERVER_BUFFER_BYTES)) for _ in range(3)]
        for server in servers:
            server.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(servers)))

    def die_once(self, exchange: Exchange) -> None:
        with self.lock:
            first = exchange.identity not in self.died
            self.died.add(exchange.identity)
        if first:
            exchange.stream.read(READ_BEFORE_DEATH_BYTES)
            reset(exchange.connection)
            raise OSError("dead")
        self.bodies.append((exchange.identity, exchange.read_body()))
        exchange.send(answer(b"done"))

    def upload(self, size: int, chunked: bool) -> Answered:
        identity = f"{size}-{chunked}"
        body = random.Random(identity).randbytes(size)
        return ask(self.port, request("/scan/1", identity, WAIT_S, body, chunked))

    def judge(self, sizes: tuple[int, ...]) -> dict[int, set[int]]:
        """Check each body that ran, and return the statuses by size."""
        statuses: dict[int, set[int]] = {}
        for size in sizes:
            for chunked in (False, True):
                answered = self.upload(size, chunked)
                self.assertLess(answered.last_s, WAIT_S)
                statuses.setdefault(size, set()).add(answered.status)
        for identity, body in self.bodies:
            size = int(identity.partition("-")[0])
            self.assertTrue(body == random.Random(identity).randbytes(size), identity)
        return statuses

    # Guards against: the second server runs a body that its client did not send (review case 6).
    def test_the_next_server_gets_the_body_as_it_was_sent(self) -> None:
        statuses = self.judge(self.sizes)
        self.assertEqual(statuses[230_000], {200})
        self.assertLessEqual(set().union(*statuses.values()), {200, 503})


class DyingServersShortOfMemory(DyingServers):
    """As above with the smallest budget: a body over 64 KiB is enough for memory pressure."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 25.5, "sockets": 256}
    sizes: ClassVar[tuple[int, ...]] = (60_000, *range(64_000, 82_000, 2_000), 230_000)

    # Guards against: as above, where memory is short.
    def test_the_next_server_gets_the_body_as_it_was_sent(self) -> None:
        statuses = self.judge(self.sizes)
        self.assertEqual(statuses[60_000], {200})
        # 502: all of it was with the kernel when the server died, and its front is not here any more.
        self.assertLessEqual(set().union(*statuses.values()), {200, 502, 503})
