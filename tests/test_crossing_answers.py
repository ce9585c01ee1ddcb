"""An answer, the close of its connection and a time-out in one loop iteration, on real sockets.

Their order within an iteration cannot be forced from outside the process, so the test iterates the reactor.
"""

from __future__ import annotations

import select
import socket
import struct
import unittest

from lupinlink.interface import Status
from lupinlink.net.bodies import SMALL_BODY_BYTES
from tests.attempt_test import AttemptTest
from tests.loopback_servers import OK

NOW = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class Crossings(AttemptTest):
    def test_an_answer_that_has_arrived_precedes_a_time_out_and_a_cancel(self) -> None:
        server, connection = self.idle_connection()
        for status in (Status.TIMEOUT, Status.CANCELLED):
            attempt, ends = self.attempt()
            self.receive_request(server)
            server.sendall(OK)
            self.wait_for_data(connection)
            attempt.give_up(status)
            self.assertEqual([end.status for end in ends], [Status.OK])
            self.assertEqual(self.servers.gauges()["server_connections_idle"], 1)
            self.until_rested(connection)

    def test_a_time_out_of_the_last_attempt_does_not_end_the_next_on_its_connection(self) -> None:
        # Timers that are due together all run, even one that another of them has dropped.
        server, connection = self.idle_connection()
        attempt, ends = self.attempt()
        self.receive_request(server)
        server.sendall(OK[:-1])
        self.iterate_until(lambda: connection._parser.started())
        late = attempt._time_is_up
        server.sendall(OK[-1:])
        self.wait_for_data(connection)
        attempt.give_up(Status.TIMEOUT)
        self.until_rested(connection)
        _, next_ends = self.attempt()
        late()
        self.receive_request(server)
        server.sendall(OK)
        self.iterate_until(lambda: next_ends)
        self.assertEqual([end.status for end in ends + next_ends], [Status.OK, Status.OK])

    def test_data_that_is_seen_but_cannot_be_read_does_not_loop(self) -> None:
        # Data that a peek sees may not be readable yet: the connection must not loop until it is.
        server, connection = self.idle_connection()
        attempt, ends = self.attempt()
        self.receive_request(server)
        looks = iter([b"x"] * 100)
        connection._waits = lambda: next(looks)  # StopIteration: it loops
        attempt.give_up(Status.TIMEOUT)
        self.assertEqual([end.status for end in ends], [Status.TIMEOUT])

    def test_a_partial_answer_times_out_and_its_close_is_sent_before_the_next_request(self) -> None:
        server, connection = self.idle_connection()
        attempt, ends = self.attempt()
        self.receive_request(server)
        server.sendall(OK[:-1])
        self.wait_for_data(connection)
        ended_there: list[bytes] = []
        # Called without an iteration of the reactor in between.
        attempt.ended.addCallback(lambda end: ended_there.append(server.recv(1)))
        attempt.give_up(Status.TIMEOUT)
        server.sendall(OK[-1:])
        self.reactor.iterate(0)
        self.assertEqual(([end.status for end in ends], ended_there), ([Status.TIMEOUT], [b""]))

    def test_an_idle_connection_with_late_bytes_or_a_close_is_not_used(self) -> None:
        for cut in (OK, OK[:5], b""):
            case = Crossings()  # late bytes change what its connections are used for
            case.setUp()
            self.addCleanup(case.doCleanups)
            server, connection = case.idle_connection()
            if cut:
                server.sendall(cut)
            else:
                server.shutdown(socket.SHUT_WR)
            case.wait_for_data(connection)
            _, ends = case.attempt()
            other = case.accept_request()
            other.sendall(OK)
            case.iterate_until(ends.copy)
            self.assertEqual((ends[0].status, server.recv(1)), (Status.OK, b""))

    def test_a_break_before_the_kernel_has_the_last_byte_proves_that_it_never_ran(self) -> None:
        server, connection = self.idle_connection()
        connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        body = b"x" * (3 * SMALL_BODY_BYTES)
        _, ends = self.attempt(body)
        self.iterate_until(lambda: select.select([server], [], [], 0)[0])
        got = server.recv(1024)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NOW)
        server.close()
        self.iterate_until(lambda: ends)
        self.assertLess(len(got), len(body))
        self.assertEqual(ends[0].status, Status.UNREACHABLE)

    def test_a_break_once_the_kernel_has_all_of_it_proves_nothing(self) -> None:
        server, _ = self.idle_connection()
        _, ends = self.attempt()
        self.iterate_until(lambda: select.select([server], [], [], 0)[0])  # it has arrived, and is not read
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NOW)
        server.close()
        self.iterate_until(lambda: ends)
        self.assertEqual(ends[0].status, Status.RESET)


if __name__ == "__main__":
    unittest.main()
