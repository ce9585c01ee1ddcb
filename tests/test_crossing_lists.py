"""Updates of discovery together with trickling or malformed bytes, a move, or full connection tables."""

from __future__ import annotations

import json
import queue
import resource
import socket
import time
import unittest
from contextlib import suppress
from typing import Any, ClassVar

from tests import test_reload
from tests.proxy_process import (
    WAIT,
    ApplicationServer,
    Discovery,
    ProxyProcessTest,
    chunk,
    listing,
    read_request,
    row,
)

ALL_NOTIFIED_S = 6.0  # every change that a reachable discovery has counts as notified by then
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedDiscovery(Discovery):
    """Answers each call with the next of ``begins``, and then writes its ``drip`` again and again."""

    begins: ClassVar[list[tuple[bytes, bytes]]] = []

    def talk(self, connection: socket.socket) -> None:
        request = read_request(connection.makefile("rb"))
        assert request is not None
        begin, drip = self.begins.pop(0) if self.begins else (HEAD, b"")
        connection.sendall(begin)
        self.asked.put(request[0])
        while drip:
            connection.sendall(drip)
            time.sleep(0.05)  # the interval of the drip
        with suppress(TimeoutError):
            connection.settimeout(WAIT)
            connection.recv(1)


class TricklingBytes(ProxyProcessTest):
    """Bytes that never complete an object are no activity: the watch is replaced though they go on."""

    def setUp(self) -> None:
        super().setUp()
        self.discovery.close()
        self.discovery = self.peer(ScriptedDiscovery())

    def assert_replaced(self, *begins: tuple[bytes, bytes]) -> None:
        self.discovery.begins = [*begins]
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.discovery.asked.get(timeout=WAIT)
        for begin in begins:
            at = time.monotonic()
            self.assertIn("from=41", self.discovery.asked.get(timeout=WAIT), begin)
            self.assertLess(time.monotonic() - at, ALL_NOTIFIED_S, begin)

    def test_an_endless_object_and_an_endless_head(self) -> None:
        self.assert_replaced((HEAD + b'ffff\r\n{"rev": 42, "x": "', b"a"), (HEAD[:-4] + b"\r\nX: ", b"a"))

    def test_endless_spaces_and_an_endless_chunk_extension(self) -> None:
        self.assert_replaced((HEAD + b"ffff\r\n", b" "), (HEAD + b"1;x=", b"a"))

    def test_empty_lines_are_activity_even_before_the_first_object(self) -> None:
        self.discovery.begins = [(HEAD, chunk("\n"))]
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.discovery.asked.get(timeout=WAIT)
        with self.assertRaises(queue.Empty):
            self.discovery.asked.get(timeout=3.2)  # longer than the silence timeout


class MalformedBytes(ProxyProcessTest):
    """An object before malformed bytes counts, even if they end the watch in the same segment."""

    def assert_applied_before(self, broken: bytes) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", old))
        watch = self.discovery.watch()
        update = listing(42, False, row("s-1", old, "terminating"), row("s-2", new))
        watch.sendall(chunk(json.dumps(update) + "\n") + broken)
        self.discovery.watch()  # the proxy has read it all and calls again; nothing is sent twice
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((old.seen.qsize(), new.seen.qsize()), (0, 1))

    def test_an_object_before_malformed_json(self) -> None:
        self.assert_applied_before(chunk("{not json\n"))

    def test_an_object_before_malformed_framing(self) -> None:
        self.assert_applied_before(b"no size\r\n")

    def test_an_object_in_the_last_chunk_and_the_end_at_once(self) -> None:
        self.assert_applied_before(b"0\r\n\r\n")


