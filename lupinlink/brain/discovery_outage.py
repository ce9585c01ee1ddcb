"""Whether the calls to discovery that fail are single failures or show an outage. Pure.

A call fails alike where discovery is down and where it is only crowded, so it takes several in a row. They
have to fail in the same way: one that fails otherwise may be a single failure of a discovery that is back.
"""

from __future__ import annotations

from enum import Enum

AWAY_AFTER_MS = 1000.0  # neither: calls turned away at once for so long are no single failures any more
AWAY_LATE_CALLS = 4  # neither: so many calls in a row whose connections are late are no single failures
OUTAGE_CALLS_NO_WATCH = (
    4  # neither: the same of calls that brought nothing, where no watch was ended before them
)


class CallFailure(Enum):
    """In which way a call failed, with no good head."""

    REFUSED = "its connection was refused"
    TURNED_AWAY = "its connection came up, and it was ended at once"
    BROKEN_AT_ONCE = "its connection came up, and broke at once without a word"
    ENDED_LATE = "it was taken, and turned down late"
    BROKEN_LATE = "it was taken, and its connection broke without a word"
    UNANSWERED = "it was taken and never answered"
    LATE = "its connection is late"


AT_ONCE = frozenset({CallFailure.REFUSED, CallFailure.TURNED_AWAY, CallFailure.BROKEN_AT_ONCE})
TAKEN = frozenset({CallFailure.ENDED_LATE, CallFailure.BROKEN_LATE, CallFailure.UNANSWERED})


class OutageDetector:
    """Counts the failures in a row that are alike."""

    def __init__(self, outage_calls: int) -> None:
        """``away_calls``: so many calls in a row that were taken and brought nothing show an outage."""
        self._away_calls = outage_calls
        self.reset()

    def reset(self, watch_was_ended: bool = False) -> None:
        """Nothing that failed before counts any more.

        ``watch_was_ended``: by discovery, as watches do when it goes down. After a silence or a start nothing
        speaks for an outage but the calls themselves.
        """
        self._watch_was_ended = watch_was_ended
        self._failure: CallFailure | None = None
        self._since = 0.0  # the first of the row
        self.row: list[int] = []  # the calls in it, by their numbers
        self.away = False  # shown, and no call's connection has come up since

    @property
    def seems_down(self) -> bool:
        """Whether enough calls in a row were taken and brought nothing: it is down, and not just crowded."""
        if self._failure is CallFailure.ENDED_LATE and self._watch_was_ended:
            return len(self.row) >= self._away_calls
        return self._failure in TAKEN and len(self.row) >= max(self._away_calls, OUTAGE_CALLS_NO_WATCH)

    def connected(self) -> None:
        """The connection of a call came up."""
        self.away = False
        if self._failure is CallFailure.LATE:
            self._failure = None

    def answered(self) -> None:
        """A call has a good head, which only a discovery that is there can write."""
        self._failure = None

    def failed(self, failure: CallFailure, now: float, call: int = 0) -> bool:
        """A call failed; whether that shows an outage."""
        if failure is not self._failure:
            self._failure, self._since, self.row = failure, now, []
        self.row.append(call)
        shown = self._shown(now)
        self.away = self.away or shown
        return shown

    def _shown(self, now: float) -> bool:
        if self._failure in AT_ONCE:
            return now - self._since >= AWAY_AFTER_MS
        if self._failure is CallFailure.LATE:
            return len(self.row) >= AWAY_LATE_CALLS
        return self.seems_down
