"""How long accepted connections may have waited in the accept queue of the kernel."""

from __future__ import annotations

import math
import unittest

from lupinlink.net.clients.queue_wait import QueueWait


class Waits(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = QueueWait()

    def test_at_the_start_the_wait_is_unknown_until_the_queue_is_empty(self) -> None:
        self.assertEqual(self.queue.waited_ms(10.0), math.inf)
        self.queue.observed(20.0, 0)
        self.assertEqual(self.queue.waited_ms(25.0), 5.0)
        self.queue.emptied()
        self.assertEqual(self.queue.waited_ms(30.0), 0.0)

    def test_the_wait_is_known_once_all_connections_of_an_observation_are_accepted(self) -> None:
        self.queue.observed(100.0, 3)
        for _ in range(3):
            self.assertEqual(self.queue.waited_ms(140.0), math.inf)  # its wait is unknown
            self.queue.observed(150.0, 9)  # the earlier observation still counts
            self.queue.accepted()
        self.assertEqual(self.queue.waited_ms(160.0), 60.0)  # it arrived after that observation
        self.queue.observed(200.0, 1)
        self.queue.accepted()
        self.assertEqual(self.queue.waited_ms(230.0), 30.0)

    def test_an_observation_is_discarded_when_reading_stops(self) -> None:
        self.queue.observed(100.0, 1)
        self.queue.reading_stopped(110.0)
        self.queue.accepted()
        self.assertEqual(self.queue.waited_ms(130.0), 20.0)


if __name__ == "__main__":
    unittest.main()
