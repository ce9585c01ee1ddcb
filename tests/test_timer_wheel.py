"""The timer wheel."""

from __future__ import annotations

import unittest

from lupinlink.net.timer_wheel import TICK_MS, WHEEL_SLOTS, TimerWheel


class Wheel(unittest.TestCase):
    # Guards against: a timer that is dropped keeps its memory until it would have been due.
    def test_dropped_timers_do_not_pile_up(self) -> None:
        wheel = TimerWheel(0.0)
        for number in range(10_000):
            wheel.add(5000.0 + number % 7, lambda: None).drop()
        kept = wheel.add(100.0, lambda: None)
        self.assertEqual((len(wheel), sum(map(len, wheel._slots))), (1, 1))
        self.assertEqual(len(wheel.due(200.0)), 1)
        kept.drop()
        self.assertEqual((len(wheel), wheel.next_at()), (0, None))

    def test_the_wheel_is_never_early_and_at_most_a_tick_late(self) -> None:
        wheel, now = TimerWheel(0.0), 0.0
        late: list[float] = []
        for delay in (0.0, 3.0, 5.0, 12.0, 700.0, TICK_MS * WHEEL_SLOTS, TICK_MS * WHEEL_SLOTS * 2.5):
            wheel.add(delay, lambda d=delay: late.append(now - d))  # type: ignore[misc]
        dropped = wheel.add(10.0, lambda: late.append(-1.0))
        dropped.drop()
        while (at := wheel.next_at()) is not None:
            now = at
            for call in wheel.due(now):
                call()
        self.assertEqual(len(late), 7)
        self.assertTrue(all(0.0 <= x <= TICK_MS for x in late), late)
