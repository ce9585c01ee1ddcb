"""When the time of a request begins that is not read to its end."""

from __future__ import annotations

import socket
import unittest
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

from lupinlink.limits.upload_time import MAX_CLIENT_BUFFER_BYTES, OPEN_WINDOW_BYTES, REOPENED_MS, UploadTime
from lupinlink.net.socket_peek import receives_whole_segments

CLOSED_BYTES = 10 * OPEN_WINDOW_BYTES


class SinceWhen(unittest.TestCase):
    def setUp(self) -> None:
        self.time = UploadTime()

    def observe(
        self, now: float, read: int, unread: int, missing: int | None, is_open: bool | None = None
    ) -> float | None:
        self.time.observe(now, read, unread, missing, is_open)
        return self.time.since

    # Guards against: with little unread the rest is taken for unwritten, and its answer is late (case 9).
    def test_the_window_tells_whether_the_rest_may_be_held_back_however_little_is_unread(self) -> None:
        self.assertEqual(self.observe(1.0, 80_000, 0, 240_000, False), 1.0)
        self.assertEqual(self.observe(1.0 + REOPENED_MS, 80_000, 13_312, 240_000, False), 1.0)

    # Guards against: as above the other way round, a slow upload is cut off as more of it is unread.
    def test_what_an_open_window_has_not_brought_is_not_written_however_much_is_unread(self) -> None:
        self.assertIsNone(self.observe(1.0, 80_000, CLOSED_BYTES, 1_000_000, True))

    # Guards against: an answer that is late as the rest of its request waits at the client's machine.
    def test_the_rest_may_have_been_written_once_the_window_may_be_closed(self) -> None:
        self.assertEqual(self.observe(1.0, 400_000, CLOSED_BYTES, 1_000_000), 1.0)
        self.assertEqual(self.observe(900.0, 700_000, CLOSED_BYTES, 700_000), 1.0)

    # Guards against: an upload whose client is slower than all servers is cut off.
    def test_what_an_open_window_has_not_brought_is_not_written(self) -> None:
        self.assertIsNone(self.observe(1.0, 70_000, 500, 1_000_000))
        self.assertIsNone(self.observe(1.0, 70_000, 0, None))
        self.assertEqual(self.observe(51.0, 70_000, 500, 500), 51.0)

    # Guards against: an upload over the size of all buffers is cut off while its client is writing.
    def test_what_arrives_later_shows_what_was_not_written_before(self) -> None:
        self.assertEqual(self.observe(1.0, 100_000, CLOSED_BYTES, None), 1.0)
        self.assertEqual(self.observe(500.0, 500_000, CLOSED_BYTES, None), 1.0)
        more = 100_000 + CLOSED_BYTES + MAX_CLIENT_BUFFER_BYTES
        self.assertEqual(self.observe(800.0, more, CLOSED_BYTES, None), 500.0)

    # Guards against: data in flight as the window opens again is taken for an upload that goes on.
    def test_a_window_that_has_just_been_closed_is_not_trusted(self) -> None:
        self.observe(1.0, 400_000, CLOSED_BYTES, 1_000_000)
        self.assertEqual(self.observe(100.0, 400_000 + CLOSED_BYTES, 0, 1_000_000 - CLOSED_BYTES), 1.0)
        self.assertIsNone(
            self.observe(2.0 + REOPENED_MS, 400_000 + CLOSED_BYTES, 0, 1_000_000 - CLOSED_BYTES)
        )


class ReceiveWindow(unittest.TestCase):
    """What the kernel tells of a connection on loopback."""

    def setUp(self) -> None:
        self.sender, self.receiver = map(self.closed_at_the_end, connected_sockets())
        self.transport: Any = SimpleNamespace(getHandle=lambda: self.receiver)

    def closed_at_the_end(self, end: socket.socket) -> socket.socket:
        self.addCleanup(end.close)
        return end

    # Guards against: a window that takes no more is taken for open as little is unread.
    def test_a_window_that_was_filled_takes_no_whole_segment(self) -> None:
        self.sender.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                self.sender.send(b"u" * 65536)
        self.assertFalse(receives_whole_segments(self.transport))

    # Guards against: slow uploads are taken for held back from the first unread byte on.
    def test_a_window_with_little_unread_takes_whole_segments(self) -> None:
        for _ in range(5):
            self.sender.send(b"u" * 3200)
        self.assertTrue(receives_whole_segments(self.transport))


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        return sender, listener.accept()[0]
