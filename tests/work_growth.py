"""Compares the work for inputs of two sizes."""

from __future__ import annotations

import time
from collections.abc import Callable

SIZE_RATIO = 8
# Work in proportion to the input grows by SIZE_RATIO at most, work by the second power by its square, 64.
MAX_GROWTH = 20.0
ROUNDS = 7  # the least time of them counts, since whatever else runs on the machine only adds to it
ENOUGH_S = 0.3  # no further round after this CPU time

# Builds an input of the given size and returns what processes it.
Build = Callable[[int], Callable[[], object]]


def least_cpu_s(build: Build, size: int) -> float:
    """The least CPU time of this thread, in seconds, for an input of this size."""
    times: list[float] = []
    while len(times) < ROUNDS and sum(times) < ENOUGH_S:
        process = build(size)
        before = time.thread_time()
        process()
        times.append(time.thread_time() - before)
    return min(times)


def work_growth(build: Build, small: int) -> float:
    """How many times more work an input takes that is SIZE_RATIO times as large."""
    return least_cpu_s(build, SIZE_RATIO * small) / least_cpu_s(build, small)
