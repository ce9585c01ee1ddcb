"""Bodies of tiny chunks at full speed, beside other clients: picture (c) of incident 5e36ff."""

from __future__ import annotations

import threading
import time
from contextlib import suppress
from functools import partial
from typing import Any, ClassVar

from lupinlink.net import http1
from lupinlink.net.http1 import MessageError, RequestParser
from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Exchange, ScriptedServer, all_at_once, ask, request

FLOODS, FLOOD_S, CLIENTS = 6, 2.0, 8
WAIT_S = 0.5
MAX_TURN_MS = 100  # an attempt that begins so long after its client has left is lost
TINY = b"1\r\nx\r\n" * 20_000


def flood_back(exchange: Exchange) -> None:
    """An answer of tiny chunks without end."""
    exchange.read_body()
    exchange.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    until = time.monotonic() + FLOOD_S
    while time.monotonic() < until:
        exchange.send(TINY)


class TinyChunks(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 200.0, "HardLimitMs": 2000.0, "Effect": "side_effect"}],
    }

    def setUp(self) -> None:
        super().setUp()
        servers = [self.peer(ScriptedServer({"flood": flood_back})) for _ in range(4)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(servers)))
        self.await_up()

    def flood(self, number: int) -> None:
        """One client that writes tiny chunks for as long as it can."""
        until = time.monotonic() + FLOOD_S
        while time.monotonic() < until:
            with suppress(OSError):
                connection = self.connect(
                    request("/note/x", f"flood-{number}-{until}", WAIT_S, chunked=True)[:-5]
                )
                while time.monotonic() < until:
                    connection.sendall(TINY)

    def judge(self, *floods: threading.Thread) -> None:
        """Clients beside the floods have their answers in time, and no turn of the event loop is long."""
        for one in floods:
            one.start()
        until, number = time.monotonic() + FLOOD_S * 0.8, 0
        while time.monotonic() < until:
            number += 1
            sound = [request("/note/quick", f"sound-{number}-{i}", WAIT_S) for i in range(CLIENTS)]
            found = all_at_once(*(partial(ask, self.port, data) for data in sound))
            self.assertEqual([one.status for one in found], [200] * CLIENTS)
            self.assertLess(max(one.last_s for one in found), WAIT_S)
        for one in floods:
            one.join()
        self.assertLess(self.gauges()["longest_turn_ever_ms"], MAX_TURN_MS)

    # Guards against: clients that send tiny chunks at full speed keep others from their answers.
    def test_requests_of_tiny_chunks_do_not_hold_up_others(self) -> None:
        self.judge(*(threading.Thread(target=self.flood, args=(n,), daemon=True) for n in range(FLOODS)))

    # Guards against: as above, with answers of servers.
    def test_answers_of_tiny_chunks_do_not_hold_up_others(self) -> None:
        asked = [request("/note/flood", f"answer-{number}", 2.0) for number in range(FLOODS)]
        self.judge(*(threading.Thread(target=partial(ask, self.port, data), daemon=True) for data in asked))


class Forms(ProxyProcessTest):
    # Guards against: chunks that are taken together are read in another way than one by one.
    def test_chunks_are_read_the_same_in_whatever_pieces_they_come(self) -> None:
        head = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        coded = b"3\r\nabc\r\n0a\r\n0123456789\r\n1;ext=1\r\nz\r\n000002\r\n\r\n\r\n0\r\nTrailer: x\r\n\r\n"
        broken = (b"1\r\nxx\r\n0\r\n\r\n", b"g\r\nx\r\n", b"-1\r\nx\r\n", b"+1\r\nx\r\n", b"0x1\r\nx\r\n",
                  b"1\nx\r\n0\r\n\r\n", b"fffffff\r\nx", b"1_0\r\nx")  # fmt: skip
        for size in (1, 2, 3, 7, 1000):
            self.assertEqual(self.read(head + coded, size), b"abc0123456789z\r\n")
            for bad in broken:
                with self.subTest(bad=bad, size=size), self.assertRaises(MessageError):
                    self.read(head + b"1\r\ny\r\n" + bad, size)

    def read(self, data: bytes, size: int) -> bytes | None:
        parser = RequestParser(http1.MAX_BODY)
        message = None
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
            message = message or parser.next()
        return message.body if message is not None else None
