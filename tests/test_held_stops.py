"""Stops of a process that is held up at SIGTERM and again shortly before the kill."""

from __future__ import annotations

import signal
import socket
import subprocess
import time
import unittest
from typing import Any, ClassVar

from tests.proxy_process import ApplicationServer, ProxyProcessTest, row

KILL_S = 1.7  # the longest deadline of the settings and 0.7 s after SIGTERM: the earliest kill
HOLD_S = 0.15
LAST_CONNECTION_S = 0.4  # after SIGTERM
HEADS = 30  # clients that have written part of a head
LATE_HOLDS_S = (1.25, 1.35, 1.45, 1.55)  # after SIGTERM
PART = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: a\r\n"


class HeldStops(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure"}],
    }

    def begin(self) -> list[socket.socket]:
        """Start the process; return the clients that have written part of a head."""
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.await_up()
        clients = [self.connect(PART) for _ in range(HEADS)]
        self.settle(clients_head=HEADS)
        return clients

    def hold(self, *signals: int) -> None:
        """Hold the process up; these signals reach it meanwhile."""
        for number in (signal.SIGSTOP, *signals):
            self.process.send_signal(number)
        time.sleep(HOLD_S)
        self.process.send_signal(signal.SIGCONT)

    # Guards against a stop that, held up at SIGTERM and again at its end, outlasts the earliest kill.
    def test_a_stop_that_is_held_up_twice_ends_before_the_kill(self) -> None:
        for late_s in LATE_HOLDS_S:
            with self.subTest(late_s=late_s):
                self.begin()
                sent = time.monotonic()
                self.hold(signal.SIGTERM)
                time.sleep(max(0.0, sent + late_s - time.monotonic()))
                self.hold()
                try:
                    self.assertEqual(self.process.wait(sent + KILL_S - time.monotonic()), 0)
                except subprocess.TimeoutExpired:
                    self.fail("outlasts the kill")

    # Guards against the same for a small body that is not whole, before its own time-out.
    def test_unfinished_bodies_are_answered_before_a_stop_ends(self) -> None:
        self.begin()
        self.process.send_signal(signal.SIGTERM)
        sent = time.monotonic()
        time.sleep(LAST_CONNECTION_S)
        client = self.connect(PART + b"Content-Length: 100\r\n\r\nhalf")
        self.assertEqual(client.recv(4096)[:12], b"HTTP/1.1 408")
        self.assertEqual(self.process.wait(sent + KILL_S - time.monotonic()), 0)

    # Guards against requests that have begun to arrive and whose connection a stop resets with no answer.
    def test_unfinished_heads_are_answered_before_a_stop_ends(self) -> None:
        clients = self.begin()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual({client.recv(4096)[:12] for client in clients}, {b"HTTP/1.1 408"})
        self.assertEqual(self.process.wait(KILL_S), 0)


if __name__ == "__main__":
    unittest.main()
