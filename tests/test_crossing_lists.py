"""Discovery's news, crossing a drip, broken bytes, a moved discovery, full tables: each order is forced."""

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

ALL_TOLD_S = 6.0  # what discovery has, and could be asked for, counts as told then
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Scripted(Discovery):
    """Answers each call with the next of ``begins``, then ``drip`` again and again until its end."""

    begins: ClassVar[list[tuple[bytes, bytes]]] = []

    def talk(self, connection: socket.socket) -> None:
        request = read_request(connection.makefile("rb"))
        assert request is not None
        begin, drip = self.begins.pop(0) if self.begins else (HEAD, b"")
        connection.sendall(begin)
        self.asked.put(request[0])
        while drip:
            connection.sendall(drip)
            time.sleep(0.05)  # the pace of the drip
        with suppress(TimeoutError):
            connection.settimeout(WAIT)
            connection.recv(1)


class Drips(ProxyProcessTest):
    """Bytes that never make an object are no life: the next call comes though they go on."""

    def setUp(self) -> None:
        super().setUp()
        self.discovery.close()
        self.discovery = self.peer(Scripted())

    def held(self, *begins: tuple[bytes, bytes]) -> None:
        self.discovery.begins = [*begins]
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.discovery.asked.get(timeout=WAIT)
        for begin in begins:
            at = time.monotonic()
            self.assertIn("from=41", self.discovery.asked.get(timeout=WAIT), begin)
            self.assertLess(time.monotonic() - at, ALL_TOLD_S, begin)

    def test_an_object_and_a_head_that_never_end_are_given_up(self) -> None:
        self.held((HEAD + b'ffff\r\n{"rev": 42, "x": "', b"a"), (HEAD[:-4] + b"\r\nX: ", b"a"))

    def test_spaces_and_the_framing_of_chunks_are_no_life(self) -> None:
        self.held((HEAD + b"ffff\r\n", b" "), (HEAD + b"1;x=", b"a"))

    def test_empty_lines_are_life_also_before_anything_was_told(self) -> None:
        self.discovery.begins = [(HEAD, chunk("\n"))]
        self.start(row("s-1", self.peer(ApplicationServer())))
        self.discovery.asked.get(timeout=WAIT)
        with self.assertRaises(queue.Empty):
            self.discovery.asked.get(timeout=3.2)  # longer than any silence is borne


class Broken(ProxyProcessTest):
    """What was whole before broken bytes has been told, whatever ends the watch in the same segment."""

    def told_before(self, broken: bytes) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", old))
        watch = self.discovery.watch()
        told = listing(42, False, row("s-1", old, "terminating"), row("s-2", new))
        watch.sendall(chunk(json.dumps(told) + "\n") + broken)
        self.discovery.watch()  # the proxy has read it all and asks anew; nothing is told again
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((old.seen.qsize(), new.seen.qsize()), (0, 1))

    def test_an_object_before_one_that_is_none(self) -> None:
        self.told_before(chunk("{not json\n"))

    def test_an_object_before_broken_framing(self) -> None:
        self.told_before(b"no size\r\n")

    def test_an_object_in_the_last_chunk_and_the_end_at_once(self) -> None:
        self.told_before(b"0\r\n\r\n")


class Moved(test_reload.Moving):
    """SIGHUP, and what crosses it."""

    def old_is_heard(self) -> None:
        told = listing(42, False, row("s-1", self.old, "terminating"), row("s-2", self.new))
        self.watch.sendall(chunk(json.dumps(told) + "\n"))
        until = time.monotonic() + WAIT
        while not self.new.seen.qsize() and time.monotonic() < until:
            self.ask().read()
        self.assertEqual(self.discovery.ends.qsize(), 0)

    def test_half_of_the_new_list_does_not_cost_the_old_watch(self) -> None:
        for begin in (HEAD, b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"):
            other = self.peer(Scripted())
            other.begins = [(begin, b"")]
            self.replace(discovery=f"127.0.0.1:{other.port}")
            other.asked.get(timeout=WAIT)
            self.old_is_heard()

    def test_a_list_without_a_length_is_whole_at_the_end_of_its_connection(self) -> None:
        other = self.peer(Scripted())
        body = json.dumps(listing(3, True, row("s-2", self.new))).encode()
        other.talk = lambda connection: self.once(other, connection, b"HTTP/1.1 200 OK\r\n\r\n" + body)
        self.replace(discovery=f"127.0.0.1:{other.port}")
        self.discovery.ends.get(timeout=WAIT)  # the old watch has had its day
        self.assertEqual(other.asked.get(timeout=WAIT), "GET /discovery/hosts HTTP/1.1")
        self.assertIn("from=3 ", other.asked.get(timeout=WAIT))
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((self.old.seen.qsize(), self.new.seen.qsize()), (0, 1))

    @staticmethod
    def once(peer: Discovery, connection: socket.socket, answer: bytes) -> None:
        request = read_request(connection.makefile("rb"))
        assert request is not None
        peer.asked.put(request[0])
        connection.sendall(answer)  # and its end follows

    def test_two_moves_in_a_row_and_one_back_end_at_the_last_one_named(self) -> None:
        silent = self.peer(Discovery())
        self.replace(discovery=f"127.0.0.1:{silent.port}")
        silent.asked.get(timeout=WAIT)
        self.replace()
        silent.ends.get(timeout=WAIT)
        self.discovery.ends.get(timeout=WAIT)  # only once the third one's list was there
        later = self.later.watch()
        self.discovery.list = listing(5, True, row("s-1", self.old))  # a lower version than it once had
        self.replace(discovery=f"127.0.0.1:{self.discovery.port}")
        self.later.ends.get(timeout=WAIT)
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((self.old.seen.qsize(), self.new.seen.qsize()), (1, 0))
        del later

    def test_the_old_watch_ends_before_the_new_one_has_told_and_the_new_one_is_asked_again(self) -> None:
        self.later.list = None
        self.replace()
        self.later.asked.get(timeout=WAIT)
        at = time.monotonic()
        self.watch.shutdown(socket.SHUT_RDWR)
        self.discovery.ends.get(timeout=WAIT)
        self.later.list = listing(3, True, row("s-2", self.new))
        self.later.asked.get(timeout=WAIT)
        self.later.watch()
        self.assertLess(time.monotonic() - at, ALL_TOLD_S)


class MovedPushed(Moved):
    settings: ClassVar[dict[str, Any]] = {"MembershipMode": "automatic"}


class Crowd(ProxyProcessTest):
    """Idle clients hold all that they may hold as discovery comes up: a descriptor is kept for its watch."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 192, "sockets": 64}

    def test_a_watch_is_dialled_through_a_crowd_that_says_nothing(self) -> None:
        self.discovery.close()
        down = socket.socket()
        self.addCleanup(down.close)
        down.bind(("127.0.0.1", 0))  # refuses until it listens
        self.discovery.port = down.getsockname()[1]
        server = self.peer(ApplicationServer(None))
        self.start(row("s-1", server))
        self.await_up()  # until then requests are held: discovery might be there
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        clients = [self.client() for _ in range(12)]
        for client in clients:  # some hold a connection to a server as well
            self.send(client, ms=1900)
            server.seen.get(timeout=WAIT)
        crowd = [self.connect() for _ in range(100)]
        self.settle(clients_now=22)  # all that they may hold: the rest is in the kernel's queue
        down.listen()
        down.settimeout(WAIT)
        watch, _ = down.accept()
        self.addCleanup(watch.close)
        self.assertIn(b"watch=1", watch.recv(4096))
        del crowd


if __name__ == "__main__":
    unittest.main()
