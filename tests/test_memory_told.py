"""What logs and gauges tell of memory, and a real process that has little of it (incident 693c92)."""

from __future__ import annotations

import math
import socket
import time
import unittest
from typing import Any, ClassVar

from twisted.internet.task import Clock

from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind
from lupinlink.net.memory_watch import MemoryWatch
from lupinlink.net.process import MIB
from lupinlink.net.timer_wheel import ReactorClock
from tests.loopback_servers import WAIT
from tests.proxy_process import ApplicationServer, ProxyProcessTest, row

LARGE_LIST, LARGE_LIST_SPARE_MB = 3200, 14.0  # entries (STANDING); it takes some 5 MB of that


class Watch(unittest.TestCase):
    # Guards against: a log that cannot tell why a process was killed.
    def test_peaks_and_levels_are_told_by_kind(self) -> None:
        reactor: Any = Clock()
        clock, account, taken_mb = ReactorClock(reactor), MemoryAccount(4 * MIB), [20.0]
        now = [0.0]
        clock.now = lambda: now[0]  # type: ignore[method-assign]
        watch, holding = (
            MemoryWatch(account, clock, 25.0, lambda: taken_mb[0]),
            Holding(account, MemoryKind.BODIES),
        )
        with self.assertLogs("lupinlink.net.memory_watch") as logs:
            watch.start(20.0)
            for held, taken in ((3 * MIB, 23.0), (0, 23.0), (3 * MIB, 23.0), (0, 23.0), (0, 23.0)):
                holding.set(held)
                taken_mb[0], now[0] = taken, now[0] + 400.0
                watch._measure()
        facts = [(record.getMessage(), record.__dict__["kv"]) for record in logs.records]
        levels = [kv for message, kv in facts if message == "memory level"]
        self.assertEqual([message for message, _ in facts].count("memory peak"), 1)
        self.assertEqual(
            [(kv["was"], kv["now"]) for kv in levels], [("normal", "refuse"), ("refuse", "normal")]
        )
        self.assertEqual((levels[0]["bodies_kb"], levels[1]["changes"]), (3072, 3))
        self.assertEqual(watch.gauges()["memory_level"], 0)


class ShortOfMemory(ProxyProcessTest):
    """A real process with two megabytes for all its clients."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "sockets": 256}
    spare_mb: ClassVar[float | None] = 2.0

    # Guards against: unfinished heads fill the memory, stay for ever, or keep others out after their end.
    def test_unfinished_heads_are_answered_and_others_are_served_after_them(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.await_up()
        part = b"GET /look/1 HTTP/1.1\r\nX-Long: " + b"x" * 15_000
        begin = time.monotonic()
        clients = [self.connect(part) for _ in range(60)]
        for client in clients:
            client.settimeout(WAIT)
            self.assertTrue(self.answer_of(client).startswith((b"HTTP/1.1 408", b"HTTP/1.1 503")))
        self.assertLess(time.monotonic() - begin, 5.0)
        for client in clients:
            client.close()
        self.settle(memory_received_kb=0, memory_level=0)
        self.assertEqual(self.ask().status, 200)

    @staticmethod
    def answer_of(client: socket.socket) -> bytes:
        got = b""
        while piece := client.recv(4096):
            got += piece
        return got

    # Guards against: a list that was known at the start is counted again beside the memory at rest.
    def test_a_process_with_a_large_list_and_little_memory_serves(self) -> None:
        server = self.peer(ApplicationServer())
        self.spare_mb = LARGE_LIST_SPARE_MB  # type: ignore[misc]
        self.start(*(row(f"s-{number}", server) for number in range(LARGE_LIST)))
        self.await_up()
        self.assertEqual((self.gauges()["memory_level"], self.gauges()["memory_kept_kb"]), (0, 0))
        self.assertEqual(self.ask().status, 200)

    def test_gauges_tell_what_is_held(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer(None))))
        self.await_up()
        waiting = self.client()
        self.send(waiting, ms=9000)
        self.connect(b"GET /look/1 HTTP/1.1\r\nX-Long: " + b"x" * 8192)
        until = time.monotonic() + WAIT
        while not (now := self.gauges())["memory_received_kb"] or not now["memory_requests_kb"]:
            self.assertLess(time.monotonic(), until, now)
        self.assertGreaterEqual(now["memory_used_kb"], 8)
        self.assertLess(now["memory_limit_kb"], math.ceil(2.1 * 1024))
