"""Whether all gateways together let on more than a quota, and how much of it was used. Pure.

From what servers and clients saw: a try was let on when an attempt of it was seen at a server, or when it
was answered with anything but a refusal. The moment is that of the whole request at its gateway, which
decides then; what a gateway reads late is covered by a slack that every window is longer by.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

from lupinlink.lab.model.agreement import Quota
from lupinlink.lab.model.referee import Reply, Try


def over(times: Iterable[float], rate_per_s: float, burst: float, slack_ms: float) -> float:
    """The most that was let on beyond rate x window + burst, over every window; 0 at least.

    With v(i) = i - rate t(i) over the times in order, a window from the i-th to the j-th holds
    j - i + 1 - rate (t(j) - t(i)) = 1 + v(j) - v(i) beyond its rate; one pass keeps the least v.
    """
    rate, least, worst = rate_per_s / 1000.0, float("inf"), 0.0
    for number, at in enumerate(sorted(times)):
        beyond = number - rate * at
        least = min(least, beyond)
        worst = max(worst, 1.0 + beyond - least)
    return max(0.0, worst - rate * slack_ms - burst)


class QuotaSeen:
    """One quota, and all tries that it is about."""

    def __init__(self, quota: Quota, classes: list[str], members: list[str], slack_ms: float) -> None:
        self._quota, self._slack_ms = quota, slack_ms
        self._class = classes.index(quota.of_class) if quota.of_class else None
        self._member = members.index(quota.member) if quota.member else None
        self._asked: list[float] = []
        self._let_on: list[float] = []

    def take(self, one: Try) -> None:
        """A try that has ended."""
        if self._class not in (None, one.class_index) or self._member not in (None, one.member):
            return
        self._asked.append(one.at)
        if one.sent or any(what is not Reply.REFUSED for _, what, _ in one.answers):
            self._let_on.append(one.at)

    @property
    def over(self) -> float:
        """Beyond rate x window + burst, the worst window."""
        return over(self._let_on, self._quota.rate_per_s, self._quota.burst, self._slack_ms)

    def used(self, began: float, spans: Iterable[tuple[float, float]]) -> tuple[float, float]:
        """What was let on and what could have been (the least of demand and quota), by the second, within
        spans of seconds from ``began``."""
        seconds = sorted({second for first, last in spans for second in range(int(first), int(last))})
        done = possible = 0.0
        asked, let_on = _by_second(self._asked, began), _by_second(self._let_on, began)
        for second in seconds:
            could = min(asked.get(second, 0), self._quota.rate_per_s)
            done += min(let_on.get(second, 0), could)
            possible += could
        return done, possible


def _by_second(times: list[float], began: float) -> dict[int, int]:
    found: dict[int, int] = {}
    for at in times:
        second = int((at - began) // 1000.0)
        found[second] = found.get(second, 0) + 1
    return found


def spans(steady_from_s: float, until_s: float, moments_s: Iterable[float], after_s: float) -> list[
    tuple[float, float]
]:  # fmt: skip
    """The steady parts of a run: without the first seconds, and without some after each moment of change."""
    edges = sorted({steady_from_s, *(at for at in moments_s if steady_from_s < at < until_s), until_s})
    return [
        (first if first == steady_from_s else first + after_s, last)
        for first, last in pairwise(edges)
        if last - first > after_s
    ]
