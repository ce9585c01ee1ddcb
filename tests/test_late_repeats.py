"""Repeats of keyed requests that arrive slowly: their server may have forgotten the first attempt by then."""

from __future__ import annotations

import socket
import threading
import time
from functools import partial
from typing import Any, ClassVar

from lupinlink.interface import Status
from lupinlink.net.bodies import SMALL_BODY_BYTES, Body
from lupinlink.net.request_types import AttemptResult, ClientRequest, EndReason
from tests.loopback_servers import OK, reset
from tests.manual_reactor import ManualReactorTest
from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Answered, Exchange, ScriptedServer, all_at_once, answer, ask, request

WINDOW_S, WAIT_S, WORK_S = 0.7, 4.0, 0.6
TROUBLE_AFTER_S = 0.3
SLACK_S = 0.2  # the pages' 50 ms, and 150 ms for a process that is held up
READ_S = 1.5  # of a whole body, once servers are slow
PIECE_BYTES = 2048
SERVER_BUFFER_BYTES, SEGMENT_BYTES = 4096, 1460  # as of a server across a network
MOST_BUFFERED_BYTES = 24_000  # at a server's machine and in its process, read later than it arrived
ACKNOWLEDGED_MS = 300.0  # longer than Linux delays an acknowledgement
SIZES = (62_000, 90_000, 140_000, 200_000, 250_000)


class LateRepeats(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "scan", "AimMs": 2000.0, "HardLimitMs": WAIT_S * 1000.0, "Effect": "token",
                     "Group": "all", "MemorySpanMs": WINDOW_S * 1000.0}],
    }  # fmt: skip

    def setUp(self) -> None:
        super().setUp()
        self.slow, self.trouble = threading.Event(), threading.Event()
        self.ran_at: dict[str, list[float]] = {}
        self.servers = [self.peer(ScriptedServer({"1": self.run_it}, SERVER_BUFFER_BYTES)) for _ in range(4)]
        for server in self.servers:
            server.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(self.servers)))

    def run_it(self, exchange: Exchange) -> None:
        left = size = int(exchange.headers["content-length"])
        while left:
            piece = exchange.stream.read(min(left, PIECE_BYTES))
            if not piece:
                raise OSError("cut")
            left -= len(piece)
            if self.slow.is_set():
                time.sleep(READ_S * len(piece) / size)
        self.ran_at.setdefault(exchange.identity, []).append(time.monotonic())
        if len(self.ran_at[exchange.identity]) == 1 and self.trouble.wait(WORK_S):
            reset(exchange.connection)
            raise OSError("reset")
        exchange.send(answer(b"done"))

    def upload(self, size: int) -> Answered:
        return ask(self.port, request("/scan/1", str(size), WAIT_S, b"u" * size))

    def begin_trouble(self, then_slow: bool) -> None:
        """Reset the connections of all requests that run; from now on bodies are read slowly, if told."""
        if then_slow:
            self.slow.set()
        self.trouble.set()

    def play(self, then_slow: bool) -> dict[int, Answered]:
        calls = [partial(self.upload, size) for size in SIZES]
        trouble = threading.Timer(TROUBLE_AFTER_S, self.begin_trouble, [then_slow])
        trouble.start()
        found = all_at_once(*calls)
        trouble.join()
        return dict(zip(SIZES, found, strict=True))

    # Guards against: a repeat that is written slowly arrives after the window and runs again (review case 8).
    def test_no_repeat_arrives_whole_after_the_window(self) -> None:
        found = self.play(then_slow=True)
        time.sleep(READ_S)  # what is with a kernel may still arrive
        for size, answered in found.items():
            with self.subTest(size=size):
                first, *repeats = self.ran_at[str(size)]  # in the order of their last bytes
                until = first + WINDOW_S + SLACK_S + READ_S * MOST_BUFFERED_BYTES / size
                self.assertEqual([at - until for at in repeats if at > until], [])
                self.assertGreater(answered.status, 0)
                self.assertLess(answered.last_s, WAIT_S)

    # Guards against: repeats that arrive in time are ended with those that do not.
    def test_a_repeat_that_arrives_within_the_window_is_served(self) -> None:
        self.assertEqual({answered.status for answered in self.play(then_slow=False).values()}, {200})


class WindowOfAnAttempt(ManualReactorTest):
    def attempt(self, size: int, window_ms: float) -> list[AttemptResult]:
        call = ClientRequest("t", 0, 0, 1e4, False, "POST", "/x", [], Body.from_bytes(b"x" * size))
        arrive_by_ms = self.loop.clock.now() + window_ms
        ends: list[AttemptResult] = []
        attempt = self.loop.servers.start("s-1", call, 1e4, arrive_by_ms, lambda: True)
        attempt.ended.addCallback(ends.append)
        return ends

    # Guards against: as above; whether it may have run depends on what the kernel has taken.
    def test_an_attempt_with_bytes_left_is_ended_at_the_end_of_its_window(self) -> None:
        self.loop.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_BUFFER_BYTES)
        self.loop.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        for size, status in ((SMALL_BODY_BYTES, Status.CANCELLED), (400 * SMALL_BODY_BYTES, Status.NOT_SENT)):
            began = self.loop.clock.now()
            ends = self.attempt(size, 300.0)
            self.until_ended(ends)
            self.assertEqual([(end.status, end.why) for end in ends], [(status, EndReason.ARRIVES_TOO_LATE)])
            self.assertLess(self.loop.clock.now() - began, 600.0)

    # Guards against: an attempt is ended though its server has received it.
    def test_an_attempt_that_has_arrived_may_be_answered_after_its_window(self) -> None:
        server, _ = self.loop.idle_connection()
        ends = self.attempt(100, ACKNOWLEDGED_MS)
        until = self.loop.clock.now() + 2.0 * ACKNOWLEDGED_MS
        self.loop.iterate_until(lambda: self.loop.clock.now() >= until)
        self.assertEqual(ends, [])
        server.sendall(OK)
        self.until_ended(ends)
        self.assertEqual(ends[0].status, Status.OK)
