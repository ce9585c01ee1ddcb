"""A short soak of uploads, seeded; by hand: ``python -m tests.upload_soak N [SEED]``."""

from __future__ import annotations

from tests.upload_soak import UploadSoak

SEEDS = (1, 2, 3)


class UploadsToServersInTrouble(UploadSoak):
    # Guards against: altered bodies, late or missing answers, second runs (review cases 6 to 9).
    def test_the_first_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = UploadSoak()
                soak.setUp()
                self.addCleanup(soak.doCleanups)
                verdict = soak.soak(seed)
                self.assertTrue(verdict.sound, str(verdict))
