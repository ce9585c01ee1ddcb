"""Real processes and servers that read large requests slowly or not: incident 5e36ff, late answers."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Sequence
from functools import partial
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import (
    Answered,
    Exchange,
    Script,
    ScriptedServer,
    all_at_once,
    answer,
    ask,
    default_script,
    paced,
    request,
    stop_reading,
)

WAIT_S = 0.87
SLACK_S = 0.3  # for a busy machine; an answer half a second late is lost
SIZES = (100_000, 744_446, 920_418, 3_500_000)
SERVER_BUFFER_BYTES = 8192
SLOW_READ_PER_S, FAIR_READ_PER_S = 700_000.0, 12_000_000.0
SLOW_CLIENT_PER_S = 64_000.0  # the slowest client of the pages
CLIENT_BUFFER_BYTES = 262_144
SEGMENT_BYTES = 1460  # of a server across a network
MEMORY_TAKERS = 16
FIRST_WRITES = range(4_000, 64_000, 6_000)  # bytes; they shift where the segments of the rest begin


def read_slowly(exchange: Exchange) -> None:
    exchange.read_body(SLOW_READ_PER_S)
    exchange.send(answer(exchange.identity.encode()))


def read_fairly(exchange: Exchange) -> None:
    exchange.read_body(FAIR_READ_PER_S)
    exchange.send(answer(exchange.identity.encode()))


SCRIPTS: dict[str, Script] = {
    "stuck": partial(stop_reading, read_bytes=5922, stay_s=4.0),
    "slow": read_slowly,
    "fair": read_fairly,
    "quick": default_script,
}


def judge_in_time(
    test: unittest.TestCase, plays: Sequence[tuple[int, int]], found: Sequence[Answered]
) -> None:
    """Each upload was written at once and has its answer in its time."""
    for play, answered in zip(plays, found, strict=True):
        with test.subTest(upload=play):
            test.assertLess(answered.written_s, 0.5)
            test.assertNotEqual(answered.status, 0)
            test.assertLess(answered.last_s, WAIT_S + SLACK_S)


class HeldBackUploads(ProxyProcessTest):
    """Uploads that are paused early, as bodies of others take the memory."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 60, "sockets": 512}
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"}],
    }

    def setUp(self) -> None:
        super().setUp()
        servers = [self.peer(ScriptedServer(SCRIPTS, SERVER_BUFFER_BYTES)) for _ in range(4)]
        for server in servers:
            server.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(servers)))
        for number in range(MEMORY_TAKERS):
            whole = request("/note/stuck", f"takes-{number}", WAIT_S, b"u" * 1_000_000)
            self.connect(whole[: len(whole) // 2])
        self.settle(requests_now=MEMORY_TAKERS)

    # Guards against: with little unread a request is taken for unwritten, and answered seconds late (case 9).
    def test_a_request_that_its_client_machine_holds_back_is_answered_in_time(self) -> None:
        def upload(first: int, size: int) -> Answered:
            data = request("/note/stuck", f"{first}-{size}", WAIT_S, b"u" * size)
            return ask(self.port, data[:first], 0.03, data[first:])

        plays = [(first, size) for first in FIRST_WRITES for size in (150_000, 300_000)]
        found = all_at_once(*(partial(upload, *play) for play in plays))
        judge_in_time(self, plays, found)

    # Guards against: the same bound cuts off uploads that slow clients are still writing (5e36ff).
    def test_a_sound_upload_of_a_slow_client_is_served(self) -> None:
        whole = [request("/note/slow", f"slow-{size}", WAIT_S, b"u" * size) for size in (90_000, 200_000)]
        found = all_at_once(*(partial(ask, self.port, *paced(data, SLOW_CLIENT_PER_S)) for data in whole))
        self.assertEqual([answered.status for answered in found], [200] * 2)
        self.assertGreater(found[0].written_s, WAIT_S)


class UnreadUploads(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"}],
    }

    def setUp(self) -> None:
        super().setUp()
        self.servers = [self.peer(ScriptedServer(SCRIPTS, SERVER_BUFFER_BYTES)) for _ in range(2)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(self.servers)))

    def upload(self, name: str, size: int, chunked: bool, send_buffer: int = 0) -> Answered:
        data = request(f"/note/{name}", f"{name}-{size}-{chunked}", WAIT_S, b"u" * size, chunked)
        return ask(self.port, data, send_buffer=send_buffer)

    def judge_in_time(self, name: str, sizes: tuple[int, ...]) -> None:
        """What is written whole has its answer in its time, whatever the servers read of it."""
        plays = [(size, chunked) for size in sizes for chunked in (False, True)]
        found = all_at_once(*(partial(self.upload, name, *play) for play in plays))
        judge_in_time(self, plays, found)

    # Guards against: the final answer comes seconds late where servers stop reading a large request.
    def test_a_request_that_servers_stop_reading_is_answered_in_time(self) -> None:
        self.judge_in_time("stuck", SIZES)

    # Guards against: the time of a request counts from when it was read here, not from when it was written.
    def test_a_request_that_a_server_reads_slowly_is_answered_in_time(self) -> None:
        self.judge_in_time("slow", (1_500_000, 3_500_000))

    # Guards against: a bound on unread requests cuts off uploads that clients are still writing.
    def test_sound_uploads_of_slow_clients_are_served(self) -> None:
        whole = request("/note/quick", "slow-client", WAIT_S, b"u" * 200_000)
        chunked = request("/note/quick", "slow-chunks", WAIT_S, b"u" * 150_000, chunked=True)
        paused = request("/note/quick", "paused", WAIT_S, b"u" * 600_000)
        found = all_at_once(
            partial(ask, self.port, *paced(whole, SLOW_CLIENT_PER_S)),
            partial(ask, self.port, *paced(chunked, SLOW_CLIENT_PER_S)),
            partial(ask, self.port, paused[:400_000], 1.2, paused[400_000:]),
        )
        self.assertEqual([answered.status for answered in found], [200] * 3)
        self.assertGreater(found[0].written_s, 2.0)

    # Guards against: as above, where a server reads no faster than a client writes for longer than its time.
    def test_sound_uploads_that_take_longer_than_their_time_are_served(self) -> None:
        found = all_at_once(
            partial(self.upload, "fair", 24_000_000, False, CLIENT_BUFFER_BYTES),
            partial(self.upload, "quick", 30_000_000, True, CLIENT_BUFFER_BYTES),
        )
        self.assertEqual([answered.status for answered in found], [200] * 2)
        self.assertGreater(found[0].written_s, WAIT_S)
