"""An update that discovery has written is applied before the first byte of an attempt is written."""

from __future__ import annotations

import json
import select
import signal
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any

from lupinlink.interface import EndpointState, Status
from lupinlink.net.bodies import SMALL_BODY_BYTES
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.net.list_format import MAX_OBJECT_BYTES
from lupinlink.net.request_types import AttemptResult
from lupinlink.net.socket_peek import peek
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.manual_reactor import ManualReactorTest, update_that
from tests.proxy_process import WAIT, ApplicationServer, Discovery, ProxyProcessTest, chunk, listing, row

CLIENTS = 60
NOTIFIED_S = 0.3  # after an update no first byte may be sent, with a margin for sockets


class ReadBeforeWrite(ManualReactorTest):
    """The update is read last, after all earlier checks of an attempt."""

    def changes(self) -> dict[str, Callable[[], None]]:
        elsewhere = ("127.0.0.1", 1)
        return {
            "drained": self.drain,
            "gone": lambda: self.update_server(EndpointState.GONE),
            "missing in a full list": lambda: self.servers.update_list([], True),
            "at another address": lambda: self.update_server(address=elsewhere),
            "another process": lambda: self.update_server(started_ms=2.0),
        }

    def assert_not_begun(self, begin: Callable[[], list[AttemptResult]], kept: bool) -> None:
        for name, change in self.changes().items():
            with self.subTest(name):
                self.servers.update_list([], True)
                self.loop.update_server()
                server = self.loop.idle_connection()[0] if kept else None
                before = self.servers.counters["attempts_not_begun"]
                self.servers.read_pending_updates = update_that(change)
                ends = begin()
                self.until_ended(ends)
                if server is None:
                    server, _ = self.loop.listener.accept()
                self.servers.read_pending_updates = lambda: False
                self.iterate()
                self.assertEqual([end.status for end in ends], [Status.NOT_SENT])
                self.assertEqual(self.servers.counters["attempts_not_begun"], before + 1)
                server.settimeout(WAIT)
                with server:
                    self.assertEqual(self.end_of(server), b"")  # closed without a byte

    def probe(self) -> list[AttemptResult]:
        ends: list[AttemptResult] = []
        self.servers.probe("s-1").addCallback(ends.append)
        return ends

    def test_on_a_kept_connection(self) -> None:
        self.assert_not_begun(lambda: self.loop.attempt(b"body")[1], kept=True)

    def test_on_a_connection_that_has_just_come_up(self) -> None:
        self.assert_not_begun(lambda: self.loop.attempt(b"body")[1], kept=False)

    def test_of_a_body_that_is_passed_on(self) -> None:
        self.assert_not_begun(lambda: self.loop.attempt(b"x" * (3 * SMALL_BODY_BYTES))[1], kept=True)

    def test_of_a_probe(self) -> None:
        self.assert_not_begun(self.probe, kept=True)
        self.assert_not_begun(self.probe, kept=False)

    def test_an_attempt_that_ends_meanwhile_is_not_written_and_its_connection_stays_idle(self) -> None:
        server, connection = self.loop.idle_connection()
        attempts: list[Any] = []
        start = self.servers.send

        def send(attempt: Any) -> Any:
            attempts.append(attempt)
            return start(attempt)

        self.servers.send = send  # type: ignore[method-assign]
        self.servers.read_pending_updates = update_that(lambda: attempts[0].give_up(Status.CANCELLED))
        _, ends = self.loop.attempt()
        self.iterate()
        self.assertEqual([end.status for end in ends], [Status.CANCELLED])
        self.assertEqual((self.received_by(server), connection.pool.idle), (b"", [connection]))


