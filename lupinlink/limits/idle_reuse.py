"""Which connections at rest are worth their place: learnt from how often, and how soon, they are asked again.

A client may ask once, keep its connection and never come back on it. What it may hold is limited on
its own side, where the proxy cannot see, so connections that nobody uses keep its next requests from being
sent at all. Closing one that would have been asked again costs a new connection instead. So a place is
given up once the odds of its being asked again fall under the price of a place, which rises as places run
out.

The odds are the product-limit estimate (Kaplan and Meier, 1958) with two ways to end, being asked again and
being left: connections that still rest and those that were cut count for as long as they were seen, so that
a crowd that never comes back shows in tenths of a second and not only when it leaves.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

AGES_MS = (0.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)  # where the spans of a rest's age begin
# Share of rests asked again within each span, as long as nothing was seen: most that return do so soon.
USUAL = (0.3, 0.3, 0.3, 0.3, 0.2, 0.1, 0.05, 0.02)
OWN_WEIGHT, ALL_WEIGHT = (
    8.0,
    4.0,
)  # rests that everybody's figures count for at an address, and USUAL for those
HALF_LIFE_MS = 5000.0  # a rest seen so long ago counts for half
REFRESH_MS = 100.0
ADDRESSES = 64  # remembered; the one heard of least lately goes
FREE_SHARE, DEAR_SHARE = 0.25, 0.75  # of all places taken: up to here one costs nothing, from here on all
# One rest in so many is left alone, and no more than that share of the places at once: odds that nobody
# tests would never be corrected, but each test costs a place for as long as it lasts.
SPARED_EACH, SPARED_SHARE = 8, 0.02


class IdleEnd(Enum):
    """How a rest came to its end."""

    REUSED = "asked again"
    CLOSED_BY_CLIENT = "left"
    CLOSED_BY_PROXY = "cut short by the proxy"


class History:
    """Rests by the span of age in which they ended, decayed counts."""

    __slots__ = ("asked", "at", "left", "reuse_probability", "seen")

    def __init__(self) -> None:
        self.asked = [0.0] * len(AGES_MS)
        self.left = [0.0] * len(AGES_MS)
        self.seen = [0.0] * len(AGES_MS)  # cut in that span: known to have come so far
        self.reuse_probability = [0.0] * len(
            AGES_MS
        )  # of being asked again, for a rest that has come into the span
        self.at = -math.inf  # when counts were last decayed

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
        self.at = now
        for counts in (self.asked, self.left, self.seen):
            counts[:] = [count * factor for count in counts]

    def revise(self, resting: list[int], prior: list[float], weight: float) -> list[float]:
        """Draw up the odds; gives the share asked again within each span.

        ``resting``: how many rest now in each span; ``prior``: shares that ``weight`` rests stand for.
        """
        beyond, reuse_probability = 0.0, 0.0
        shares = [0.0] * len(AGES_MS)
        for i in reversed(range(len(AGES_MS))):
            asked, left = self.asked[i], self.left[i]
            known = weight + beyond + asked + left
            shares[i] = (weight * prior[i] + asked) / known
            reuse_probability = shares[i] + max(0.0, 1.0 - shares[i] - left / known) * reuse_probability
            self.reuse_probability[i] = reuse_probability
            beyond += asked + left + self.seen[i] + resting[i]
        return shares


class IdlePeriod:
    """A connection between two requests."""

    __slots__ = ("history", "since", "spared")

    def __init__(self, history: History, since: float, spared: bool) -> None:
        self.history, self.since, self.spared = history, since, spared


def span(age_ms: float) -> int:
    """The number of the span of age that a rest is in."""
    return max(0, bisect_right(AGES_MS, age_ms) - 1)


class IdleReuse:
    """The odds that connections are asked again, for everybody and by address, and the price of a place."""

    def __init__(self, places: int) -> None:
        self._spared_most = max(1, int(places * SPARED_SHARE))
        self._spared = 0
        self._all = History()
        self._own: OrderedDict[str, History] = OrderedDict()
        self._count = 0
        self._refreshed = -math.inf
        self._all.revise([0] * len(AGES_MS), list(USUAL), ALL_WEIGHT)

    def __len__(self) -> int:
        """Addresses that are remembered."""
        return len(self._own)

    def idle_began(self, address: str, now: float) -> IdlePeriod:
        """A connection from ``address`` has its answer and stays; ``now`` in milliseconds."""
        spared = self._spares()
        self._count += 1
        self._spared += spared
        return IdlePeriod(self._history(address, now), now, spared)

    def idle_ended(self, rest: IdlePeriod, now: float, how: IdleEnd) -> None:
        """The rest is over."""
        self._spared -= rest.spared
        at = span(now - rest.since)
        for history in (self._all, rest.history):
            if how is IdleEnd.REUSED:
                history.asked[at] += 1.0
            elif how is IdleEnd.CLOSED_BY_CLIENT:
                history.left[at] += 1.0
            else:
                history.seen[at] += 1.0

    def reuse_probability(self, address: str, age_ms: float = 0.0) -> float:
        """How likely a connection from there that has rested so long is asked again, 0 to 1."""
        return self._own.get(address, self._all).reuse_probability[span(age_ms)]

    def worth_keeping(self, address: str, taken: float) -> bool:
        """Whether a connection that has just had its answer should stay; ``taken``: share of places used."""
        stays = self.reuse_probability(address) >= keep_threshold(taken) or self._spares()
        self._count += not stays
        return stays

    def _spares(self) -> bool:
        return (self._count + 1) % SPARED_EACH == 0 and self._spared < self._spared_most

    def should_close(self, rest: IdlePeriod, taken: float, now: float) -> bool:
        """Whether a rest should end now."""
        return not rest.spared and rest.history.reuse_probability[span(now - rest.since)] < keep_threshold(
            taken
        )

    def refresh(self, resting: Iterable[IdlePeriod], now: float) -> None:
        """Draw up the odds anew, if that was not done just now; ``resting``: every rest of this moment."""
        if now - self._refreshed < REFRESH_MS:
            return
        self._refreshed = now
        every = [0] * len(AGES_MS)
        by_history: dict[History, list[int]] = {}
        for rest in resting:
            at = span(now - rest.since)
            every[at] += 1
            by_history.setdefault(rest.history, [0] * len(AGES_MS))[at] += 1
        self._all.decay(now)
        shares = self._all.revise(every, list(USUAL), ALL_WEIGHT)
        none = [0] * len(AGES_MS)
        for history in self._own.values():
            history.decay(now)
            history.revise(by_history.get(history, none), shares, OWN_WEIGHT)

    def _history(self, address: str, now: float) -> History:
        history = self._own.get(address)
        if history is None:
            history = self._own[address] = History()
            history.at, history.reuse_probability = now, list(self._all.reuse_probability)
            if len(self._own) > ADDRESSES:
                self._own.popitem(last=False)
        self._own.move_to_end(address)
        return history


def keep_threshold(taken: float) -> float:
    """The odds under which a place is worth more to others; ``taken``: share of all places in use, 0 to 1."""
    return min(max((taken - FREE_SHARE) / (DEAR_SHARE - FREE_SHARE), 0.0), 1.0)
