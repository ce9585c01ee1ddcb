"""When a migration will be over, and how far off that may be. Pure.

Connections that are told to go leave one by one. Taken as leaving at random at a common rate ``r`` each, the
rate is leavings over connection-seconds watched (total time on test: Epstein and Sobel, "Life Testing",
Journal of the American Statistical Association 48, 1953), with a relative error of one over the root of the
leavings. The last of ``n`` such leaves after ``H(n) / r`` on average, ``H`` the harmonic number, with a
variance of the sum of ``1 / (k r)**2`` (the largest of n exponentials: Feller, "An Introduction to
Probability Theory and Its Applications" II, chapter I.6). Long bodies whose length is told end no sooner than
their bytes have gone. Whatever is left at ``long_ms`` is ended then, which bounds it all. Steps that are
still to come take as long as those before: their mean, with its variance.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean, variance

from lupinlink.migration.follower import RATE_MS
from lupinlink.migration.model import Report


@dataclass(frozen=True, slots=True)
class Estimate:
    """Milliseconds from now; ``error_ms`` is one standard deviation; ``known`` is False where only the bound
    of long bodies speaks."""

    end_ms: float
    error_ms: float
    known: bool = True


def tail(reports: Iterable[Report], long_ms: float) -> Estimate:
    """Until those who were told to go are empty, by their last reports."""
    leavers = [report for report in reports if report.figures.live]
    left = sum(report.figures.live for report in leavers)
    if not left:
        return Estimate(0.0, 0.0)
    bound = max(0.0, long_ms - min(report.role_ms for report in leavers))
    rate_s = sum(report.leaving_s for report in leavers)
    end, var = _last(left, rate_s)
    bodies = max((_bodies(report) for report in leavers), default=0.0)
    if not rate_s and not bodies:
        return Estimate(bound, bound / 2.0, False)
    end_ms = max(end, bodies)
    return Estimate(min(end_ms, bound), min(math.sqrt(var), bound))


def _last(left: int, rate_s: float) -> tuple[float, float]:
    """When the last of so many leaves, in ms, and the variance of that, if so many leave a second now."""
    if rate_s <= 0.0:
        return 0.0, 0.0
    each = rate_s / left  # a second and connection
    harmonic = sum(1.0 / k for k in range(1, left + 1))
    spread = sum(1.0 / k**2 for k in range(1, left + 1)) / each**2
    leavings = max(1.0, rate_s * RATE_MS / 1000.0)
    return 1000.0 * harmonic / each, 1e6 * (spread + (harmonic / each) ** 2 / leavings)


def _bodies(report: Report) -> float:
    """Until the long bodies of one proxy have gone at their present rate, in ms; 0: nothing tells."""
    return 1000.0 * report.figures.bytes_to_go / report.bytes_s if report.bytes_s > 0.0 else 0.0


def steps_left(coming: int, inside: int, step: int, first: int, growth: float) -> int:
    """How many times proxies are still brought in."""
    count = 0
    while inside < coming:
        inside += max(1, math.ceil(min(first * growth ** (step + count), coming)))
        count += 1
    return count


def steps(left: int, taken_ms: Sequence[float], expected_ms: float) -> Estimate:
    """Until so many steps are done. ``taken_ms``: those done; ``expected_ms``: before there are any."""
    if not left:
        return Estimate(0.0, 0.0)
    mean = fmean(taken_ms) if taken_ms else expected_ms
    spread = variance(taken_ms) if len(taken_ms) > 1 else (mean / 2.0) ** 2
    # The mean of few is itself uncertain.
    return Estimate(left * mean, math.sqrt(left * spread + left**2 * spread / max(1, len(taken_ms))))


def together(one: Estimate, other: Estimate) -> Estimate:
    """One after the other."""
    return Estimate(
        one.end_ms + other.end_ms, math.hypot(one.error_ms, other.error_ms), one.known and other.known
    )
