"""Long answers that are being delivered while the process stops, is replaced or its clients read slowly."""

from __future__ import annotations

import http.client
import signal
import socket
import tempfile
import time
from contextlib import suppress
from typing import Any, ClassVar

from tests.loopback_servers import WAIT, ApplicationServer, LoopbackServer, read_request
from tests.proxy_process import ProxyProcessTest, row

SIZE, PIECES = 2_000_000, 40
PIECE_S = 0.0625  # between two pieces: an answer takes 2.5 s
# Small enough to be written at once, and larger than what the client's machine takes.
LATE_PART = b"HTTP/1.1 200 OK\r\nContent-Length: 120000\r\n\r\n" + b"x" * 120_000
STALL_S = 20.0  # for a client that receives nothing; a server that gives nothing has 15 s
EXIT_S = 1.6  # after SIGTERM, where nothing is being delivered and deadlines are 1 s


class GradualServer(LoopbackServer):
    """Gives each answer in pieces, or only the first ones and then no more."""

    def __init__(self, piece_s: float = PIECE_S, pieces: int = PIECES) -> None:
        self._piece_s, self._pieces = piece_s, pieces
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        while read_request(stream) is not None:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            for _ in range(self._pieces):
                connection.sendall(b"x" * (SIZE // PIECES))
                time.sleep(self._piece_s)


def body_length(answer: http.client.HTTPResponse) -> int:
    """How much of an answer arrives."""
    try:
        return len(answer.read())
    except (http.client.IncompleteRead, OSError) as exc:
        return len(exc.partial) if isinstance(exc, http.client.IncompleteRead) else 0


def received(client: socket.socket) -> int:
    """How many bytes arrive until the connection ends."""
    got = 0
    with suppress(ConnectionError):
        while piece := client.recv(1 << 16):
            got += len(piece)
    return got


class LongAnswers(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure"}],
    }

    def folder(self) -> tempfile.TemporaryDirectory[str]:
        """A folder that two processes share."""
        return tempfile.TemporaryDirectory()

    def free_port(self) -> int:
        """A port that nobody listens at."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port: int = listener.getsockname()[1]
            return port

    def slow_client(self, request: bytes) -> socket.socket:
        """A client whose machine takes little before the client reads."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        client.settimeout(WAIT)
        client.connect(("127.0.0.1", self.port))
        client.sendall(request)
        return client

    def config_at(self, port: int) -> dict[str, Any]:
        """The configuration of another process at the same address."""
        return {**self.config(row("s-1", self.server)), "listen": f"127.0.0.1:{port}"}

    def begin(self, env: dict[str, str] | None = None, **more: Any) -> http.client.HTTPResponse:
        """Start the process and an answer."""
        self.server = self.peer(GradualServer())
        config = {**self.config(row("s-1", self.server)), **more}
        self.process, self.log = self.launch(config, env)
        if "mgmt" in more:
            self.door = int(self.line("msg=door").rsplit("mgmt_port=", 1)[1])
        self.port = int(self.line("msg=serving").rsplit("port=", 1)[1])
        self.await_up()
        return self.ask(ms=1000)

    def check_replaced_while_delivering(
        self, answer: http.client.HTTPResponse, env: dict[str, str] | None
    ) -> None:
        """Assert that another process serves at the address while the answer is delivered whole."""
        _, log = self.launch(self.config_at(self.port), env)
        self.line("msg=serving", log)
        self.await_up()
        self.assertIsNone(self.process.poll())
        self.assertEqual(body_length(answer), SIZE)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_stop_delivers_a_long_answer_whole_however_often_it_is_told(self) -> None:
        # Guards against the cut of long answers 3.6 s after SIGTERM (review case 3).
        answer = self.begin()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.process.send_signal(number)
        self.assertEqual(body_length(answer), SIZE)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_stop_in_the_middle_of_a_drain_delivers_a_long_answer_whole(self) -> None:
        # Guards against the same cut where the front drains the proxy first.
        answer = self.begin(mgmt="127.0.0.1:0")
        self.assertEqual(self.call("PUT", "/control/out-of-service"), 200)
        time.sleep(0.5)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(body_length(answer), SIZE)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_stop_ends_though_a_server_gives_no_more_and_a_client_reads_nothing(self) -> None:
        # Guards against a process that never ends, as it waits for an answer that nobody moves.
        server = self.peer(GradualServer(0.0, pieces=PIECES // 2))
        self.start(row("s-1", server))
        self.await_up()
        request = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: %d\r\n\r\n"
        reader = self.slow_client(request % 1)
        self.slow_client(request % 2)  # its server gives no more either
        self.connect()  # never says a word
        time.sleep(0.3)
        self.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        reader.settimeout(2 * STALL_S)
        self.assertLess(received(reader), SIZE)
        self.assertEqual(self.process.wait(2 * STALL_S), 0)
        self.assertLess(time.monotonic() - began, STALL_S + 2.0)

    def test_the_old_process_of_an_upgrade_delivers_a_long_answer_whole(self) -> None:
        # Guards against the same cut after a handover, and against one when the new process ends.
        env = {"TMPDIR": self.enterContext(self.folder())}
        answer = self.begin(env, listen=f"127.0.0.1:{self.free_port()}")
        new, log = self.launch(self.config_at(self.port), env)
        self.line("msg=serving", log)
        self.process.send_signal(signal.SIGTERM)
        time.sleep(EXIT_S / 2)
        new.kill()
        self.assertEqual(body_length(answer), SIZE)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_the_address_is_free_for_the_next_process_while_an_answer_is_delivered(self) -> None:
        # Guards against a restart that fails with "address in use", as the last process is still delivering.
        answer = self.begin()
        self.process.send_signal(signal.SIGTERM)
        time.sleep(EXIT_S / 2)
        self.check_replaced_while_delivering(answer, None)

    def test_a_next_process_in_the_same_folder_serves_while_an_answer_is_delivered(self) -> None:
        # Guards against a new process that waits for the listener of one that has closed it.
        env = {"TMPDIR": self.enterContext(self.folder())}
        answer = self.begin(env, listen=f"127.0.0.1:{self.free_port()}")
        self.process.send_signal(signal.SIGTERM)
        time.sleep(EXIT_S)
        self.check_replaced_while_delivering(answer, env)

    def test_a_process_that_only_delivers_holds_no_watch_any_more(self) -> None:
        # Guards against calls and connections to discovery by processes that need no list any more.
        answer = self.begin()
        self.discovery.watch()
        ended_before = self.discovery.ends.qsize()
        self.process.send_signal(signal.SIGTERM)
        for _ in range(ended_before + 1):
            self.discovery.ends.get(timeout=WAIT)
        self.assertIsNone(self.process.poll())
        self.assertEqual(body_length(answer), SIZE)

    def test_an_answer_that_its_client_has_not_read_yet_outlasts_a_stop(self) -> None:
        # Guards against the loss of what was written to a connection, but not read, when the process exits.
        server = self.peer(GradualServer(0.0))
        self.start(row("s-1", server))
        self.await_up()
        client = self.slow_client(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: a\r\nConnection: close\r\n\r\n")
        time.sleep(0.3)
        self.process.send_signal(signal.SIGTERM)
        time.sleep(2 * EXIT_S)
        self.assertGreater(received(client), SIZE)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_client_that_does_not_read_for_seconds_gets_the_end_of_its_answer(self) -> None:
        # Guards against the reset of a slow client whose answer was all written, and so counted as delivered.
        server = self.peer(ApplicationServer(LATE_PART))
        self.start(row("s-1", server))
        self.await_up()
        client = self.slow_client(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n")
        time.sleep(6.0)
        self.assertEqual(received(client), len(LATE_PART))
