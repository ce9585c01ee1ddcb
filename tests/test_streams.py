"""Streamed bodies, slow clients, and every valid form of a message."""

from __future__ import annotations

import hashlib
import http.client
import socket
import threading
import time
from typing import Any, ClassVar

from lupinlink.net import http1
from tests.proxy_process import NEVER_RAN, OK, WAIT, ApplicationServer, ProxyProcessTest, row

MB = 1024 * 1024
MAX_SELECTIONS = 40  # attempts within which each of two usable servers is selected, whatever the seed
POST = b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: %b\r\nIdempotency-Key: k\r\n"


class Streams(ProxyProcessTest):
    """A proxy with too little memory to hold two bodies of 32 MB."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 64, "sockets": 256}

    def setUp(self) -> None:
        super().setUp()
        self.server = self.peer(ApplicationServer())
        self.start(row("s-1", self.server))


class Large(Streams):
    def answers(self, size: int, chunked: bool = False) -> str:
        """Let the server answer with this many bytes; returns their hash."""
        body = bytes(range(256)) * (size // 256)
        if chunked:
            parts = (http1.chunk(body[at : at + 50_000]) for at in range(0, size, 50_000))
            data = b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(parts) + http1.LAST_CHUNK
        else:
            data = b"Content-Length: %d\r\n\r\n" % size + body
        self.server.answer = lambda headers: b"HTTP/1.1 200 OK\r\n" + data
        return hashlib.sha1(body).hexdigest()

    def test_many_large_answers_at_once_stay_within_the_memory_told(self) -> None:
        for chunked in (False, True):
            want, got = self.answers(32 * MB, chunked), list[str]()

            def read(got: list[str] = got) -> None:
                got.append(hashlib.sha1(self.ask(ms=10_000).read()).hexdigest())

            threads = [threading.Thread(target=read) for _ in range(6)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(6 * WAIT)
            self.assertEqual(got, [want] * 6)
        self.assertLess(self.gauges()["resident_mb"], 64)
        self.assertEqual(self.server.seen.qsize(), 12)

    def test_large_requests_flow_through_and_reach_the_server_once(self) -> None:
        body = bytes(range(256)) * (32 * MB // 256)
        lengths = (b"Content-Length: %d\r\n\r\n" % len(body), b"Transfer-Encoding: chunked\r\n\r\n")
        for i, framing in enumerate(lengths):
            connection = self.connect(POST % (b"u%d" % i) + framing)
            connection.sendall(http1.chunk(body) + http1.LAST_CHUNK if i else body)
            self.assertTrue(connection.recv(4096).endswith(b"ok"))
            self.assertEqual(self.server.seen.get(timeout=WAIT)[2], body)
        self.assertEqual(self.server.seen.qsize(), 0)
        now = self.gauges()
        self.assertEqual((now["bytes_held"], now["attempts_committed"]), (0, 2))
        self.assertLess(now["resident_mb"], 64)

    def test_a_client_that_does_not_read_pauses_its_server_and_no_other(self) -> None:
        want = self.answers(32 * MB)
        slow = self.connect(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: s\r\nConnection: close\r\n\r\n")
        self.server.seen.get(timeout=WAIT)
        for _ in range(3):
            self.assertEqual(hashlib.sha1(self.ask(ms=10_000).read()).hexdigest(), want)
        self.assertLess(self.gauges()["resident_mb"], 64)
        got = b""
        while piece := slow.recv(1 << 20):
            got += piece
        self.assertEqual(hashlib.sha1(got.partition(b"\r\n\r\n")[2]).hexdigest(), want)

    # Guards against: a request behind an answer that its client has not read waits for good.
    def test_a_client_that_reads_late_gets_the_answer_to_its_next_request_too(self) -> None:
        want = self.answers(4 * MB)
        client = self.connect(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: l1\r\n\r\n")
        self.server.seen.get(timeout=WAIT)
        client.sendall(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: l2\r\nConnection: close\r\n\r\n")
        time.sleep(0.3)  # its buffers fill, and it is not read meanwhile
        self.assertEqual(self.server.seen.qsize(), 0)
        got = bytearray()
        while piece := client.recv(1 << 20):
            got += piece
        answers = bytes(got).split(b"HTTP/1.1 200 OK")[1:]
        bodies = [answer.partition(b"\r\n\r\n")[2] for answer in answers]
        self.assertEqual([hashlib.sha1(body).hexdigest() for body in bodies], [want] * 2)

    def test_the_first_bytes_of_a_slow_answer_do_not_wait_for_the_rest(self) -> None:
        # Streaming that started at 8 or 64 KiB delayed the long answers of a slow server.
        begun = {b"Content-Length: 70000": 3000, b"Transfer-Encoding: chunked": 20_000}
        for framing, size in begun.items():
            part = b"x" * size if b"Length" in framing else http1.chunk(b"x" * size)
            slow = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + part
            self.server.answer = lambda headers, slow=slow: slow
            began = time.monotonic()
            self.assertEqual(self.ask().read(size), b"x" * size)
            self.assertLess(time.monotonic() - began, 1.0)

    def test_a_long_answer_that_breaks_off_is_seen_to_be_not_whole(self) -> None:
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + b"x" * 100_000
        self.server.answer = lambda headers: cut + b": close\r"  # so that the server closes
        answer = self.ask()
        self.assertEqual(answer.headers["Content-Length"], "500000")
        with self.assertRaises((ConnectionError, http.client.IncompleteRead)):
            answer.read()
        self.assertEqual(self.server.seen.qsize(), 1)

    def test_an_upload_that_its_sender_breaks_off_never_runs(self) -> None:
        self.connect(POST % b"b" + b"Content-Length: 5000000\r\n\r\n" + b"x" * 1_000_000).close()
        # Only then: during the upload, the connection of the next request could be taken for the upload's.
        self.settle(clients_gone=1)
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual([self.server.seen.get(timeout=WAIT)[0][:4] for _ in range(1)], ["GET "])
        self.assertEqual(self.server.seen.qsize(), 0)
        self.settle(bytes_held=0, requests_now=0, server_connections_now=1)

    def test_a_body_whose_start_was_discarded_is_not_sent_again(self) -> None:
        self.server.answer = lambda headers: NEVER_RAN
        head = POST % b"n" + b"Content-Length: 2000000\r\nConnection: close\r\n\r\n"
        answer = self.raw(head + b"x" * 2_000_000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)  # it never ran: a retry is safe
        self.assertIn(b"Retry-After: 0.2", answer)
        self.assertEqual(self.server.seen.qsize(), 1)

    def test_a_discarded_body_that_may_have_run_is_not_refused_as_safe_to_retry(self) -> None:
        for path in (b"/scan/1", b"/look/1"):  # also of a class that may be retried: a rejected one fails
            for status in (b"500", b"400"):
                self.server.answer = (
                    lambda headers, s=status: b"HTTP/1.1 %b No\r\nContent-Length: 0\r\n\r\n" % s
                )
                head = (POST % (b"m" + status)).replace(b"/scan/1", path)
                head += b"Content-Length: 2000000\r\nConnection: close\r\n\r\n"
                self.assertTrue(
                    self.raw(head + b"x" * 2_000_000).startswith(b"HTTP/1.1 502 "), (path, status)
                )
        self.assertEqual(self.server.seen.qsize(), 4)

    def test_a_body_that_is_buffered_whole_is_sent_again_elsewhere(self) -> None:
        other = self.peer(ApplicationServer())
        self.server.answer = lambda headers: NEVER_RAN
        self.discovery.watch().sendall(b"")  # the list stays; both are known to the next process
        self.start(row("s-1", self.server), row("s-2", other))
        rest = b"Content-Length: 200000\r\nConnection: close\r\n\r\n"
        asked = 0
        while asked < 4 or (self.server.seen.empty() and asked < MAX_SELECTIONS):
            head = POST % b"h%d" % asked
            self.assertTrue(self.raw(head + rest + b"y" * 200_000).endswith(b"ok"))
            asked += 1
        self.assertEqual(other.seen.qsize(), asked)
        self.assertGreater(self.server.seen.qsize(), 0)


class Slow(Streams):
    def drip(self, connection: socket.socket, data: bytes, pieces: int, seconds: float) -> None:
        """Write the data in this many pieces over this time."""
        size, over = -(-len(data) // pieces), threading.Event()
        for at in range(0, len(data), size):
            connection.sendall(data[at : at + size])
            over.wait(seconds / pieces)

    def test_a_head_over_two_seconds_and_a_body_at_64_kb_a_second_are_served(self) -> None:
        connections = [self.connect() for _ in range(2)]
        head = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: d\r\nX-Fill: " + b"f" * 100 + b"\r\n\r\n"
        upload = POST % b"e" + b"Content-Length: 256000\r\n\r\n"
        connections[1].sendall(upload)
        work = [(connections[0], head, 20, 2.0), (connections[1], b"x" * 256_000, 40, 4.0)]
        threads = [threading.Thread(target=self.drip, args=args) for args in work]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT)
        self.assertEqual([c.recv(4096)[-2:] for c in connections], [b"ok", b"ok"])

    def test_requests_that_stall_are_answered_within_three_seconds(self) -> None:
        began = time.monotonic()
        some = POST % b"f" + b"Content-Length: 900000\r\n\r\n"
        connections = [self.connect(some + b"x" * size) for size in (10, 60_000, 400_000)]
        self.assertEqual([c.recv(4096)[:12] for c in connections], [b"HTTP/1.1 408"] * 3)
        self.assertLess(time.monotonic() - began, 3.0)
        self.assertEqual(self.server.seen.qsize(), 0)


class Forms(Streams):
    def test_each_form_of_a_request_is_served(self) -> None:
        trace, rest = b"X-Trace-Id: t\r\n", b"Connection: close\r\n\r\n"
        key = b"Idempotency-Key: k\r\n"
        cases = [
            (b"GET http://x/look/1 HTTP/1.1\r\n" + trace + rest, b""),
            (b"GET /look/1 HTTP/1.0\r\n" + trace + b"\r\n", b""),
            (b"POST /scan/1 HTTP/1.1\r\n" + trace + key + b"Transfer-Encoding: Chunked\r\nTrailer: X-T\r\n"
             + rest + b"2;e=1\r\nab\r\n1\r\nc\r\n0\r\nX-T: 1\r\n\r\n", b"abc"),
            (b"POST /scan/1 HTTP/1.0\r\nX-Trace-Id: u\r\n" + key + b"Content-Length: 3\r\n\r\nabc", b"abc"),
        ]  # fmt: skip
        for data, body in cases:
            with self.subTest(data=data[:40]):
                self.assertTrue(self.raw(data).endswith(b"\r\n\r\nok"))
                self.assertEqual(self.server.seen.get(timeout=WAIT)[2], body)

    def test_head_requests_and_100_continue(self) -> None:
        self.server.answer = lambda headers: b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"
        got = self.raw(b"HEAD /look/1 HTTP/1.1\r\nX-Trace-Id: t\r\nConnection: close\r\n\r\n")
        self.assertTrue(got.endswith(b"\r\n\r\n") and b"Content-Length: 70000" in got, got)
        self.server.answer = lambda headers: OK
        waiting = self.connect(POST % b"x" + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        self.assertTrue(waiting.recv(4096).startswith(b"HTTP/1.1 100 "))
        waiting.sendall(b"abc")
        self.assertTrue(waiting.recv(4096).endswith(b"ok"))
        wrong = self.connect(b"POST /none/1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        self.assertTrue(wrong.recv(4096).startswith(b"HTTP/1.1 404 "))

    def test_each_form_of_an_answer_is_passed_on(self) -> None:
        big = b"z" * 200_000
        early = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        cases = [
            (early + b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             + b"2;x\r\nok\r\n0\r\nX-T: 1\r\n\r\n", b"ok"),
            (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big, big),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http1.chunk(big) + b"0\r\n\r\n", big),
        ]  # fmt: skip
        for data, body in cases:
            with self.subTest(data=data[:60]):
                self.server.answer = lambda headers, data=data: data
                self.assertEqual(self.ask(ms=5000).read(), body)
                old = self.raw(b"GET /look/1 HTTP/1.0\r\nX-Trace-Id: o\r\n\r\n")
                self.assertEqual(old.partition(b"\r\n\r\n")[2], body)
                self.assertNotIn(b"chunked", old[:300])
