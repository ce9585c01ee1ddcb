"""Calls to discovery that may have been answered although nothing of the answer has arrived.

A change counts as notified once discovery has written it, even if the network loses it. So a call may have
been answered from the moment its request was written, until discovery sends its list or refuses the call.
That no byte has arrived proves nothing.

Performs no I/O; the caller passes the current time in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lupinlink.brain.discovery_times import ENDED_NOTIFIED_MS

ENDED_WATCH = -1  # key of an ended watch; calls are numbered from 0


class PendingAnswers:
    """The calls whose answer may have been written, each with the time its request was."""

    def __init__(self, hold_after_ms: float, max_hold_ms: float) -> None:
        """A list is trusted for ``hold_after_ms`` after a call, then not for ``max_hold_ms``."""
        self._hold_after_ms, self._max_hold_ms = hold_after_ms, max_hold_ms
        self._since: dict[int, float] = {}

    def asked(self, call: int, now: float) -> None:
        """The request of a call was written."""
        self._since = {one: at for one, at in self._since.items() if now < self._expires(at)}
        self._since.setdefault(call, now)

    def watch_ended(self, now: float) -> None:
        """Discovery ended the watch, perhaps with a change that a call made at once would return."""
        self.asked(ENDED_WATCH, now + ENDED_NOTIFIED_MS)

    def not_answered(self, calls: Iterable[int]) -> None:
        """Discovery refused these calls, or could not be reached.

        The same would have happened to a call made when the previous watch ended.
        """
        for call in (ENDED_WATCH, *calls):
            self._since.pop(call, None)

    def notified(self) -> None:
        """Discovery has sent its list: whatever it wrote before is known or out of date."""
        self._since.clear()

    def may_be_lost(self, now: float, after: float = -math.inf) -> bool:
        """Whether a call made later than ``after`` is old enough that the list cannot be trusted."""
        made = (at for at in self._since.values() if at > after)
        return any(at + self._hold_after_ms <= now < self._expires(at) for at in made)

    def expiries(self) -> list[float]:
        """When each call stops holding requests."""
        return [self._expires(at) for at in self._since.values()]

    def _expires(self, at: float) -> float:
        return at + self._hold_after_ms + self._max_hold_ms
