"""The work for a request that waits does not grow with the number of those that wait."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from lupinlink.brain.dispatching import MAX_SENT_PER_PASS
from lupinlink.brain.waiting import WaitingFor, WaitingRequests
from lupinlink.interface import Arrival
from lupinlink.records import Request
from tests.helpers import SAFE
from tests.work_growth import MAX_GROWTH, work_growth


def drained(newest: bool) -> Callable[[int], Callable[[], None]]:
    """Build a queue; what is returned sends all of it, one request for each look at the queue."""

    def build(size: int) -> Callable[[], None]:
        queue = WaitingRequests()
        look = queue.newest if newest else queue.oldest
        for i in range(size):
            queue.add(Request(Arrival(str(i), 0, 0, 1000.0), SAFE, 1000.0), WaitingFor.BACKEND)

        def send_all() -> None:
            while found := look(WaitingFor.BACKEND, MAX_SENT_PER_PASS):
                queue.remove(found[0].request)

        return send_all

    return build


class WaitingCost(unittest.TestCase):
    def test_each_freed_backend_does_not_copy_the_whole_queue(self) -> None:
        # Guards against an event loop held up where thousands of requests wait: each answer copied them all.
        for newest in (True, False):
            self.assertLess(work_growth(drained(newest), 1000), MAX_GROWTH)


if __name__ == "__main__":
    unittest.main()
