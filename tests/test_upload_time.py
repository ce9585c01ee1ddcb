"""When the time of a request begins that is not read to its end."""

from __future__ import annotations

import unittest

from lupinlink.limits.upload_time import MAX_CLIENT_BUFFER_BYTES, OPEN_WINDOW_BYTES, REOPENED_MS, UploadTime

CLOSED_BYTES = 10 * OPEN_WINDOW_BYTES


class SinceWhen(unittest.TestCase):
    def setUp(self) -> None:
        self.time = UploadTime()

    def observe(self, now: float, read: int, unread: int, missing: int | None) -> float | None:
        self.time.observe(now, read, unread, missing)
        return self.time.since

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