class UnreadUpdate(ManualReactorTest):
    """An update lies unread in a socket while the reactor starts an attempt in the same iteration."""

    def setUp(self) -> None:
        super().setUp()
        self.discovery = Discovery()
        self.addCleanup(self.discovery.close)
        settings = Settings(classes=(SAFE,), subscribe=True)
        address = ("127.0.0.1", self.discovery.port)
        self.discovery_client = DiscoveryClient(
            self.reactor, self.loop.clock, address, settings, self.servers, Counters()
        )
        self.addCleanup(self.discovery_client.stop)
        self.servers.read_pending_updates = self.discovery_client.read_pending_updates
        self.server, _ = self.loop.idle_connection()
        self.discovery_client.call()
        self.loop.iterate_until(self.discovery.watches.qsize)
        self.watch = self.discovery.watch()

    def drain_update(self, **more: Any) -> bytes:
        one = {**row("s-1", self.discovery, "terminating"), **more}
        one["endpoint"] = "{}:{}".format(*self.loop.listener.getsockname())
        return chunk(json.dumps(listing(42, False, one)) + "\n")

    def open_watch(self) -> None:
        self.watch.sendall(chunk(json.dumps(listing(41, False)) + "\n"))
        self.loop.iterate_until(lambda: self.discovery_client.version == 41)

    def write_and_await(self, data: bytes) -> None:
        """Send it, and wait until the kernel has it for the watch."""
        self.watch.sendall(data)
        watch = self.discovery_client._watch or self.discovery_client._calls[0]
        assert watch is not None
        self.assertTrue(select.select([watch.transport.getHandle()], [], [], WAIT)[0])

    def assert_unsent(self) -> None:
        _, ends = self.loop.attempt()
        self.iterate()
        self.assertEqual([end.status for end in ends], [Status.NOT_SENT])
        self.assertEqual(self.end_of(self.server), b"")

    def test_on_the_watch(self) -> None:
        self.open_watch()
        self.write_and_await(self.drain_update())
        self.assert_unsent()

    def test_on_a_call(self) -> None:
        self.write_and_await(self.drain_update())
        self.assert_unsent()

    def test_before_broken_bytes_and_before_its_end(self) -> None:
        self.open_watch()
        self.write_and_await(self.drain_update() + b"\xff broken\r\n")
        self.watch.shutdown(socket.SHUT_RDWR)
        self.assert_unsent()

    def test_behind_more_than_one_read_can_hold(self) -> None:
        self.open_watch()
        pieces = [self.drain_update(state="in_service", model="x" * 60_000)] * 4
        self.watch.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_OBJECT_BYTES)
        self.write_and_await(b"".join(pieces) + self.drain_update())
        self.assert_unsent()

    def test_a_closed_watch_and_a_connecting_call_do_not_prevent_an_attempt(self) -> None:
        self.open_watch()
        live = self.discovery_client._watch
        assert live is not None
        self.watch.shutdown(socket.SHUT_RDWR)  # its end is left to the reactor
        self.assertTrue(select.select([live.transport.getHandle()], [], [], WAIT)[0])
        self.discovery_client.read_pending_updates()
        self.loop.iterate_until(lambda: self.discovery_client._watch is None)
        self.assertFalse(live.read_pending())
        self.assertEqual(peek(live.transport), b"")
        self.discovery_client.call()
        self.discovery_client.read_pending_updates()
        _, ends = self.loop.attempt()
        self.assertIn(b"X-Expires-In-Ms", self.received_by(self.server))
        self.assertEqual(ends, [])


class TwoUpdatesInOneSegment(ProxyProcessTest):
    def test_a_held_request_is_not_sent_to_a_backend_that_the_second_object_drains(self) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start()
        watch = self.discovery.watch()
        client = self.client()
        self.send(client)
        self.settle(requests_now=1)
        watch.sendall(
            chunk(json.dumps(listing(42, False, row("s-1", old))) + "\n"
                  + json.dumps(listing(43, False, row("s-1", old, "terminating"), row("s-2", new))) + "\n")
        )  # fmt: skip
        self.assertEqual(client.getresponse().read(), b"ok")
        self.assertEqual((old.seen.qsize(), new.seen.qsize()), (0, 1))


class StoppedProcess(ProxyProcessTest):
    def test_an_update_written_during_a_stop_is_applied_before_earlier_requests(self) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", old), row("s-2", new))
        watch = self.discovery.watch()
        clients = [self.client() for _ in range(CLIENTS)]
        for client in clients:
            client.request("GET", "/up")
            client.getresponse().read()
        for _ in range(10):
            self.ask().read()  # leaves idle connections to both
        self.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.process.send_signal, signal.SIGCONT)
        for client in clients:
            self.send(client)
        watch.sendall(chunk(json.dumps(listing(42, False, row("s-1", old, "terminating"))) + "\n"))
        time.sleep(NOTIFIED_S)
        old.seen.queue.clear()
        new.seen.queue.clear()
        self.process.send_signal(signal.SIGCONT)
        answers = [client.getresponse().status for client in clients]
        self.assertGreater(answers.count(200), 0)
        self.assertEqual((old.seen.qsize(), new.seen.qsize()), (0, answers.count(200)))


if __name__ == "__main__":
    unittest.main()
