"""The last moment before an attempt's first byte: what discovery has written by then is heeded."""

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
from lupinlink.net.lists import MAX_LIST
from lupinlink.net.request_types import AttemptResult
from lupinlink.net.socket_peek import peek
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.manual_reactor import ManualReactorTest, news_that
from tests.proxy_process import WAIT, ApplicationServer, Discovery, ProxyProcessTest, chunk, listing, row

CLIENTS = 60
TOLD_S = 0.3  # so long after the news no first byte may go out, the slack of sockets included


class HeededLast(ManualReactorTest):
    """The news comes in the last look, behind all checks that were made before."""

    def changes(self) -> dict[str, Callable[[], None]]:
        elsewhere = ("127.0.0.1", 1)
        return {
            "drained": self.drain,
            "gone": lambda: self.learn(EndpointState.GONE),
            "left out of a whole list": lambda: self.servers.update_list([], True),
            "at another address": lambda: self.learn(address=elsewhere),
            "another process": lambda: self.learn(started_ms=2.0),
        }

    def checked(self, begin: Callable[[], list[AttemptResult]], forwarded_headers: bool) -> None:
        for name, change in self.changes().items():
            with self.subTest(name):
                self.servers.update_list([], True)
                self.loop.learn()
                server = self.loop.forwarded_headers()[0] if forwarded_headers else None
                before = self.servers.counters["attempts_not_begun"]
                self.servers.read_waiting_news = news_that(change)
                ends = begin()
                self.until_ended(ends)
                if server is None:
                    server, _ = self.loop.listener.accept()
                self.servers.read_waiting_news = lambda: False
                self.turn()
                self.assertEqual([end.status for end in ends], [Status.NOT_SENT])
                self.assertEqual(self.servers.counters["attempts_not_begun"], before + 1)
                server.settimeout(WAIT)
                with server:
                    self.assertEqual(
                        self.end_of(server), b""
                    )  # its connection is closed, and brought nothing

    def probe(self) -> list[AttemptResult]:
        ends: list[AttemptResult] = []
        self.servers.probe("s-1").addCallback(ends.append)
        return ends

    def test_on_a_kept_connection(self) -> None:
        self.checked(lambda: self.loop.attempt(b"body")[1], forwarded_headers=True)

    def test_on_a_connection_that_has_just_come_up(self) -> None:
        self.checked(lambda: self.loop.attempt(b"body")[1], forwarded_headers=False)

    def test_of_a_body_that_is_passed_on(self) -> None:
        self.checked(lambda: self.loop.attempt(b"x" * (3 * SMALL_BODY_BYTES))[1], forwarded_headers=True)

    def test_of_a_probe(self) -> None:
        self.checked(self.probe, forwarded_headers=True)
        self.checked(self.probe, forwarded_headers=False)

    def test_an_attempt_that_ends_in_the_look_is_not_written_and_its_connection_rests(self) -> None:
        server, connection = self.loop.forwarded_headers()
        attempts: list[Any] = []
        start = self.servers._send

        def send(attempt: Any) -> Any:
            attempts.append(attempt)
            return start(attempt)

        self.servers._send = send  # type: ignore[method-assign]
        self.servers.read_waiting_news = news_that(lambda: attempts[0].give_up(Status.CANCELLED))
        _, ends = self.loop.attempt()
        self.turn()
        self.assertEqual([end.status for end in ends], [Status.CANCELLED])
        self.assertEqual((self.came(server), connection.pool.idle), (b"", [connection]))


class WaitsUnread(ManualReactorTest):
    """News lies in a watch's socket while the turn of the reactor starts an attempt."""

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
        self.servers.read_waiting_news = self.discovery_client.read_waiting_news
        self.server, _ = self.loop.forwarded_headers()
        self.discovery_client.call()
        self.loop.turn_until(self.discovery.watches.qsize)
        self.watch = self.discovery.watch()

    def told(self, **more: Any) -> bytes:
        one = {**row("s-1", self.discovery, "terminating"), **more}
        one["endpoint"] = "{}:{}".format(*self.loop.listener.getsockname())
        return chunk(json.dumps(listing(42, False, one)) + "\n")

    def live(self) -> None:
        self.watch.sendall(chunk(json.dumps(listing(41, False)) + "\n"))
        self.loop.turn_until(lambda: self.discovery_client.version == 41)

    def wait_for(self, data: bytes) -> None:
        """Discovery has written it, and this process was in the kernel's way no more."""
        self.watch.sendall(data)
        watch = self.discovery_client._live or self.discovery_client._asked[0]
        assert watch is not None
        self.assertTrue(select.select([watch.transport.getHandle()], [], [], WAIT)[0])

    def assert_unsent(self) -> None:
        _, ends = self.loop.attempt()
        self.turn()
        self.assertEqual([end.status for end in ends], [Status.NOT_SENT])
        self.assertEqual(self.end_of(self.server), b"")

    def test_on_the_watch_that_has_told(self) -> None:
        self.live()
        self.wait_for(self.told())
        self.assert_unsent()

    def test_on_the_watch_that_was_asked_for(self) -> None:
        self.wait_for(self.told())
        self.assert_unsent()

    def test_before_broken_bytes_and_before_its_end(self) -> None:
        self.live()
        self.wait_for(self.told() + b"\xff broken\r\n")
        self.watch.shutdown(socket.SHUT_RDWR)
        self.assert_unsent()

    def test_behind_more_than_one_read_can_hold(self) -> None:
        self.live()
        pieces = [self.told(state="in_service", model="x" * 60_000)] * 4
        self.watch.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_LIST)
        self.wait_for(b"".join(pieces) + self.told())
        self.assert_unsent()

    def test_a_watch_that_is_gone_or_still_on_its_way_up_is_no_matter(self) -> None:
        self.live()
        live = self.discovery_client._live
        assert live is not None
        self.watch.shutdown(socket.SHUT_RDWR)  # its end waits unread: the reactor's
        self.assertTrue(select.select([live.transport.getHandle()], [], [], WAIT)[0])
        self.discovery_client.read_waiting_news()
        self.loop.turn_until(lambda: self.discovery_client._live is None)
        self.assertFalse(live.read_waiting())
        self.assertEqual(peek(live.transport), b"")
        self.discovery_client.call()
        self.discovery_client.read_waiting_news()
        _, ends = self.loop.attempt()
        self.assertIn(b"X-Expires-In-Ms", self.came(self.server))
        self.assertEqual(ends, [])


class ToldInOneSegment(ProxyProcessTest):
    def test_a_held_request_is_not_sent_by_one_object_to_what_the_next_one_drains(self) -> None:
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


class StoodStill(ProxyProcessTest):
    def test_what_was_told_while_the_process_stood_still_goes_before_requests_that_came_first(self) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", old), row("s-2", new))
        watch = self.discovery.watch()
        clients = [self.client() for _ in range(CLIENTS)]
        for client in clients:
            client.request("GET", "/up")
            client.getresponse().read()
        for _ in range(10):
            self.ask().read()  # connections to both stand idle
        self.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.process.send_signal, signal.SIGCONT)
        for client in clients:
            self.send(client)
        watch.sendall(chunk(json.dumps(listing(42, False, row("s-1", old, "terminating"))) + "\n"))
        time.sleep(TOLD_S)
        old.seen.queue.clear()
        new.seen.queue.clear()
        self.process.send_signal(signal.SIGCONT)
        answers = [client.getresponse().status for client in clients]
        self.assertGreater(answers.count(200), 0)
        self.assertEqual((old.seen.qsize(), new.seen.qsize()), (0, answers.count(200)))


if __name__ == "__main__":
    unittest.main()
