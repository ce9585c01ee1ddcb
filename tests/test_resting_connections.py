"""An attempt that waits until its connection has rested, and what may happen to either meanwhile."""

from __future__ import annotations

import select
import socket
from typing import Any
from unittest.mock import patch

from lupinlink.interface import Status
from lupinlink.limits.connection_reuse import REST_MS
from lupinlink.net.application_servers.attempts import Attempt
from lupinlink.net.request_types import AttemptResult
from tests.loopback_servers import OK
from tests.manual_reactor import ManualReactorTest

SLOW_ANSWERS_MS = 10_000.0  # so that a request would rather wait than open a connection


class RestingConnections(ManualReactorTest):
    def waiting(self) -> tuple[socket.socket, Any, Attempt, list[AttemptResult]]:
        """The server's end of a connection that has just answered, the proxy's, and an attempt that waits."""
        server, connection = self.loop.idle_connection()
        _, ends = self.loop.attempt()
        self.loop.receive_request(server)
        server.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        connection.pool.usual_answer_ms = SLOW_ANSWERS_MS
        attempt, ends = self.loop.attempt()
        self.assertEqual((self.received_by(server), ends, connection.pool.idle), (b"", [], []))
        return server, connection, attempt, ends

    def until_rested(self, connection: Any) -> None:
        self.loop.iterate_until(lambda: self.loop.clock.now() > connection.idle_since + 2 * REST_MS)

    def assert_sent_anew(self, ends: list[AttemptResult]) -> None:
        other = self.loop.accept_request()
        other.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.OK)

    # Guards against a second answer that meets the next request on its connection.
    def test_it_is_sent_on_the_same_connection_once_that_has_rested(self) -> None:
        server, connection, _, ends = self.waiting()
        self.loop.iterate_until(lambda: select.select([server], [], [], 0)[0])
        self.assertGreaterEqual(self.loop.clock.now(), connection.idle_since + REST_MS)
        self.loop.receive_request(server)
        server.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.OK)

    def test_it_gets_another_connection_if_this_one_ends_or_brings_unrequested_bytes(self) -> None:
        for more in (b"", OK):
            self.setUp()
            server, _, _, ends = self.waiting()
            if more:
                server.sendall(more)
            else:
                server.close()
            self.assert_sent_anew(ends)

    # Guards against a rest that is cut short where connections are scarce: a second answer meets a request.
    def test_where_connections_are_scarce_a_new_one_replaces_one_that_has_not_rested(self) -> None:
        server, connection = self.loop.idle_connection()
        _, ends = self.loop.attempt()
        self.loop.receive_request(server)
        server.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        self.servers.connections.capacity = 1  # all of it is taken
        connection.pool.round_trip_ms = connection.pool.usual_answer_ms = 0.0  # no wait is worth it
        _, ends = self.loop.attempt()
        self.assertEqual((self.end_of(server), connection.pool.idle), (b"", []))
        self.assertEqual(self.servers.counters["server_closes_not_rested"], 1)
        self.assert_sent_anew(ends)

    # Guards against the same where many connections to one server are idle, and against ever more of them.
    def test_with_many_idle_connections_a_new_one_replaces_one_too(self) -> None:
        server, connection = self.loop.idle_connection()
        connection.pool.round_trip_ms = connection.pool.usual_answer_ms = 0.0
        connection.requests_carried, connection.idle_since = 1, self.loop.clock.now()
        with patch("lupinlink.net.application_servers.pools.MAX_RESTING", 1):
            _, ends = self.loop.attempt()
        self.assertEqual((self.end_of(server), connection.pool.idle), (b"", []))
        self.assert_sent_anew(ends)

    # Guards against taking a server's idle time-out for a second answer, which would end all reuse.
    def test_an_idle_time_out_is_an_ordinary_close(self) -> None:
        server, connection = self.loop.idle_connection()
        server.sendall(b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
        self.loop.iterate_until(lambda: not connection.pool.idle)
        self.assertTrue(self.servers.reuse.is_allowed(self.loop.clock.now()))
        self.assertEqual(self.servers.counters["unrequested_bytes"], 0)

    def test_given_up_it_is_never_written_and_its_connection_goes_on_resting(self) -> None:
        server, connection, attempt, ends = self.waiting()
        idle_since = connection.idle_since
        attempt.give_up(Status.CANCELLED)
        self.assertEqual((connection.pool.idle, connection.idle_since), ([connection], idle_since))
        self.until_rested(connection)
        self.assertEqual(([end.status for end in ends], self.received_by(server)), ([Status.CANCELLED], b""))

    def test_of_a_server_that_drains_meanwhile_it_is_not_sent(self) -> None:
        server, connection, _, ends = self.waiting()
        self.drain()
        self.until_rested(connection)
        self.assertEqual(([end.status for end in ends], self.end_of(server)), ([Status.NOT_SENT], b""))
