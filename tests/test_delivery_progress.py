"""When a client counts as not receiving its answer."""

from __future__ import annotations

import unittest

from lupinlink.limits.delivery_progress import DELIVERY_STALL_MS, DeliveryProgress


class Delivery(unittest.TestCase):
    def test_a_client_that_receives_a_byte_now_and_then_is_not_stalled(self) -> None:
        # Guards against the reset of a client that reads slowly, 20 s after its buffers filled up.
        delivery = DeliveryProgress()
        delivery.restart(0.0, 1000.0)
        times = [DELIVERY_STALL_MS * i for i in range(1, 10)]
        self.assertEqual([delivery.is_stalled(now, 1000.0 - now / 1e4) for now in times], [False] * 9)

    def test_one_that_receives_nothing_is_stalled_in_time(self) -> None:
        # Guards against a stop that waits for ever for a client that reads nothing.
        delivery = DeliveryProgress()
        delivery.restart(0.0, 1000.0)
        at = [
            (DELIVERY_STALL_MS / 2, 900.0),
            (1.5 * DELIVERY_STALL_MS, 900.0),
            (1.5 * DELIVERY_STALL_MS + 1, 950.0),
        ]
        self.assertEqual([delivery.is_stalled(now, unread) for now, unread in at], [False, False, True])


if __name__ == "__main__":
    unittest.main()
