"""Attempts whose connection takes long to be established, and what may happen in the meantime."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from typing import Any, ClassVar

from tests.proxy_process import (
    NEVER_RAN,
    OK,
    WAIT,
    ApplicationServer,
    ProxyProcessTest,
    chunk,
    listing,
    read_request,
    row,
)

OLD = OK.replace(b"ok", b"no")
# The first SYN to a full accept queue is dropped, and the kernel retries after 1 s: so a connection takes at
# least that long, and up to 3 s if the gate opens late.
LONG = {"AimMs": 9000.0, "HardLimitMs": 9000.0}
LIMITS = {"AttemptsCap": 3, "Cancel": True, "RetryAfter": True, "MaxRetryAfterMs": 2000.0}


class GatedServer(ApplicationServer):
    """No connection to it is established before ``open``."""

    def __init__(self, answer: bytes | None = OK) -> None:
        self.gate = threading.Event()
        super().__init__(answer)
        self.listener.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())

    def _accept(self) -> None:
        self.gate.wait()
        super()._accept()

    def open(self) -> None:
        self.listener.listen()
        for filler in self.fillers:
            filler.close()
        self.gate.set()

    def close(self) -> None:
        self.open()
        super().close()


class SlowDialTest(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [
            {"Name": "look", "Effect": "pure", **LONG},
            {"Name": "scan", "Effect": "token", "Group": "zone", "MemorySpanMs": 500.0, **LONG},
        ],
        "Limits": {**LIMITS, "DialTimeoutMs": 8000.0},
    }

    def dialling(self) -> None:
        """Wait until a SYN has met the full queue: the dial is counted one iteration before it is sent."""
        self.settle(server_connections_now=1)
        self.gauges()

    def tell(self, watch: socket.socket, *rows: dict[str, Any]) -> None:
        watch.sendall(chunk(json.dumps(listing(42, False, *rows)) + "\n"))


class Dialling(SlowDialTest):
    def test_a_server_drained_meanwhile_gets_no_byte_of_it(self) -> None:
        gated, other = self.peer(GatedServer(OLD)), self.peer(ApplicationServer())
        self.start(row("s-1", gated))
        watch, client = self.discovery.watch(), self.client()
        self.send(client, ms=9000)
        self.dialling()
        self.tell(watch, row("s-1", gated, "terminating"), row("s-2", other))
        self.settle(pools=2)
        gated.open()
        self.assertEqual(client.getresponse().read(), b"ok")
        self.assertEqual(gated.seen.qsize(), 0)

    def test_a_process_replaced_meanwhile_gets_no_byte_of_it(self) -> None:
        gated, other = self.peer(GatedServer(OLD)), self.peer(ApplicationServer())
        self.start(row("s-1", gated))
        watch, client = self.discovery.watch(), self.client()
        self.send(client, ms=9000)
        self.dialling()
        self.tell(watch, row("s-1", gated, boot_ms=int(time.time() * 1000)), row("s-2", other))
        self.settle(pools=2)
        gated.open()
        self.assertIn(client.getresponse().read(), (b"ok", b"no"))
        self.settle(attempts_not_begun=1)  # on the old process; the new one may get the next attempt

    def test_its_head_tells_the_time_that_is_left_when_it_is_written(self) -> None:
        gated = self.peer(GatedServer())
        self.start(row("s-1", gated))
        client = self.client()
        self.send(client, ms=9000)
        self.dialling()
        gated.open()
        self.assertEqual(client.getresponse().read(), b"ok")
        self.assertLess(int(gated.seen.get()[1]["x-expires-in-ms"]), 8000)

    def test_a_repeat_whose_window_closes_meanwhile_is_not_sent(self) -> None:
        first, gated, closing = self.peer(ApplicationServer()), self.peer(GatedServer()), threading.Event()
        first.answer = lambda headers: b"" if closing.wait(WAIT) else None  # closes: it may have run
        self.start(row("s-1", first))
        watch, client = self.discovery.watch(), self.client()
        self.send(client, "/scan/1", ms=9000)
        self.dialling()
        self.tell(watch, row("s-2", gated))
        self.settle(pools=2)
        closing.set()
        self.settle(attempts_reset=1, attempts=2)
        gated.open()  # its connection is established 1 s after it was begun, the window is 0.5 s
        self.settle(attempts_not_begun=1)
        self.process.terminate()  # the request is kept until its deadline, but cannot be served any more
        self.assertGreaterEqual(client.getresponse().status, 500)
        self.assertEqual(gated.seen.qsize(), 0)


class ClientsThatLeave(SlowDialTest):
    settings: ClassVar[dict[str, Any]] = {
        **SlowDialTest.settings, "Limits": {**LIMITS, "Cancel": False, "DialTimeoutMs": 8000.0}
    }  # fmt: skip

    def test_nothing_is_sent_for_a_client_that_left_meanwhile_even_without_cancelling(self) -> None:
        gated = self.peer(GatedServer())
        self.start(row("s-1", gated))
        client = self.client()
        self.send(client, "/look/left", ms=9000)
        self.dialling()
        client.close()
        self.settle(clients_gone=1)
        gated.open()
        self.settle(requests_now=0)
        self.assertEqual(self.ask(path="/look/next", ms=9000).read(), b"ok")
        self.assertEqual(gated.seen.get()[0].split()[1], "/look/next")
        self.assertEqual(gated.seen.qsize(), 0)

    def test_an_unread_close_lets_no_further_attempt_begin(self) -> None:
        # Too many pipelined bytes stop the reading, so the close behind them is not seen.
        first, other = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        turning = threading.Event()
        first.answer = lambda headers: NEVER_RAN if turning.wait(WAIT) else None
        self.start(row("s-1", first))
        watch = self.discovery.watch()
        client = self.connect(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: 9000\r\n\r\n")
        self.dialling()
        client.sendall(b"GET /" + b"x" * 9000)
        self.tell(watch, row("s-2", other))
        self.settle(pools=2)
        self.gauges()  # an iteration later, so it has read as much as it will
        client.close()
        turning.set()
        self.settle(requests_now=0)
        self.assertEqual((other.seen.qsize(), self.gauges()["clients_gone"]), (0, 1))


class ResetAnswers(ProxyProcessTest):
    """An answer without a length ends with the close of its connection; a reset does not complete it."""

    class Server(ApplicationServer):
        def __init__(self, body: bytes) -> None:
            self.body, self.gate = body, threading.Event()
            super().__init__()

        def talk(self, connection: socket.socket) -> None:
            if read_request(connection.makefile("rb")) is not None:
                connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + self.body)
                self.met.put(self)
                self.gate.wait(WAIT)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def test_who_has_a_part_of_it_sees_a_break(self) -> None:
        server = self.peer(self.Server(b"x" * 100_000))
        self.start(row("s-1", server))
        head = b"GET /look/1 HTTP/1.%d\r\nX-Trace-Id: t%d\r\nX-Expires-In-Ms: 2000\r\n\r\n"
        for minor in (0, 1):  # HTTP/1.0: the close ends the answer; 1.1: it is chunked
            server.gate.clear()
            client, got = self.connect(head % (minor, minor)), b""
            client.settimeout(WAIT)
            while got.count(b"x") < 100_000:
                got += client.recv(65536)
            server.gate.set()
            with self.assertRaises(ConnectionResetError):
                while piece := client.recv(65536):
                    self.assertNotIn(b"0\r\n\r\n", piece)

    def test_none_of_a_short_one_is_served(self) -> None:
        server = self.peer(self.Server(b"half"))
        self.start(row("s-1", server))
        client = self.client()
        self.send(client)
        server.met.get(timeout=WAIT)
        for _ in range(2):
            self.gauges()  # an iteration later, so it has read the part
        server.gate.set()
        self.assertNotEqual(client.getresponse().status, 200)
        self.assertEqual(self.gauges()["attempts_reset"], 1)
