"""The longest iteration of the event loop, in the log and the gauges."""

from __future__ import annotations

import unittest

from lupinlink.net.loop_iterations import LONG_ITERATION_MS, WINDOW_MS, LoopIterations, measure_iterations


class Poller:
    """A poller that returns at once."""

    def poll(self, timeout: float, events: int) -> list[int]:
        return [events]


class ReactorWithPoller:
    def __init__(self) -> None:
        self._poller = Poller()


class LongestIteration(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.iterations = LoopIterations(lambda: self.now)

    def run_iteration(self, took_ms: float, discovery_ms: float = 0.0) -> None:
        self.iterations.begin()
        with self.iterations.step("discovery"):
            self.now += discovery_ms
        self.now += took_ms - discovery_ms
        self.iterations.end()

    # Guards against a stop that counts from the start of the process, where the loop has not waited before.
    def test_the_last_change_is_the_start_of_an_iteration_or_of_a_wait_also_the_first(self) -> None:
        self.assertIsNone(self.iterations.last_change)
        for change in (self.iterations.end, self.iterations.begin, self.iterations.end):
            self.now += 7.0
            change()
            self.now += 1.0
            self.assertEqual(self.iterations.last_change, self.now - 1.0)

    # Guards against an event loop that is held up without a log line.
    def test_a_long_iteration_is_logged_once_a_window_with_its_longest_step(self) -> None:
        self.run_iteration(LONG_ITERATION_MS, discovery_ms=LONG_ITERATION_MS - 10.0)
        self.run_iteration(LONG_ITERATION_MS - 1.0)
        self.now += WINDOW_MS
        with self.assertLogs("lupinlink.net.loop_iterations", "WARNING") as logged:
            self.run_iteration(1.0)
        self.assertEqual(len(logged.records), 1)
        kv = logged.records[0].__dict__["kv"]
        self.assertEqual((kv["longest_ms"], kv["mostly"], kv["long_turns"]), (100, "discovery", 1))
        self.assertEqual(self.iterations.gauges()["longest_turn_ever_ms"], 100)

    def test_the_wait_of_the_reactor_is_no_part_of_an_iteration(self) -> None:
        reactor = ReactorWithPoller()
        measure_iterations(reactor, self.iterations)
        self.assertEqual(reactor._poller.poll(1.0, 3), [3])
        self.now += 40.0
        reactor._poller.poll(1.0, 3)
        self.assertEqual(self.iterations.gauges()["longest_turn_ms"], 40)


if __name__ == "__main__":
    unittest.main()
