"""A request is handed to the kernel in the call that starts its attempt, right after the last check."""

from __future__ import annotations

import socket
import struct
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from lupinlink.interface import Status
from lupinlink.net.application_servers.dialling import Dial
from lupinlink.net.application_servers.sending import SendingConnection
from lupinlink.net.bodies import SMALL_BODY_BYTES
from lupinlink.net.request_types import AttemptResult
from tests.manual_reactor import ManualReactorTest, update_that
from tests.proxy_process import NEVER_RAN, OK, WAIT

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


class WrittenAtOnce(ManualReactorTest):
    def test_a_request_on_a_kept_connection_is_out_before_the_turn_goes_on(self) -> None:
        server, _ = self.loop.idle_connection()
        _, ends = self.loop.attempt(b"body")
        self.assertTrue(self.received_by(server).endswith(b"body"))
        self.drain()  # later in the same iteration: too late to stop it, and no second copy is sent
        self.iterate()
        self.assertEqual((self.received_by(server), ends), (b"", []))
        server.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.OK)

    def test_a_request_on_a_new_connection_is_out_as_it_comes_up(self) -> None:
        servers: list[bytes] = []

        connected = Dial.connected

        def up(dial: Dial, connection: Any) -> None:
            connected(dial, connection)
            accepted, _ = self.loop.listener.accept()
            self.addCleanup(accepted.close)
            servers.append(self.received_by(accepted))

        with patch.object(Dial, "connected", up):
            self.loop.attempt(b"body")
            self.loop.iterate_until(lambda: servers)
        self.assertTrue(servers[0].endswith(b"body"))

    def test_of_a_long_body_only_the_head_goes_at_once_and_the_rest_follows(self) -> None:
        server, connection = self.loop.idle_connection()
        body = b"x" * (3 * SMALL_BODY_BYTES)
        _, ends = self.loop.attempt(body)
        head = self.received_by(server)
        # No body yet: it may commit the attempt, which is not returned to its caller yet.
        self.assertTrue(head.endswith(b"\r\n\r\n"))
        self.assertFalse(connection._written)
        got = b""
        until = time.monotonic() + WAIT
        while len(got) < len(body) and time.monotonic() < until:
            self.iterate(1)
            got += self.received_by(server)
        self.assertEqual(got, body)
        server.sendall(OK)
        self.loop.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.OK)

    def test_a_break_before_the_last_byte_proves_that_it_never_ran_and_after_it_not(self) -> None:
        for size, status in ((0, Status.RESET), (3 * SMALL_BODY_BYTES, Status.UNREACHABLE)):
            server, _ = self.loop.idle_connection()
            _, ends = self.loop.attempt(b"x" * size)
            server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            server.close()  # in the same iteration
            self.until_ended(ends)
            self.iterate()
            self.assertEqual([end.status for end in ends], [status])

    def test_a_write_that_fails_ends_the_attempt_once_as_never_run(self) -> None:
        server, connection = self.loop.idle_connection()

        def reset() -> None:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            server.close()
            self.loop.wait_for_data(connection)

        # After every check, so that only the write itself fails.
        with patch.object(SendingConnection, "_server_spoke_first", lambda sending: reset()):
            _, ends = self.loop.attempt()
        self.assertEqual(ends, [])
        self.loop.iterate_until(lambda: ends)
        self.iterate()
        self.assertEqual([end.status for end in ends], [Status.UNREACHABLE])
        self.loop.close_all()


class EndedLast(ManualReactorTest):
    """The server closes or sends data between the check of an idle connection and the write."""

    def crossed(self, cross: Callable[[socket.socket], object]) -> tuple[socket.socket, list[AttemptResult]]:
        server, connection = self.loop.idle_connection()

        def between() -> None:
            cross(server)
            self.loop.wait_for_data(connection)

        self.servers.read_pending_updates = update_that(between)
        _, ends = self.loop.attempt()
        self.servers.read_pending_updates = lambda: False
        self.until_ended(ends)
        self.iterate()
        self.assertEqual(len(ends), 1)
        return server, ends

    def test_an_end_proves_that_it_never_ran(self) -> None:
        server, ends = self.crossed(lambda server: server.shutdown(socket.SHUT_WR))
        self.assertEqual((ends[0].status, server.recv(1)), (Status.UNREACHABLE, b""))

    def test_late_bytes_are_no_answer(self) -> None:
        for late in (OK, OK[:5]):
            self.setUp()  # late bytes change what the connections are used for
            server, ends = self.crossed(lambda server, late=late: server.sendall(late))  # type: ignore[misc]
            self.assertEqual((ends[0].status, self.end_of(server)), (Status.NOT_SENT, b""))

    def test_a_refusal_before_the_request_is_reported_as_one(self) -> None:
        server, ends = self.crossed(lambda server: server.sendall(NEVER_RAN))
        self.assertEqual((ends[0].status, self.end_of(server)), (Status.OVERLOADED, b""))

    def test_informational_answers_change_nothing(self) -> None:
        server, connection = self.loop.idle_connection()
        server.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.loop.wait_for_data(connection)
        with patch.object(type(connection), "usable", lambda connection: True):
            _, ends = self.loop.attempt(b"body")
        self.assertTrue(self.received_by(server).endswith(b"body"))
        server.sendall(OK)
        self.until_ended(ends)
        self.assertEqual(ends[0].status, Status.OK)


if __name__ == "__main__":
    unittest.main()
