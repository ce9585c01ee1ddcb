"""Plays many seeds of the soak, a line each: ``python -m tests.soak N [SEED] [JOBS]``; JOBS at a time."""

# ruff: noqa: N802

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Protocol

from tests.soak_fleet import SoakStage

JOBS = 4


class Sound(Protocol):
    """What a soak has shown; its text tells what happened."""

    @property
    def sound(self) -> bool:
        """Whether nothing happened that must not."""


class Stage(Protocol):
    """A soak that is not run by a test runner."""

    def setUp(self) -> None: ...
    def soak(self, seed: int) -> Sound: ...
    def doCleanups(self) -> object: ...


def play_on(stage: Stage, seed: int) -> tuple[bool, str]:
    """One seed on this stage: whether nothing happened that must not, and what did."""
    stage.setUp()
    try:
        verdict = stage.soak(seed)
        return verdict.sound, str(verdict)
    finally:
        stage.doCleanups()


def play(seed: int) -> tuple[bool, str]:
    """One seed of the soak."""
    soak = SoakStage()
    soak.draw_size(seed)
    return play_on(soak, seed)


def play_seeds(name: str, play: Callable[[int], tuple[bool, str]], words: list[str]) -> int:
    """Play the seeds that the command's words tell, and print them; returns 1 if one was not sound."""
    if not 1 <= len(words) <= 3 or not all(word.isdecimal() and int(word) for word in words):
        print(f"{name}: {' '.join(words)!r} is not N [SEED] [JOBS], whole numbers from 1 on", file=sys.stderr)
        return 2
    number, first, jobs = [*map(int, words), *(1, JOBS)[len(words) - 1 :]]
    with ProcessPoolExecutor(jobs) as pool:
        played = list(pool.map(play, range(first, first + number)))
    for _, line in played:
        print(line)
    unsound = sum(not sound for sound, _ in played)
    print(f"seeds={number} unsound={unsound}")
    return int(unsound > 0)


if __name__ == "__main__":
    sys.exit(play_seeds("soak", play, sys.argv[1:]))
