"""Whether the calls to discovery that fail are single failures or show an outage. Pure.

A call fails alike where discovery is down and where it is only crowded, so it takes several in a row.
"""

from __future__ import annotations

import math

AWAY_AFTER_MS = 1000.0  # neither: calls turned away at once for so long are no single failures any more
AWAY_LATE_CALLS = 4  # neither: so many calls in a row whose connections are late are no single failures


class OutageDetector:
    """Counts the failures in a row. Each method that takes one tells whether it shows an outage."""

    def __init__(self, away_calls: int) -> None:
        """``away_calls``: so many calls in a row that were taken and brought nothing show an outage."""
        self._away_calls = away_calls
        self.reset()

    def reset(self) -> None:
        """Nothing that failed before counts any more."""
        self._refused_since = math.inf  # the first of the calls in a row that were turned away at once
        self._refused_connected = False  # whether the last one of them had a connection
        self._late_calls = 0  # in a row, with no connection between them
        self._fruitless_calls = 0  # in a row that were taken and brought nothing
        self.away = False  # shown, and no call's connection has come up since

    @property
    def seems_down(self) -> bool:
        """Whether enough calls in a row were taken and brought nothing: it is down, and not just crowded."""
        return self._fruitless_calls >= self._away_calls

    def connected(self) -> None:
        """The connection of a call came up."""
        self._late_calls = 0
        self.away = False

    def answered(self) -> None:
        """A call has a good head, which only a discovery that is there can write."""
        self._fruitless_calls = 0

    def late(self) -> bool:
        """The connection of a call is late."""
        self._late_calls += 1
        return self._shown(self._late_calls >= AWAY_LATE_CALLS)

    def refused(self, now: float, connected: bool) -> bool:
        """A call was turned away at once; ``connected``: only once its connection had come up.

        After calls with none, the first with one may be a single failure of a discovery that is back.
        """
        if connected and not self._refused_connected:
            self._refused_since = math.inf
        self._refused_connected = connected
        self._refused_since = min(self._refused_since, now)
        return self._shown(now - self._refused_since >= AWAY_AFTER_MS)

    def fruitless(self, answered: bool) -> bool:
        """A call was taken and has ended late, with nothing told."""
        self._refused_since = math.inf
        self._fruitless_calls += not answered
        return not answered and self._shown(self.seems_down)

    def _shown(self, outage: bool) -> bool:
        self.away = self.away or outage
        return outage
