"""Decides whether failed calls to discovery are isolated failures or show an outage.

A call fails in the same way whether discovery is down or only overloaded, so it takes several in a row. They
have to fail alike: one that fails otherwise may be an isolated failure of a discovery that is back.

Performs no I/O; the caller passes the current time in milliseconds.
"""

from __future__ import annotations

from enum import Enum

OUTAGE_AFTER_MS = 1000.0  # calls that fail at once for this long are no isolated failures
OUTAGE_LATE_CALLS = 4  # so many calls in a row with late connections are no isolated failures
OUTAGE_CALLS_NO_WATCH = 4  # the same for accepted calls without result, if discovery ended no watch before


class CallFailure(Enum):
    """How a call failed without a valid response head."""

    REFUSED = "its connection was refused"
    ENDED_AT_ONCE = "its connection came up, and it was ended at once"
    BROKEN_AT_ONCE = "its connection came up, and broke at once without a word"
    ENDED_LATE = "it was taken, and turned down late"
    BROKEN_LATE = "it was taken, and its connection broke without a word"
    UNANSWERED = "it was taken and never answered"
    LATE = "its connection is late"


AT_ONCE = frozenset({CallFailure.REFUSED, CallFailure.ENDED_AT_ONCE, CallFailure.BROKEN_AT_ONCE})
ACCEPTED = frozenset({CallFailure.ENDED_LATE, CallFailure.BROKEN_LATE, CallFailure.UNANSWERED})


class OutageDetector:
    """Counts consecutive failures that are alike."""

    def __init__(self, outage_calls: int) -> None:
        """``outage_calls``: so many consecutive calls that were accepted without result show an outage."""
        self._outage_calls = outage_calls
        self.reset()

    def reset(self, watch_was_ended: bool = False) -> None:
        """Forget earlier failures.

        ``watch_was_ended``: discovery ended the watch, as it does when it goes down. After a silent watch or
        a start only the calls themselves can show an outage.
        """
        self._watch_was_ended = watch_was_ended
        self._failure: CallFailure | None = None
        self._since = 0.0  # time of the first failure in the row
        self.failed_calls: list[int] = []  # the numbers of its calls
        self.is_outage = False  # an outage was shown, and no connection has come up since

    @property
    def seems_down(self) -> bool:
        """Whether enough consecutive calls were accepted without result: it is down, not just overloaded."""
        if self._failure is CallFailure.ENDED_LATE and self._watch_was_ended:
            return len(self.failed_calls) >= self._outage_calls
        return self._failure in ACCEPTED and len(self.failed_calls) >= max(
            self._outage_calls, OUTAGE_CALLS_NO_WATCH
        )

    def connected(self) -> None:
        """The connection of a call came up."""
        self.is_outage = False
        if self._failure is CallFailure.LATE:
            self._failure = None

    def answered(self) -> None:
        """A call has a valid response head, which only a discovery that is up can write."""
        self._failure = None

    def failed(self, failure: CallFailure, now: float, call: int = 0) -> bool:
        """Record a failed call and return whether an outage is shown."""
        if failure is not self._failure:
            self._failure, self._since, self.failed_calls = failure, now, []
        self.failed_calls.append(call)
        shown = self._shown(now)
        self.is_outage = self.is_outage or shown
        return shown

    def _shown(self, now: float) -> bool:
        if self._failure in AT_ONCE:
            return now - self._since >= OUTAGE_AFTER_MS
        if self._failure is CallFailure.LATE:
            return len(self.failed_calls) >= OUTAGE_LATE_CALLS
        return self.seems_down
