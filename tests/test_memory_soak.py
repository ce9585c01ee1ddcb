"""A short soak of crowds that make a real process hold memory; the long one is started by hand."""

from __future__ import annotations

import unittest

from tests.memory_soak import Draw, play

SEEDS = range(1, 7)


class MemorySoak(unittest.TestCase):
    # Guards against: crowds of any kind pass a memory limit of any size, or keep sound clients from answers.
    def test_the_first_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed, draw=Draw.of(seed)):
                seen = play(seed)
                self.assertEqual(seen.faults(), [], seen)
