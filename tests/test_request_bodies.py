"""What becomes of a request's body between its client and the servers that it is sent to."""

from __future__ import annotations

import json
import random
import socket
import threading
import unittest
from typing import Any, ClassVar

from lupinlink.net.bodies import (
    REPLAY_LIMIT_BYTES,
    SMALL_BODY_BYTES,
    STREAM_WINDOW_BYTES,
    Body,
    DiscardedBytesError,
)
from lupinlink.net.body_budget import BodyBudget
from tests.loopback_servers import reset
from tests.proxy_process import ProxyProcessTest, chunk, listing, row
from tests.scripted_peers import (
    Answered,
    Exchange,
    ScriptedServer,
    answer,
    ask,
    default_script,
    request,
)

WAIT_S = 2.0
PIECE_BYTES = 16 * 1024
READ_BEFORE_DEATH_BYTES = 5922
SERVER_BUFFER_BYTES, SEGMENT_BYTES = 8192, 1460  # as of a server across a network


class States(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BodyBudget(2 * REPLAY_LIMIT_BYTES)
        self.resumed: list[str] = []

    def body(self, size: int, name: str = "") -> Body:
        body = Body(self.budget, None)
        for start in range(0, size, PIECE_BYTES):
            body.add(b"x" * min(PIECE_BYTES, size - start))
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

    # Guards against: uploads that are read no further once the memory pressure has passed (review case 7).
    def test_a_sender_paused_by_pressure_continues_when_another_body_ends_it(self) -> None:
        other = self.body(REPLAY_LIMIT_BYTES)
        body = self.body(SMALL_BODY_BYTES, "paused")
        self.assertTrue(body.full)
        body.pause()
        other.mark_sent(other.end // 2)
        self.assertEqual(self.resumed, ["paused"])
        other.discard()
        self.assertEqual(self.resumed, ["paused"])  # once

    # Guards against: as above, where the limit on memory rises, as at the end of an upgrade.
    def test_a_sender_paused_by_pressure_continues_when_the_limit_rises(self) -> None:
        self.budget.limit_bytes = SMALL_BODY_BYTES
        self.body(SMALL_BODY_BYTES, "paused").pause()
        self.budget.limit_bytes = SMALL_BODY_BYTES + 1
        self.assertEqual(self.resumed, [])
        self.budget.limit_bytes = 2 * SMALL_BODY_BYTES
        self.assertEqual(self.resumed, ["paused"])

    # Guards against: a body that is just as long as makes its sender wait is never dropped nor read on.
    def test_a_sender_paused_by_pressure_continues_when_its_body_is_sent(self) -> None:
        self.body(2 * REPLAY_LIMIT_BYTES)
        body = self.body(SMALL_BODY_BYTES, "paused")
        body.pause()
        body.mark_sent(body.end)
        self.assertEqual(self.resumed, ["paused"])

    # Guards against: a sender paused as its own body is long is never resumed, or before there is room.
    def test_a_sender_paused_by_its_own_length_continues_when_enough_is_sent(self) -> None:
        self.budget.limit_bytes = 8 * REPLAY_LIMIT_BYTES
        body = self.body(REPLAY_LIMIT_BYTES + STREAM_WINDOW_BYTES, "paused")
        body.pause()
        self.body(1).discard()
        self.assertEqual(self.resumed, [])
        body.mark_sent(body.end)
        self.assertEqual(self.resumed, ["paused"])

    # Guards against: as above, where memory gets short while it is being sent.
    def test_a_sender_paused_by_its_own_length_waits_for_memory_that_gets_short(self) -> None:
        self.budget.limit_bytes = 8 * REPLAY_LIMIT_BYTES
        body = self.body(REPLAY_LIMIT_BYTES + STREAM_WINDOW_BYTES, "paused")
        body.pause()
        other = self.body(5 * REPLAY_LIMIT_BYTES)
        body.mark_sent(body.end - SMALL_BODY_BYTES)
        self.assertEqual(self.resumed, [])
        other.discard()
        self.assertEqual(self.resumed, ["paused"])

    # Guards against: a body that has ended is resumed, or kept in memory by those that wait.
    def test_a_body_that_has_ended_waits_no_more(self) -> None:
        other, paused = self.body(REPLAY_LIMIT_BYTES), self.body(SMALL_BODY_BYTES, "paused")
        paused.pause()
        paused.discard()
        other.discard()
        self.assertEqual(self.resumed, [])


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
        """Check each body that ran and what its client was told, and return the statuses by size.

        502: the kernel had all of it when the server died, so it may have run; nothing else followed.
        """
        statuses: dict[int, set[int]] = {}
        ids: dict[int, set[str]] = {200: set(), 502: set(), 503: set()}
        for size in sizes:
            for chunked in (False, True):
                answered = self.upload(size, chunked)
                self.assertLess(answered.last_s, WAIT_S)
                self.assertIn(answered.status, ids)
                statuses.setdefault(size, set()).add(answered.status)
                ids[answered.status].add(f"{size}-{chunked}")
        ran = {identity for identity, _ in self.bodies}
        self.assertEqual((ids[200] - ran, ids[503] & ran), (set(), set()))
        for identity, body in self.bodies:
            size = int(identity.partition("-")[0])
            self.assertTrue(body == random.Random(identity).randbytes(size), identity)
        return statuses

    # Guards against: the second server runs a body that its client did not send (review case 6).
    def test_the_next_server_gets_the_body_as_it_was_sent(self) -> None:
        statuses = self.judge(self.sizes)
        self.assertEqual(statuses[230_000], {200})


class DyingServersShortOfMemory(DyingServers):
    """As above with the smallest budget: a body over 64 KiB is enough for memory pressure."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "sockets": 256}
    spare_mb: ClassVar[float | None] = 0.45
    sizes: ClassVar[tuple[int, ...]] = (60_000, *range(64_000, 82_000, 2_000), 230_000)

    # Guards against: as above, where memory is short.
    def test_the_next_server_gets_the_body_as_it_was_sent(self) -> None:
        statuses = self.judge(self.sizes)
        self.assertEqual(statuses[60_000], {200})


class PassingPressure(ProxyProcessTest):
    """Uploads are paused as memory is short; the memory is free again before a server takes them."""

    # A quarter of a megabyte for bodies; there is pressure from half of it on.
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "sockets": 256}
    spare_mb: ClassVar[float | None] = 1.0
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "scan", "AimMs": 2000.0, "HardLimitMs": 8000.0, "Effect": "token",
                     "Group": "zone", "MemorySpanMs": 2000.0}],
    }  # fmt: skip

    # Guards against: uploads that are read no further once the pressure has passed (review case 7).
    def test_an_upload_that_was_paused_is_read_on_and_served(self) -> None:
        server = self.peer(ScriptedServer({"1": default_script}))
        self.start(row("s-1", server, "terminating"))
        watch = self.discovery.watch()
        hog = self.connect(request("/scan/1", "hog", WAIT_S, b"h" * 400_000)[:200_000])
        self.settle(requests_now=1)
        found: list[Answered] = []
        paused = request("/scan/1", "paused", 8.0, b"p" * 90_000)
        thread = threading.Thread(target=lambda: found.append(ask(self.port, paused)))
        thread.start()
        self.settle(requests_now=2)
        hog.close()
        self.settle(requests_now=1)
        watch.sendall(chunk(json.dumps(listing(42, False, row("s-1", server))) + "\n"))
        thread.join()
        self.assertEqual(found[0].status, 200)
