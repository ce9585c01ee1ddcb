"""When the end of a connection counts as having arrived."""

from __future__ import annotations

import socket
import struct
import time
import unittest

from tests.crossing_judge import CROSSED_S, CrossingClient

LATE_S = 2 * CROSSED_S
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets


class EndsOfConnections(unittest.TestCase):
    def setUp(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = CrossingClient(listener.getsockname()[1], "c")
            self.server = listener.accept()[0]
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    def ended_after(self) -> float:
        """Notice the end now."""
        self.assertIsNone(self.client.answer())
        return self.client.ended_after(self.written_at)

    # Guards against: a request counts as lost as the test's own process was late to notice the end.
    def test_an_end_that_is_noticed_late_counts_from_its_arrival(self) -> None:
        self.written_at = self.client.write()
        self.server.shutdown(socket.SHUT_WR)
        time.sleep(LATE_S)
        self.assertLess(self.ended_after(), CROSSED_S)

    # Guards against: a loss counts as a crossing, as its request was acknowledged long before.
    def test_an_end_that_arrives_late_counts_as_late(self) -> None:
        self.written_at = self.client.write()
        time.sleep(LATE_S)
        self.server.shutdown(socket.SHUT_WR)
        self.assertGreaterEqual(self.ended_after(), LATE_S)

    # Guards against: as above, where the connection is reset.
    def test_a_reset_counts_from_when_it_was_noticed(self) -> None:
        self.written_at = self.client.write()
        time.sleep(LATE_S)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.server.close()
        self.assertGreaterEqual(self.ended_after(), LATE_S)


if __name__ == "__main__":
    unittest.main()
