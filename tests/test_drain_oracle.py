"""The oracle of "told" by itself: what it makes of each thing that happens."""

from __future__ import annotations

import math
import unittest

from tests.drain_oracle import DrainOracle, OpenWatch, Outage, after_outages


class Told(unittest.TestCase):
    def told(self, oracle: DrainOracle, had: float) -> float:
        oracle.had("a", had)
        return oracle.notified_at(oracle.processes[-1], "a")

    def test_what_nobody_wrote_counts_6_s_after_discovery_had_it_and_could_be_reached(self) -> None:
        for outages, told in (
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
            self.assertEqual(self.told(oracle, 10000.0), told, outages)

    def test_what_was_written_counts_at_once_and_the_first_time_holds(self) -> None:
        oracle = DrainOracle(())
        process = oracle.started(0.0, frozenset())
        for at in (11000.0, 12000.0):
            oracle.wrote(process, "a", at)
        self.assertEqual(self.told(oracle, 10000.0), 11000.0)

    def test_what_a_reset_has_discarded_unread_does_not_count(self) -> None:
        oracle = DrainOracle(())
        process = oracle.started(0.0, frozenset())
        oracle.wrote(process, "a", 11000.0)
        oracle.unread(process, "a", 11000.0)
        self.assertEqual(self.told(oracle, 10000.0), 16000.0)

    def test_a_silent_watch_counts_6_s_after_it_fell_silent_while_it_is_open(self) -> None:
        for watch, told in (
            (OpenWatch(0.0, silent_at=9000.0), 15000.0),
            (OpenWatch(0.0, silent_at=1000.0), 10000.0),
            (OpenWatch(0.0, silent_at=9000.0, closed_at=9900.0), 16000.0),
            (OpenWatch(0.0, silent_at=10100.0), 16000.0),
        ):
            oracle = DrainOracle(())
            oracle.started(0.0, frozenset()).watches.append(watch)
            self.assertEqual(self.told(oracle, 10000.0), told, watch)

    def test_an_outage_behind_a_silence_counts_from_its_end(self) -> None:
        oracle = DrainOracle((Outage(11000.0, 13000.0),))
        oracle.started(0.0, frozenset()).watches.append(OpenWatch(0.0, silent_at=9000.0))
        self.assertEqual(self.told(oracle, 10000.0), 19000.0)

    def test_a_later_process_has_a_second_unless_its_list_tells(self) -> None:
        for start, known, told in (
            (12000.0, frozenset[str](), 16000.0),
            (15500.0, frozenset[str](), 16500.0),
            (15500.0, frozenset({"a"}), 15500.0),
        ):
            oracle = DrainOracle(())
            oracle.started(0.0, frozenset())
            oracle.started(start, known)
            self.assertEqual(self.told(oracle, 10000.0), told)

    def test_pushed_lists_count_as_the_agent_has_them_and_4_s_after_sighup(self) -> None:
        for start, moves, told in (
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
            self.assertEqual(self.told(oracle, 10000.0), told)

    def test_lateness_counts_from_250_ms_after_told_and_only_where_a_backend_goes(self) -> None:
        oracle = DrainOracle(())
        oracle.started(0.0, frozenset())
        oracle.had("a", 10000.0)
        for at, backend in ((9000.0, "a"), (16100.0, "a"), (16300.0, "a"), (20000.0, "b")):
            oracle.attempt(at, backend)
        self.assertEqual([lateness.ms for lateness in oracle.late_attempts()], [50.0, -150.0])
        self.assertEqual(after_outages(math.inf, (Outage(0.0, 1.0),)), math.inf)


if __name__ == "__main__":
    unittest.main()
