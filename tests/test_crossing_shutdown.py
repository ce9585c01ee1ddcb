"""A stop while requests are in the accept queue or being received, with short and long deadlines."""

from __future__ import annotations

import math
import signal
import socket
import time
import unittest
from types import SimpleNamespace
from typing import Any, ClassVar, cast

from twisted.internet.task import Clock

from lupinlink.net.bodies import REPLAY_LIMIT_BYTES
from lupinlink.net.client_drain import ClientDrain
from lupinlink.net.clients import Clients, Listener
from lupinlink.net.counters import Counters
from lupinlink.net.lifecycle import STOP_IDLE_MS, Lifecycle
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import RequestClass, Settings
from tests.proxy_process import WAIT, ApplicationServer, ProxyProcessTest, row


class Times(unittest.TestCase):
    def test_all_is_answered_before_the_kill_whatever_the_deadlines(self) -> None:
        """The kill comes the longest deadline, at most 3 s, and 0.7 s after SIGTERM."""
        for longest, last, leave in (
            (1000.0, 1350.0, 1400.0),
            (3000.0, 3350.0, 3400.0),
            (9e3, 3350.0, 3400.0),
        ):
            state = Lifecycle(longest)
            self.assertEqual((state.answer_all_ms, state.exit_ms), (last, leave))
        for longest in (50.0, 150.0, 700.0, 2999.0, 3001.0):
            state = Lifecycle(longest)
            kill = min(longest, 3000.0) + 700.0
            self.assertTrue(STOP_IDLE_MS <= state.answer_all_ms < state.exit_ms < kill, longest)

    def test_with_a_successor_idle_connections_close_before_the_kill_too(self) -> None:
        state = Lifecycle(1000.0)
        state.serve()
        state.hand_over(0.0)
        state.stop(10.0)
        self.assertEqual(state.close_idle_from(), 10.0 + 1350.0)


class Stopping(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure"}],
    }

    def test_a_body_that_never_ends_is_answered_before_the_kill_of_short_deadlines(self) -> None:
        server = self.peer(ApplicationServer(None))
        self.start(row("s-1", server))
        size = 2 * REPLAY_LIMIT_BYTES
        head = b"POST /look/1 HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: %d\r\n\r\n" % size
        upload = self.connect(head + b"x" * (size - 1))  # submitted; its time has not begun
        self.settle(bodies_flowing=1)
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(upload.recv(4096)[:12], b"HTTP/1.1 504")
        self.assertLess(time.monotonic() - began, 2.5)  # 1.35 s; without the settings' deadlines it is 3.35 s


class Sockets:
    """A reactor that reads nothing by itself; the test reads in the order that it wants."""

    def addReader(self, reader: Any) -> None:  # noqa: N802
        """The test reads."""

    removeReader = removeWriter = addReader  # noqa: N815

    def callLater(self, delay: float, call: Any, *args: Any) -> None:  # noqa: N802
        """A socket is closed at once, not in the next iteration."""
        call(*args)


class Queue(unittest.TestCase):
    """The accept queue as timers see it, which run before the listener is read in a loop iteration."""

    def setUp(self) -> None:
        reactor, settings = cast(Any, Clock()), Settings(classes=(RequestClass(300.0, 1000.0),))
        self.clock, self.lifecycle = ReactorClock(reactor), Lifecycle(1000.0)
        self.proxy = cast(Any, SimpleNamespace(open=0, close=lambda: None))
        self.discovery_client = SimpleNamespace(stop=lambda: None)
        self.clients = Clients(
            self.proxy, cast(Any, None), self.clock, settings, self.lifecycle, 8, 8.0, Counters()
        )
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listening.close)
        listener = cast(Any, Listener.on(self.listening, self.clients, Sockets()))
        listener.startListening()
        self.addCleanup(listener.socket.close)
        self.clients.port = listener
        self.lifecycle.serve()
        late = socket.create_connection(self.listening.getsockname(), WAIT)
        self.addCleanup(late.close)

    def empty(self) -> None:
        self.listening.accept()[0].close()

    def test_connections_in_the_accept_queue_are_accepted_before_the_exit(self) -> None:
        self.lifecycle.stop(self.clock.now() - self.lifecycle.answer_all_ms)  # late enough to exit
        left = list[bool]()
        ClientDrain(cast(Any, self), lambda: left.append(True)).start()
        self.assertEqual(left, [])
        self.empty()
        ClientDrain(cast(Any, self), lambda: left.append(True)).start()
        self.assertEqual(left, [True])

    def test_while_accepting_is_paused_the_wait_is_unknown_only_until_the_queue_is_empty(self) -> None:
        self.clients.accept_paused = True  # the listener is not read
        self.clients._sweep()
        # Those that wait may have waited since before the start.
        self.assertEqual(self.clients.accept_queue.since, -math.inf)
        self.empty()
        self.clients.accept_paused = True
        before = self.clock.now()
        self.clients._sweep()
        assert self.clients.accept_queue.since is not None
        self.assertGreaterEqual(self.clients.accept_queue.since, before)