class Moved(test_reload.Moving):
    """SIGHUP names another discovery while calls and watches are open."""

    def assert_old_watch_is_read(self) -> None:
        update = listing(42, False, row("s-1", self.old, "terminating"), row("s-2", self.new))
        self.watch.sendall(chunk(json.dumps(update) + "\n"))
        until = time.monotonic() + WAIT
        while not self.new.seen.qsize() and time.monotonic() < until:
            self.ask().read()
        self.assertEqual(self.discovery.ends.qsize(), 0)

    def test_an_incomplete_new_list_does_not_end_the_old_watch(self) -> None:
        for begin in (HEAD, b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"):
            other = self.peer(ScriptedDiscovery())
            other.begins = [(begin, b"")]
            self.replace(discovery=f"127.0.0.1:{other.port}")
            other.asked.get(timeout=WAIT)
            self.assert_old_watch_is_read()

    def test_a_list_without_a_length_is_complete_at_the_end_of_its_connection(self) -> None:
        other = self.peer(ScriptedDiscovery())
        body = json.dumps(listing(3, True, row("s-2", self.new))).encode()
        other.talk = lambda connection: self.once(other, connection, b"HTTP/1.1 200 OK\r\n\r\n" + body)
        self.replace(discovery=f"127.0.0.1:{other.port}")
        self.discovery.ends.get(timeout=WAIT)  # the old watch is closed
        self.assertEqual(other.asked.get(timeout=WAIT), "GET /discovery/hosts HTTP/1.1")
        self.assertIn("from=3 ", other.asked.get(timeout=WAIT))
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((self.old.seen.qsize(), self.new.seen.qsize()), (0, 1))

    @staticmethod
    def once(peer: Discovery, connection: socket.socket, answer: bytes) -> None:
        request = read_request(connection.makefile("rb"))
        assert request is not None
        peer.asked.put(request[0])
        connection.sendall(answer)  # the connection closes next

    def test_after_several_moves_the_last_address_counts(self) -> None:
        silent = self.peer(Discovery())
        self.replace(discovery=f"127.0.0.1:{silent.port}")
        silent.asked.get(timeout=WAIT)
        self.replace()
        silent.ends.get(timeout=WAIT)
        self.discovery.ends.get(timeout=WAIT)  # only once the list of the third one has come
        later = self.later.watch()
        self.discovery.list = listing(5, True, row("s-1", self.old))  # a lower version than before
        self.replace(discovery=f"127.0.0.1:{self.discovery.port}")
        self.later.ends.get(timeout=WAIT)
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((self.old.seen.qsize(), self.new.seen.qsize()), (1, 0))
        del later

    def test_the_new_discovery_is_called_again_if_the_old_watch_ends_first(self) -> None:
        self.later.list = None
        self.replace()
        self.later.asked.get(timeout=WAIT)
        at = time.monotonic()
        self.watch.shutdown(socket.SHUT_RDWR)
        self.discovery.ends.get(timeout=WAIT)
        self.later.list = listing(3, True, row("s-2", self.new))
        self.later.asked.get(timeout=WAIT)
        self.later.watch()
        self.assertLess(time.monotonic() - at, ALL_NOTIFIED_S)


class MovedPushed(Moved):
    settings: ClassVar[dict[str, Any]] = {"MembershipMode": "automatic"}


class FullConnectionTable(ProxyProcessTest):
    """Idle clients use all their descriptors as discovery comes up; one is reserved for its watch."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 192, "sockets": 64}

    def test_a_watch_is_opened_though_idle_clients_use_all_descriptors(self) -> None:
        self.discovery.close()
        down = socket.socket()
        self.addCleanup(down.close)
        down.bind(("127.0.0.1", 0))  # refuses until it listens
        self.discovery.port = down.getsockname()[1]
        server = self.peer(ApplicationServer(None))
        self.start(row("s-1", server))
        self.await_up()  # until then requests are held, since discovery might be reachable
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        clients = [self.client() for _ in range(12)]
        for client in clients:  # these use a connection to a server as well
            self.send(client, ms=1900)
            server.seen.get(timeout=WAIT)
        crowd = [self.connect() for _ in range(100)]
        self.settle(clients_now=22)  # the limit: the rest waits in the kernel's queue
        down.listen()
        down.settimeout(WAIT)
        watch, _ = down.accept()
        self.addCleanup(watch.close)
        self.assertIn(b"watch=1", watch.recv(4096))
        del crowd


if __name__ == "__main__":
    unittest.main()
