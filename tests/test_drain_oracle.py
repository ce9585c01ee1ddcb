"""The oracle of the rule ``drain`` on its own: when it counts a change as notified."""

from __future__ import annotations

import math
import unittest

from tests.drain_oracle import DrainOracle, OpenWatch, Outage, after_outages


class NotificationTime(unittest.TestCase):
    def notified_at(self, oracle: DrainOracle, had: float) -> float:
        oracle.had("a", had)
        return oracle.notified_at(oracle.processes[-1], "a")

    def test_an_unwritten_change_counts_6_s_after_a_reachable_discovery_had_it(self) -> None:
        for outages, expected in (
            ((), 16000.0),
            ((Outage(9000.0, 10000.0),), 16000.0),
            ((Outage(9000.0, 12000.0),), 18000.0),
            ((Outage(15900.0, 20000.0),), 26000.0),
            ((Outage(16000.0, 20000.0),), 16000.0),
            ((Outage(9000.0, 12000.0), Outage(17000.0, 20000.0)), 18000.0),
            ((Outage(9000.0, 12000.0), Outage(15000.0, 20000.0)), 26000.0),
        ):
            oracle = DrainOracle(outages)
            oracle.started(0.0, frozenset())
            self.assertEqual(self.notified_at(oracle, 10000.0), expected, outages)

    def test_a_written_change_counts_from_its_first_write(self) -> None:
        oracle = DrainOracle(())
        process = oracle.started(0.0, frozenset())
        for at in (11000.0, 12000.0):
            oracle.wrote(process, "a", at)
        self.assertEqual(self.notified_at(oracle, 10000.0), 11000.0)

    def test_a_change_that_a_reset_discarded_unread_does_not_count(self) -> None:
        oracle = DrainOracle(())
        process = oracle.started(0.0, frozenset())
        oracle.wrote(process, "a", 11000.0)
        oracle.unread(process, "a", 11000.0)
        self.assertEqual(self.notified_at(oracle, 10000.0), 16000.0)

    def test_a_change_on_an_open_silent_watch_counts_6_s_after_the_silence_began(self) -> None:
        for watch, expected in (
            (OpenWatch(0.0, silent_at=9000.0), 15000.0),
            (OpenWatch(0.0, silent_at=1000.0), 10000.0),
            (OpenWatch(0.0, silent_at=9000.0, closed_at=9900.0), 16000.0),
            (OpenWatch(0.0, silent_at=10100.0), 16000.0),
        ):
            oracle = DrainOracle(())
            oracle.started(0.0, frozenset()).watches.append(watch)
            self.assertEqual(self.notified_at(oracle, 10000.0), expected, watch)

    def test_a_change_counts_from_the_end_of_an_outage_after_a_silence(self) -> None:
        oracle = DrainOracle((Outage(11000.0, 13000.0),))
        oracle.started(0.0, frozenset()).watches.append(OpenWatch(0.0, silent_at=9000.0))
        self.assertEqual(self.notified_at(oracle, 10000.0), 19000.0)

    def test_a_later_process_has_a_second_unless_its_list_has_the_change(self) -> None:
        for start, known, expected in (
            (12000.0, frozenset[str](), 16000.0),
            (15500.0, frozenset[str](), 16500.0),
            (15500.0, frozenset({"a"}), 15500.0),
        ):
            oracle = DrainOracle(())
            oracle.started(0.0, frozenset())
            oracle.started(start, known)
            self.assertEqual(self.notified_at(oracle, 10000.0), expected)

    def test_pushed_lists_count_as_the_agent_has_them_and_4_s_after_sighup(self) -> None:
        for start, moves, expected in (
            (0.0, (), 10000.0),
            (12000.0, (), 12000.0),
            (0.0, (9000.0,), 13000.0),
            (0.0, (6000.0,), 10000.0),
            (0.0, (10500.0,), 10000.0),
        ):
            oracle = DrainOracle((), pushed=True)
            oracle.started(start, frozenset())
            for move in moves:
                oracle.moved(move)
            self.assertEqual(self.notified_at(oracle, 10000.0), expected)

    def test_attempts_are_late_250_ms_after_the_departure_of_their_backend_counts(self) -> None:
        oracle = DrainOracle(())
        oracle.started(0.0, frozenset())
        oracle.had("a", 10000.0)
        for at, backend in ((9000.0, "a"), (16100.0, "a"), (16300.0, "a"), (20000.0, "b")):
            oracle.attempt(at, backend)
        self.assertEqual([lateness.ms for lateness in oracle.late_attempts()], [50.0, -150.0])
        self.assertEqual(after_outages(math.inf, (Outage(0.0, 1.0),)), math.inf)


if __name__ == "__main__":
    unittest.main()
