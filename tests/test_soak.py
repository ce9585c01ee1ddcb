"""A short soak, seeded; by hand: ``python -m tests.soak N [SEED]``."""

from __future__ import annotations

import unittest

from tests.soak_fleet import SoakStage

SEEDS = (1, 2, 3, 4)


class Soak(SoakStage):
    def test_the_first_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = SoakStage()
                soak.draw_size(seed)
                soak.setUp()
                self.addCleanup(soak.doCleanups)
                verdict = soak.soak(seed)
                self.assertTrue(verdict.sound, str(verdict))


if __name__ == "__main__":
    unittest.main()
