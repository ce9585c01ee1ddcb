"""The base of tests of attempts on real sockets, which iterate the reactor themselves."""

from __future__ import annotations

import select
import socket
import struct
import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from lupinlink.interface import Endpoint, Status
from lupinlink.limits.connection_reuse import REST_MS
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.application_servers.attempts import Attempt
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.request_types import AttemptResult, ClientRequest
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import RequestClass, Settings
from tests.loopback_servers import OK, WAIT

LONG_MS = WAIT * 1000.0
NOW = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class AttemptTest(unittest.TestCase):
    """Application servers of one process, whose reactor the test iterates."""

    def setUp(self) -> None:
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.addCleanup(self.close_loop)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        told = Settings(classes=(RequestClass(300.0, 1000.0),), dial_timeout_ms=LONG_MS)
        self.clock = ReactorClock(self.reactor)
        self.servers = ApplicationServers(self.reactor, self.clock, told, 8, Counters())
        self.update_server()

    def update_server(self) -> None:
        self.servers.update_list([(Endpoint("s-1"), *self.listener.getsockname())], True)

    def close_all(self) -> None:
        self.servers.close()
        self.iterate_until(lambda: not len(self.servers.connections))

    def close_loop(self) -> None:
        self.reactor.disconnectAll()
        for call in self.reactor.getDelayedCalls():
            call.cancel()
        self.reactor.iterate(0)
        for end in (self.reactor.waker.i, self.reactor.waker.o):
            if hasattr(end, "close"):
                end.close()

    def attempt(self, body: bytes = b"", method: str = "POST") -> tuple[Attempt, list[AttemptResult]]:
        call = ClientRequest("t", 0, 0, LONG_MS, False, method, "/x", [], Body.from_bytes(body))
        attempt = self.servers.start("s-1", call, LONG_MS, self.clock.now() + LONG_MS, lambda: True)
        ends: list[AttemptResult] = []
        attempt.ended.addCallback(ends.append)
        return attempt, ends

    def iterate_until(self, seen: Callable[[], object]) -> None:
        until = self.clock.now() + LONG_MS
        while not seen():
            self.assertLess(self.clock.now(), until)
            self.reactor.iterate(0.01)

    def accept_request(self) -> socket.socket:
        """The server's end of a new connection, once it has received the whole request."""
        self.iterate_until(lambda: select.select([self.listener], [], [], 0)[0])
        server, _ = self.listener.accept()
        self.addCleanup(server.close)
        server.settimeout(WAIT)
        self.receive_request(server)
        return server

    def receive_request(self, server: socket.socket) -> None:
        got = b""
        while not got.endswith(b"\r\n\r\n"):
            self.iterate_until(lambda: select.select([server], [], [], 0)[0])
            got += (piece := server.recv(65536))
            self.assertTrue(piece, got)

    def idle_connection(self) -> tuple[socket.socket, Any]:
        """An idle connection of the pool that has rested: the server's end, and the proxy's."""
        _, ends = self.attempt()
        server = self.accept_request()
        server.sendall(OK)
        self.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.OK)
        (pool,) = self.servers._pools.values()
        connection = pool.idle[0]
        self.until_rested(connection)
        return server, connection

    def until_rested(self, connection: Any) -> None:
        """Wait until an idle connection may be used again."""
        self.iterate_until(lambda: self.clock.now() >= connection.idle_since + REST_MS)

    def wait_for_data(self, connection: Any) -> None:
        """Wait until data of the server has arrived, without reading it."""
        self.assertTrue(select.select([connection.transport.getHandle()], [], [], WAIT)[0])
