"""Misbehaving clients, application servers with invalid answers, and the limits that hold against them."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from typing import Any, ClassVar

from tests.proxy_process import OK, WAIT, ApplicationServer, ProxyProcessTest, row

HEAD = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: "


class MisbehavingClients(ProxyProcessTest):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 32, "sockets": 128}

    def setUp(self) -> None:
        super().setUp()
        self.server = self.peer(ApplicationServer())
        self.start(row("s-1", self.server))

    def test_silence_half_requests_and_drips_end_within_three_seconds(self) -> None:
        began = time.monotonic()
        half = b"POST /look/1 HTTP/1.1\r\nX-Trace-Id: h\r\nContent-Length: 9\r\n\r\n"
        connections = [self.connect(data) for data in (b"", HEAD, half, OK[:0] + b"G")]
        drip = connections[3]
        for byte in b"ET /look/1 HTTP/1.1\r\n":
            drip.sendall(bytes([byte]))
        got = [connection.recv(4096)[:12] for connection in connections]
        self.assertLess(time.monotonic() - began, 3.0)
        self.assertEqual(got, [b"", b"HTTP/1.1 408", b"HTTP/1.1 408", b"HTTP/1.1 408"])
        self.assertEqual(self.ask().read(), b"ok")

    def test_hundreds_of_silent_clients_do_not_displace_a_client(self) -> None:
        # There is room for 57. It took too long when each new connection checked all others for one to close.
        silent = [self.connect() for _ in range(300)]
        began = time.monotonic()
        for _ in range(5):
            self.assertEqual(self.ask().read(), b"ok")
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertGreater(self.gauges()["made_room"], 200)
        del silent

    def test_the_id_of_an_open_request_is_rejected_and_the_open_one_unaffected(self) -> None:
        # Application servers would take the second for a copy of the first.
        self.server.answer = lambda headers: None
        owner = self.connect(HEAD + b"mine\r\nX-Expires-In-Ms: 700\r\n\r\n")
        self.server.seen.get(timeout=WAIT)
        self.assertEqual(self.connect(HEAD + b"mine\r\n\r\n").recv(4096)[:12], b"HTTP/1.1 409")
        self.assertTrue(owner.recv(4096).startswith(b"HTTP/1.1 50"))
        self.assertEqual(self.server.seen.qsize(), 0)
        self.server.answer = lambda headers: OK
        self.assertTrue(self.connect(HEAD + b"mine\r\n\r\n").recv(4096).endswith(b"ok"))

    def test_hundreds_of_requests_at_once_get_an_error_and_reach_no_server(self) -> None:
        got = self.raw(b"".join(HEAD + b"%d\r\n\r\n" % i for i in range(400)))
        self.assertTrue(got.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.server.seen.qsize(), 0)

    def test_many_large_bodies_at_once_stay_within_the_memory_told(self) -> None:
        body = (
            b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: b\r\nIdempotency-Key: k\r\nContent-Length: 65536\r\n\r\n"
        )
        body += b"x" * 60000
        parts = [self.connect(body) for _ in range(50)]
        until = time.monotonic() + WAIT
        while "rejected_503" not in (now := self.gauges()) and time.monotonic() < until:
            self.assertLessEqual(now["bytes_held"], 1_900_000)
        self.assertIn("rejected_503", now)
        self.assertEqual(self.ask().read(), b"ok")
        del parts

    def test_every_table_is_empty_again_after_traffic(self) -> None:
        for _ in range(50):
            self.ask().read()
        self.connect(HEAD)
        for _ in range(3):
            self.connect(b"noise\r\n\r\n").recv(4096)
        phases = ("silent", "resting", "head", "body", "closing")
        names = ("requests_now", "identities", "module_open", "clients_now", "bytes_held", "flowing")
        now = self.settle(**dict.fromkeys((*names, *(f"clients_{phase}" for phase in phases)), 0))
        self.assertLess(now["module_timers"] + now["timers"], 20)


class BadAnswers(ProxyProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.servers = [self.peer(ApplicationServer()) for _ in range(2)]
        self.start(*(row(f"s-{i}", s) for i, s in enumerate(self.servers)))

    def first(self, answer: bytes) -> None:
        """The next answer of any server is this one; every other answer names its request."""
        once = threading.Lock()

        def reply(headers: dict[str, str]) -> bytes:
            mine = headers["x-trace-id"].encode()
            good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(mine) + mine
            return answer.replace(b"GOOD", good) if once.acquire(blocking=False) else good

        for server in self.servers:
            server.answer = reply

    def own(self, count: int = 1) -> None:
        for _ in range(count):
            answer = self.ask()
            body = answer.read()
            self.assertEqual(answer.status, 200)
            self.assertNotIn(body, self.bodies)  # each request's own
            self.assertRegex(body, rb"^t\d+$")
            self.bodies.add(body)

    def test_a_broken_answer_is_retried_elsewhere_well_before_the_deadline(self) -> None:
        self.bodies: set[bytes] = set()
        began = time.monotonic()
        for spoilt in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100000,
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70000,
            b"HTTP/1.1 200 OK\r\nX-Then: close\r\n\r\nno length, cut short",
            b"\x00\xffnoise",
        ):
            self.first(spoilt)
            self.own(2)
        self.assertLess(time.monotonic() - began, 1.5)

    # Guards against: an answer that never ends, which nothing tells from one that pauses, is never retried.
    def test_an_answer_that_never_ends_is_retried_elsewhere_within_its_time(self) -> None:
        self.bodies = set()
        for spoilt in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nX: no end",
            b"HTTP/1.1 200 OK\r\n\r\nno length, and not announced to end",
        ):
            for _ in range(3):
                self.first(spoilt)
                began = time.monotonic()
                self.own()
                self.assertLess(time.monotonic() - began, 1.5)
                self.own()

    def test_data_before_or_after_an_answer_is_not_taken_for_another_answer(self) -> None:
        self.bodies = set()
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
        for answer in (early + b"GOOD", b"GOOD" + second, b"GOOD\x00noise", b"GOODGOOD"):
            self.first(answer)
            self.own(6)


class BehindAnAnswer(ProxyProcessTest):
    def test_a_connection_that_has_ended_or_brought_more_since_is_not_used_again(self) -> None:
        # Unread bytes would be taken for the answer to the next request. The proxy is paused until both the
        # bytes and the next request have arrived.
        server = self.peer(ApplicationServer())
        talk = server.talk
        for more in (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", b""):
            with self.subTest(more=more[:8]):
                go, sent = threading.Event(), threading.Event()

                def late(
                    connection: socket.socket, more: bytes = more, go: Any = go, sent: Any = sent
                ) -> None:
                    talk_once = connection.makefile("rb")
                    while talk_once.readline().strip():
                        pass
                    connection.sendall(OK)
                    go.wait(WAIT)
                    connection.sendall(more)
                    if not more:
                        connection.shutdown(socket.SHUT_WR)
                    server.talk = talk
                    sent.set()

                server.talk = late
                self.start(row("s-1", server))
                client = self.client()
                self.assertEqual(self.ask(client).read(), b"ok")
                self.process.send_signal(signal.SIGSTOP)
                os.waitpid(self.process.pid, os.WUNTRACED)
                self.send(client, path="/scan/1", ms=2000)  # first, so that the proxy reads it first
                go.set()
                self.assertTrue(sent.wait(WAIT))
                self.process.send_signal(signal.SIGCONT)
                self.assertEqual(client.getresponse().read(), b"ok")
                for _ in range(4):
                    self.assertEqual(self.ask(client, path="/scan/1").read(), b"ok")
                self.stop()
