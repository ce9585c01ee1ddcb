"""Requests that a client writes together on one connection, while the proxy closes connections."""

from __future__ import annotations

import signal
import socket
import time
import unittest
from collections.abc import Callable
from random import Random
from typing import ClassVar

from tests.crossing_judge import CrossingTest
from tests.held_process import HOLD_S
from tests.loopback_servers import OK, LoopbackServer, read_request
from tests.proxy_process import row

MANAGED = {"LB_MGMT": "127.0.0.1:0"}
CLIENTS, TOGETHER = 12, 4
WORK_S = 0.065


class SlowServer(LoopbackServer):
    """Answers each request after a time."""

    def talk(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        while read_request(stream):
            time.sleep(WORK_S)
            connection.sendall(OK)


class SlowServersTest(CrossingTest):
    def serve(self) -> None:
        self.start(*(row(f"s-{i}", self.peer(SlowServer())) for i in range(4)), env=MANAGED)
        self.await_up()


class WrittenTogether(SlowServersTest):
    def ask_together(self, act: Callable[[], object]) -> None:
        """Each client writes its requests at once; ``act`` follows, and then all are to be answered."""
        clients = [self.crossing_client(f"c{i}") for i in range(CLIENTS)]
        written = [client.write(TOGETHER) for client in clients]
        act()
        for client, at in zip(clients, written, strict=True):
            self.judge(client, at, TOGETHER)
            self.assertTrue(client.closes)  # the last answer says so
        self.assertEqual((self.lost, self.answered), ([], CLIENTS * TOGETHER))

    # Guards against requests that were read being thrown away behind an answer that closes, in a drain.
    def test_requests_written_together_are_all_answered_in_a_drain(self) -> None:
        self.serve()
        self.assertEqual(self.call("PUT", "/control/out-of-service"), 200)
        self.ask_together(lambda: None)

    # Guards against requests that were read being thrown away behind an answer that closes, in a stop.
    def test_requests_written_together_are_all_answered_in_a_stop(self) -> None:
        self.serve()

        def stop() -> None:
            time.sleep(0.02)
            self.process.send_signal(signal.SIGTERM)

        self.ask_together(stop)
        self.assertEqual(self.process.wait(), 0)


class BehindInvalid(SlowServersTest):
    # Guards against valid requests being thrown away behind one that is answered as not valid.
    def test_requests_behind_an_invalid_one_are_answered(self) -> None:
        self.serve()
        for invalid, status in (
            (b"GET /unknown/1 HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n", 404),
            (b"GET /look/1 HTTP/1.1\r\n\r\n", 400),
            (b"PUT /look/1 HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 2\r\n\r\nok", 405),
        ):
            client = self.crossing_client(f"c{status}")
            client.write(TOGETHER, before=invalid)
            answers = [client.answer() for _ in range(1 + TOGETHER)]
            self.assertEqual(answers, [status] + [200] * TOGETHER)
            client.close()
            alone = self.crossing_client(f"d{status}")
            alone.write(0, before=invalid)
            self.assertEqual((alone.answer(), alone.closes), (status, True))


class WrittenBehind(SlowServersTest):
    """A request that follows while the one before it is being answered, in a process that is held up."""

    module: ClassVar[str] = "tests.held_process"
    PAIRS, SPREAD_S = 60, 6 * HOLD_S

    # Guards against a request lost between the decision that an answer closes and its bytes on the socket.
    def test_a_request_that_comes_while_the_answer_before_it_is_written(self) -> None:
        self.serve()
        self.assertEqual(self.call("PUT", "/control/out-of-service"), 200)
        rng = Random(1)
        begin = time.monotonic()
        clients = [self.crossing_client(f"c{i}") for i in range(self.PAIRS)]
        plans = sorted((rng.uniform(0.0, self.SPREAD_S), client.name, client) for client in clients)
        for client in clients:
            client.write()
        written = {}
        for at, name, client in plans:
            time.sleep(max(0.0, begin + at - time.monotonic()))
            if not client.has_ended():
                written[name] = client.write()
        for client in clients:
            self.judge(client, written.get(client.name, begin), 1 + (client.name in written))
        self.assertEqual(self.lost, [])


if __name__ == "__main__":
    unittest.main()
