"""Clients that leave or send more at the very moment their request is handled, answered or evicted."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
import time
from typing import Any, ClassVar

from lupinlink.net.handover.capacity import Limits, capacity_for
from lupinlink.net.twisted_types import READ_BYTES
from tests.proxy_process import (
    NEVER_RAN,
    OK,
    SETTINGS,
    WAIT,
    ApplicationServer,
    ProxyProcessTest,
    chunk,
    listing,
    row,
)

HEAD = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: "
AHEAD = b"".join(HEAD + b"%d\r\n\r\n" % i for i in range(600))  # more than may be pipelined behind a request


class GatedServer(ApplicationServer):
    """Answers once its gate is open; ``sent`` is set when an answer was written."""

    def __init__(self, answer: bytes | None = OK) -> None:
        self.gate, self.sent = threading.Event(), threading.Event()
        super().__init__(answer)

    def talk(self, connection: socket.socket) -> None:
        told = self.answer

        def gated(headers: dict[str, str]) -> bytes | None:
            self.seen.put(("", headers, b""))
            self.gate.wait(WAIT)
            return told(headers)

        stream = connection.makefile("rb")
        while line := stream.readline():
            if line == b"\r\n":
                connection.sendall(gated({}) or b"")
                self.sent.set()


class PausableProxyTest(ProxyProcessTest):
    """A proxy that can be paused, so that it finds several events at once when it continues."""

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)
        os.waitpid(self.process.pid, os.WUNTRACED)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)


class Leaving(PausableProxyTest):
    def test_a_client_that_closed_before_its_request_was_read_has_none(self) -> None:
        server = self.peer(ApplicationServer())
        self.start(row("s-1", server))
        self.assertEqual(self.ask().read(), b"ok")  # so that an attempt would go out at once
        whole = b"POST /look/1 HTTP/1.1\r\nX-Trace-Id: gone\r\nContent-Length: 32000\r\n\r\n" + b"x" * 32000
        exact = whole.replace(b"gone", b"gone".ljust(4 + 2 * READ_BYTES - len(whole), b"."))
        # In the second case the close is behind data that is not read together with the request.
        for data in (HEAD + b"gone\r\n\r\n", exact + AHEAD[:4000]):
            before = self.gauges()["attempts"]
            self.pause()
            self.connect(data).close()
            client = self.client()
            self.send(client)
            self.resume()
            self.assertEqual(client.getresponse().read(), b"ok")
            self.assertEqual(self.gauges()["attempts"], before + 1)  # the other's
        self.assertEqual(self.gauges()["left_unheard"], 2)

    def test_a_client_that_pipelined_too_much_and_left_gets_no_further_attempt(self) -> None:
        servers = [self.peer(GatedServer(NEVER_RAN)) for _ in range(2)]
        self.start(*(row(f"s-{i}", server) for i, server in enumerate(servers)))
        client = self.connect(HEAD + b"a\r\n\r\n")
        self.settle(attempts=1)
        client.sendall(AHEAD)
        client.close()
        self.settle(clients_gone=1)  # noticed, although none of that data is used
        for server in servers:
            server.gate.set()
        self.settle(requests_now=0)
        self.assertEqual(self.gauges()["attempts"], 1)

    def test_too_much_pipelining_is_rejected_after_the_open_answer(self) -> None:
        server = self.peer(GatedServer())
        self.start(row("s-1", server))
        client = self.connect(HEAD + b"a\r\n\r\n")
        server.seen.get(timeout=WAIT)
        client.sendall(AHEAD)
        server.gate.set()
        got = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got)
        self.assertIn(b"ok", got)
        self.assertEqual(got.count(b"HTTP/1.1 400 "), 1)


class NoCancelling(PausableProxyTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 400.0, "HardLimitMs": 60000.0, "Effect": "pure"}],
        "Limits": {**SETTINGS["Limits"], "Cancel": False, "DialTimeoutMs": 60000.0},
    }

    def test_an_attempt_that_still_dials_ends_with_its_client(self) -> None:
        far = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(far.close)
        fill = []
        for _ in range(4):  # fills its accept queue, so that the next connection is not established
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(far.getsockname())
            fill.append(one)
            self.addCleanup(one.close)
        self.start(row("s-1", self.discovery, endpoint=f"127.0.0.1:{far.getsockname()[1]}"))
        client = self.connect(HEAD + b"a\r\n\r\n")
        self.settle(connections_opened=1)
        client.close()
        now = self.settle(requests_now=0)  # well before the time-outs of the dial and the request
        self.assertEqual((now["attempts_not_sent"], now["server_connections_now"]), (1, 0))

    def test_an_attempt_that_was_sent_goes_on(self) -> None:
        server = self.peer(GatedServer())
        self.start(row("s-1", server))
        client = self.connect(HEAD + b"a\r\n\r\n")
        server.seen.get(timeout=WAIT)
        client.close()
        self.assertEqual(self.settle(clients_gone=1)["requests_now"], 1)
        server.gate.set()
        self.assertEqual(self.settle(requests_now=0)["attempts_ok"], 1)


class WaitingForServers(PausableProxyTest):
    def test_a_request_that_waits_for_a_server_is_not_sent_once_its_client_has_left(self) -> None:
        server = self.peer(ApplicationServer())
        self.start()
        client = self.connect(HEAD + b"a\r\nX-Expires-In-Ms: 2000\r\n\r\n")
        self.settle(requests_now=1)
        client.close()
        self.settle(requests_now=0)
        text = json.dumps(listing(42, True, row("s-1", server)))
        self.discovery.watch().sendall(chunk(text + "\n"))
        self.settle(servers_ready=1)
        self.assertEqual((self.ask().read(), server.seen.qsize()), (b"ok", 1))


class Closing(PausableProxyTest):
    def test_an_answer_comes_whole_and_its_connection_ends_though_more_is_sent_behind_it(self) -> None:
        # Closing a socket with unread data resets the connection and loses what is not sent by then.
        body = b"y" * 60000
        server = self.peer(GatedServer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body))
        self.start(row("s-1", server))
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )  # most of the answer waits for its reading
        client.connect(("127.0.0.1", self.port))
        client.sendall(HEAD + b"a\r\nConnection: close\r\n\r\n")
        server.seen.get(timeout=WAIT)
        self.pause()
        server.gate.set()
        self.assertTrue(server.sent.wait(WAIT))
        client.sendall(b"x" * 100 * 1024)  # more than is read at once
        self.resume()
        got = b"".join(iter(lambda: client.recv(4096), b""))  # raises where it is reset
        self.assertTrue(got.endswith(b"\r\n" + body), len(got))


class Evicting(PausableProxyTest):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 32, "sockets": 128}

    def test_clients_that_are_evicted_free_their_descriptors(self) -> None:
        # A client that was answered 408 to make room kept its descriptor, beyond the limit on connections.
        server = self.peer(ApplicationServer())
        self.start(row("s-1", server))
        folder, most = f"/proc/{self.process.pid}/fd", 0
        silent_clients = [self.connect(HEAD) for _ in range(300)]
        until = time.monotonic() + WAIT
        while self.gauges().get("made_room", 0) < 200:
            self.assertLess(time.monotonic(), until)
            most = max(most, len(os.listdir(folder)))
        # Those stay free for servers.
        self.assertLessEqual(most, 128 - capacity_for(Limits(128, 32.0, 0)).servers)
        del silent_clients
