"""The memory of ids is bounded in size and in time."""

from __future__ import annotations

import unittest

from lupinlink.limits.identity_memory import GENERATIONS, KEPT_MS, IdentityMemory, digest

CAPACITY = 1200


class Bounds(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = IdentityMemory(CAPACITY)

    # Guards against: ever new ids fill the memory.
    def test_a_flood_of_ids_keeps_the_latest_only(self) -> None:
        for number in range(20 * CAPACITY):
            self.memory.add(number, 1.0)
        self.assertLessEqual(len(self.memory), CAPACITY + 2 * CAPACITY // GENERATIONS)
        self.assertTrue(all(20 * CAPACITY - 1 - back in self.memory for back in range(CAPACITY)))

    # Guards against: an id is forgotten while its request may come again, or never.
    def test_an_id_is_kept_for_its_time(self) -> None:
        self.memory.add(digest("x" * 10_000), 0.0)
        self.memory.add(1, KEPT_MS - 1.0)
        self.assertIn(digest("x" * 10_000), self.memory)
        self.memory.add(2, KEPT_MS * (1.0 + 2.0 / GENERATIONS))
        self.memory.add(3, KEPT_MS * (2.0 + 3.0 / GENERATIONS))
        self.assertNotIn(digest("x" * 10_000), self.memory)
