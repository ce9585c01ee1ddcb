"""The longest turn of the event loop, as log and metrics tell it."""

from __future__ import annotations

import unittest

from lupinlink.net.loop_iterations import LONG_ITERATION_MS, WINDOW_MS, LoopIterations, measure


class Poller:
    """Waits in no time."""

    def poll(self, timeout: float, events: int) -> list[int]:
        return [events]


class ReactorWithPoller:
    def __init__(self) -> None:
        self._poller = Poller()


class LongestTurn(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.iterations = LoopIterations(lambda: self.now)

    def turn(self, took_ms: float, discovery_ms: float = 0.0) -> None:
        self.iterations.begin()
        with self.iterations.step("discovery"):
            self.now += discovery_ms
        self.now += took_ms - discovery_ms
        self.iterations.end()

    # Guards against a loop that is held up and says nothing of it.
    def test_a_long_turn_is_logged_once_a_window_with_what_took_most_of_it(self) -> None:
        self.turn(LONG_ITERATION_MS, discovery_ms=LONG_ITERATION_MS - 10.0)
        self.turn(LONG_ITERATION_MS - 1.0)
        self.now += WINDOW_MS
        with self.assertLogs("lupinlink.net.loop_iterations", "WARNING") as logged:
            self.turn(1.0)
        self.assertEqual(len(logged.records), 1)
        kv = logged.records[0].__dict__["kv"]
        self.assertEqual((kv["longest_ms"], kv["mostly"], kv["long_turns"]), (100, "discovery", 1))
        self.assertEqual(self.iterations.gauges()["longest_turn_ever_ms"], 100)

    def test_the_wait_of_the_reactor_is_no_part_of_a_turn(self) -> None:
        reactor = ReactorWithPoller()
        measure(reactor, self.iterations)
        self.assertEqual(reactor._poller.poll(1.0, 3), [3])
        self.now += 40.0
        reactor._poller.poll(1.0, 3)
        self.assertEqual(self.iterations.gauges()["longest_turn_ms"], 40)


if __name__ == "__main__":
    unittest.main()
