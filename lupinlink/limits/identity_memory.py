"""Remembers which requests may have run, so that none of them runs again when its id comes again.

Ids are kept as digests of 64 bits, whatever a client sends as one. Performs no I/O; the caller passes the
current time in milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from hashlib import blake2b

KEPT_MS = 60_000.0
GENERATIONS = 12  # an id is dropped with all others of its generation


def digest(identity: str) -> int:
    """What is kept of an id; equal in all processes."""
    return int.from_bytes(blake2b(identity.encode(), digest_size=8).digest())


class IdentityMemory:
    """The latest ids: ``capacity`` at most, each for ``KEPT_MS``, and a generation more of either."""

    def __init__(self, capacity: int) -> None:
        self._generation_size = max(1, capacity // GENERATIONS)
        self._generations: deque[set[int]] = deque([set()])
        self._began: deque[float] = deque([0.0])

    def __len__(self) -> int:
        return sum(map(len, self._generations))

    def __contains__(self, kept: int) -> bool:
        return any(kept in generation for generation in self._generations)

    def __iter__(self) -> Iterator[int]:
        return (kept for generation in self._generations for kept in generation)

    def add(self, kept: int, now: float) -> None:
        """Remember a digest from now on."""
        newest_is_full = len(self._generations[-1]) >= self._generation_size
        if newest_is_full or now - self._began[-1] >= KEPT_MS / GENERATIONS:
            self._generations.append(set())
            self._began.append(now)
        self._generations[-1].add(kept)
        self.forget_old(now)

    def forget_old(self, now: float) -> None:
        """Drop generations that are too old or too many."""
        while len(self._generations) > 1 and (
            len(self._generations) > GENERATIONS + 1 or now - self._began[1] >= KEPT_MS
        ):
            self._generations.popleft()
            self._began.popleft()
