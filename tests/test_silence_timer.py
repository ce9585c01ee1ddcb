"""The time-out of a watch, on a clock that the test moves."""

from __future__ import annotations

import unittest
from typing import cast

from lupinlink.net.silence_timer import SilenceTimer
from lupinlink.net.timer_wheel import ReactorClock
from tests.recording_reactor import RecordingReactor

TIMEOUT_MS = 1000.0


class Silence(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = RecordingReactor()
        self.clock.time = 0.0
        self.fired: list[float] = []
        clock = cast(ReactorClock, self.clock)
        self.silence = SilenceTimer(clock, lambda: self.fired.append(self.clock.time))

    def test_many_empty_lines_of_discovery_do_not_fill_the_memory_with_timers(self) -> None:
        # Guards against a timer for each empty line, kept until its time: 64,000 for one read of the socket.
        for _ in range(1000):
            self.clock.until(self.clock.time + 0.01)
            self.silence.restart(TIMEOUT_MS)
        self.assertEqual(len(self.clock.timers), 1)
        self.clock.until(10_000.0)
        self.assertAlmostEqual(self.fired[0], 10.0 + TIMEOUT_MS)
        self.assertEqual(len(self.fired), 1)

    def test_activity_that_is_read_after_a_pause_of_the_process_counts(self) -> None:
        # Guards against the end of a watch whose update lies unread: the last iteration before it reads it.
        self.silence.restart(TIMEOUT_MS)
        self.clock.time = 2 * TIMEOUT_MS  # the process was paused
        at, timer = self.clock.timers.pop()
        self.assertEqual(at, TIMEOUT_MS)
        assert timer.call is not None
        timer.call()
        self.assertEqual(self.fired, [])
        self.silence.restart(TIMEOUT_MS)
        self.clock.until(3 * TIMEOUT_MS - 1.0)
        self.assertEqual(self.fired, [])
        self.clock.until(3 * TIMEOUT_MS)
        self.assertEqual(self.fired, [3 * TIMEOUT_MS])

    def test_a_shorter_time_holds_and_a_stopped_timer_never_fires(self) -> None:
        # Guards against a call to discovery that keeps the longer time-out of the one before.
        self.silence.restart(TIMEOUT_MS)
        self.silence.restart(TIMEOUT_MS / 2)
        self.clock.until(TIMEOUT_MS / 2)
        self.assertEqual(self.fired, [TIMEOUT_MS / 2])
        self.silence.restart(TIMEOUT_MS)
        self.silence.stop()
        self.clock.until(10 * TIMEOUT_MS)
        self.assertEqual(self.fired, [TIMEOUT_MS / 2])


if __name__ == "__main__":
    unittest.main()
