"""Chance by name: each part of a run draws from a stream of its own, so that adding one shifts no other."""

from __future__ import annotations

from zlib import crc32

import numpy as np
from numpy.random import Generator, SeedSequence


class Streams:
    """Named random streams of one seed (numpy's SeedSequence, spawned by the name's checksums)."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def entropy(self, name: str) -> SeedSequence:
        """The seed of the stream of that name; equal names give equal streams."""
        text = name.encode()
        return SeedSequence(self.seed, spawn_key=(crc32(text), crc32(text[::-1]), len(text)))

    def generator(self, name: str) -> Generator:
        """A stream to draw arrays from."""
        return np.random.Generator(np.random.PCG64(self.entropy(name)))

    def number(self, name: str) -> int:
        """A seed of 63 bits for a part that has a random source of its own."""
        return int(self.entropy(name).generate_state(1, np.uint64)[0]) >> 1

    def draws(self, name: str) -> Draws:
        """A stream to draw single numbers from."""
        return Draws(self.generator(name))


class Draws:
    """Single draws out of blocks: numpy is quick by the thousand and slow by the one."""

    BLOCK = 1024

    def __init__(self, generator: Generator) -> None:
        self._generator = generator
        self._even: list[float] = []
        self._normal: list[float] = []

    def even(self) -> float:
        """Evenly from [0, 1)."""
        if not self._even:
            self._even = self._generator.random(self.BLOCK).tolist()
        return self._even.pop()

    def normal(self) -> float:
        """Standard normal."""
        if not self._normal:
            self._normal = self._generator.standard_normal(self.BLOCK).tolist()
        return self._normal.pop()

    def between(self, low: float, high: float) -> float:
        """Evenly from [low, high)."""
        return low + (high - low) * self.even()

    def below(self, count: int) -> int:
        """A whole number, 0 to count - 1."""
        return int(self.even() * count)
