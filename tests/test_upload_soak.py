"""A short soak of uploads, seeded; by hand: ``python -m tests.upload_soak N [SEED]``."""

from __future__ import annotations

import unittest

from tests.upload_soak import play

SEEDS = (1, 2, 3, 7, 9)


class UploadsToServersInTrouble(unittest.TestCase):
    # Guards against: altered bodies, late or missing answers, second runs (review cases 6 to 9).
    def test_the_first_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sound, said = play(seed)
                self.assertTrue(sound, said)
