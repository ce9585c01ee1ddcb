"""A short soak, seeded; by hand: ``python -m tests.soak N [SEED]``."""

from __future__ import annotations

import unittest

from tests.soak_backends import Kill
from tests.soak_fleet import SoakStage

SEEDS, SEEDS_WITH_STRANGERS = (1, 2, 4), (10_001, 10_002)


class Soak(SoakStage):
    def play(self, seed: int) -> None:
        """Play one seed, which has to be sound."""
        soak = SoakStage()
        soak.draw_size(seed)
        soak.setUp()
        self.addCleanup(soak.doCleanups)
        verdict = soak.soak(seed)
        self.assertTrue(verdict.sound, str(verdict))

    def test_the_first_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    # Guards against: cut answers, late ends, second runs and too much memory beside other faults (5e36ff).
    def test_the_first_seeds_with_slow_large_and_rude_clients(self) -> None:
        for seed in SEEDS_WITH_STRANGERS:
            with self.subTest(seed=seed):
                self.play(seed)

    # Guards against a stop that, held up at SIGTERM and again at its end, outlasts the earliest kill.
    def test_a_stop_that_is_held_up_ends_before_the_kill(self) -> None:
        self.play(3)

    # Guards against: a client is served another's answer where connections are too scarce to rest.
    def test_second_answers_where_descriptors_are_scarce(self) -> None:
        self.play(10_043)

    # Guards against a drain heeded late because discovery, back from an outage, has turned calls down.
    def test_a_drain_while_discovery_turns_calls_down(self) -> None:
        self.play(7012)


class KilledBackends(unittest.TestCase):
    # Guards against: an answer that breaks as its backend is killed counts as cut off by the proxy.
    def test_a_kill_falls_into_requests_that_begin_before_its_last_reset(self) -> None:
        kill = Kill(10.0)
        self.assertTrue(kill.falls_into(10.01, 10.02))  # it goes on
        kill.end = 10.03
        for begin, end, falls in (
            (9.5, 9.9, False),
            (9.5, 10.0, True),
            (10.02, 10.05, True),
            (10.04, 10.05, False),
        ):
            self.assertIs(kill.falls_into(begin, end), falls, (begin, end))


if __name__ == "__main__":
    unittest.main()
