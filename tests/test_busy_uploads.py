"""When the time of an upload begins that a busy process reads late, in small parts."""

from __future__ import annotations

import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any

from lupinlink.limits.memory_account import MemoryAccount
from lupinlink.net.bodies import Body
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.clients.requests import Http1ClientConnection
from lupinlink.net.request_types import ClientRequest
from lupinlink.net.twisted_types import READ_BYTES
from tests.scripted_peers import request
from tests.test_upload_time import connected_sockets

TURN_MS = 20.0  # of the event loop of a busy process
BEGAN_MS = 5000.0
LOST_AFTER_MS = 500.0  # an answer that is so late is lost
BUFFERED_BYTES, FLOWING_BYTES = 120_000, 900_000  # a body that is submitted whole, and one before its end
BURST_BYTES, BURST_MS = 60_000, 600.0
WAIT_S = 1.5


class RecordingProxy:
    """Takes requests, and notes since when their time counts, as it was told last."""

    def __init__(self, clock: SimpleNamespace) -> None:
        self._clock = clock
        self.since: float | None = None
        self.is_complete = False

    def submit(self, request: ClientRequest, responder: object) -> int:
        if request.body.complete:
            self.is_complete, self.since = True, self._clock.now() - request.waited_ms
        request.body.on_data = lambda: request.body.mark_sent(request.body.end)
        return 1

    def body_may_be_complete(self, handle: int, since: float | None) -> None:
        self.since = since

    def body_completed(self, handle: int, since: float | None) -> None:
        self.is_complete, self.since = True, self._clock.now() if since is None else since


class BusyUploads(unittest.TestCase):
    """A real connection whose reads are forced apart, on a clock of the test."""

    def begin(self) -> None:
        """Accept a new connection."""
        self.now = BEGAN_MS
        clock = SimpleNamespace(now=lambda: self.now)
        self.proxy = RecordingProxy(clock)
        self.sender, self.receiver = connected_sockets()
        for end in (self.sender, self.receiver):
            self.addCleanup(end.close)
            end.setblocking(False)
        budget = BodyBudget(1 << 30)
        owner: Any = SimpleNamespace(
            clock=clock, proxy=self.proxy, budget=budget, counters=Counter(), uploading={}, streaming={},
            account=MemoryAccount(), unsent={},
        )  # fmt: skip
        owner.set_phase = lambda client, phase, anew=False: None
        owner.read_request = lambda message, path: ClientRequest(
            "id", 0, 0, WAIT_S * 1000.0, False, "POST", path, [], Body(budget, None)
        )
        self.connection = Http1ClientConnection(owner)
        transport: Any = SimpleNamespace(getHandle=lambda: self.receiver)
        self.connection.transport = transport

    def write(self, data: bytes) -> None:
        """The client's machine takes all of it at once."""
        self.assertEqual(self.sender.send(data), len(data))

    def read_all(self) -> None:
        """Read what there is, a part in each turn of the event loop."""
        while True:
            try:
                data = self.receiver.recv(READ_BYTES)
            except BlockingIOError:
                return
            self.connection.dataReceived(data)
            self.now += TURN_MS

    # Guards against: an upload that was written at once is answered late, as a busy process reads it late.
    def test_the_time_of_an_upload_does_not_begin_anew_with_each_part_that_is_read(self) -> None:
        for size in (BUFFERED_BYTES, FLOWING_BYTES):
            for chunked in (False, True):
                with self.subTest(size=size, chunked=chunked):
                    self.begin()
                    self.write(request("/note/work", "id", WAIT_S, b"u" * size, chunked))
                    self.read_all()
                    self.assertTrue(self.proxy.is_complete)
                    self.assertLessEqual(self.proxy.since or self.now, BEGAN_MS + LOST_AFTER_MS)

    # Guards against: a bound on late reads counts the time of a slow client from its first burst on (5e36ff).
    def test_the_time_of_an_upload_in_bursts_begins_with_the_last_of_them(self) -> None:
        for size in (BUFFERED_BYTES, FLOWING_BYTES):
            with self.subTest(size=size):
                self.begin()
                data, last_at = request("/note/work", "id", WAIT_S, b"u" * size), BEGAN_MS
                for start in range(0, len(data), BURST_BYTES):
                    last_at = self.now
                    self.write(data[start : start + BURST_BYTES])
                    self.read_all()
                    self.now += BURST_MS
                self.assertTrue(self.proxy.is_complete)
                self.assertGreaterEqual(self.proxy.since or 0.0, last_at)


if __name__ == "__main__":
    unittest.main()
