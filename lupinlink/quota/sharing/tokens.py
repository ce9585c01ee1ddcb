"""Who holds the tokens of a burst: one whole token each at least, or in turns where they are too few. Pure.

A gateway whose bucket holds less than one token lets in nothing at all, however fast it fills. So every
gateway that asks gets one, the rest goes by rate; where there are fewer tokens than gateways that ask, some
hold one each for a turn and then others do, those that have waited longest for what they should have had
first (deficit round robin: Shreedhar and Varghese, "Efficient Fair Queuing Using Deficit Round-Robin",
IEEE/ACM Transactions on Networking 4(3), 1996).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from lupinlink.quota.sharing.book import Key, Slice
from lupinlink.quota.sharing.floor import NEARLY


class Turns:
    """Of one quota."""

    def __init__(self) -> None:
        self._owed: dict[Key, float] = {}
        self._chosen: list[Key] = []
        self._until = 0.0

    def share(
        self,
        rates: Mapping[Key, float],
        sure: Collection[Key],
        burst: float,
        tokens: float,
        now: float,
        turn_ms: float,
    ) -> dict[Key, Slice]:
        """What each gateway should have in all; those that are left out get nothing now.

        ``rates``: shares of the quota, over 0. ``sure``: they have a token anyway, of their floor.
        ``tokens``: of the burst, to be shared among them all.
        """
        whole = sum(rates.values())
        if len(rates) <= int(tokens + NEARLY):
            self._chosen = []
            more = tokens - len(rates)
            return {key: Slice(rate, (1.0 + more * rate / whole) / burst) for key, rate in rates.items()}
        number = int(tokens + NEARLY) - len(sure)
        others = [key for key in rates if key not in sure]
        self._choose(others, number, {key: rates[key] / whole * number for key in others}, now, turn_ms)
        served = [*sure, *self._chosen]
        # What the rest should have had is of use to nobody but those that can let in something.
        return {key: Slice(whole / len(served), 1.0 / burst) for key in served}

    def _choose(
        self, others: list[Key], number: int, due: Mapping[Key, float], now: float, turn_ms: float
    ) -> None:
        self._chosen = [key for key in self._chosen if key in due][: max(0, number)]
        if now >= self._until:
            self._until, self._chosen = now + turn_ms, []
            self._owed = {key: self._owed.get(key, 0.0) + share for key, share in due.items()}
        waiting = [key for key in others if key not in self._chosen]
        waiting.sort(key=lambda key: -self._owed.get(key, 0.0))
        for key in waiting[: max(0, number - len(self._chosen))]:
            self._owed[key] = self._owed.get(key, 0.0) - 1.0
            self._chosen.append(key)
