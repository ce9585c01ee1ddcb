"""Which calls to discovery may have been answered though nothing of the answer has come. Pure.

A change counts as told once discovery has written it, whatever the network makes of it. So from the moment
in which a call's request was written its answer may have been, until discovery has told or has said that it
will not. That not one byte came shows nothing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lupinlink.brain.discovery_times import ENDED_TOLD_MS

ENDED_WATCH = -1  # the number under which a watch that ended stands here; calls count from 0 on


class PendingAnswers:
    """The calls whose answer may have been written, each with the time from which on."""

    def __init__(self, hold_after_ms: float, max_hold_ms: float) -> None:
        """A list is relied on for ``hold_after_ms`` more, and not for ``hold_most_ms`` after that."""
        self._hold_after_ms, self._hold_most_ms = hold_after_ms, max_hold_ms
        self._since: dict[int, float] = {}

    def asked(self, call: int, now: float) -> None:
        """Its request was written."""
        self._since = {one: at for one, at in self._since.items() if now < self._expires(at)}
        self._since.setdefault(call, now)

    def watch_ended(self, now: float) -> None:
        """By discovery, which may have had news for it: a call that is made at once would bring them."""
        self.asked(ENDED_WATCH, now + ENDED_TOLD_MS)

    def told_nothing(self, calls: Iterable[int]) -> None:
        """Discovery turned these down, or could not be reached when they were made.

        So it would have done to a call made as the watch before ended.
        """
        for call in (ENDED_WATCH, *calls):
            self._since.pop(call, None)

    def told(self) -> None:
        """Discovery has told: whatever it has written before is known, or out of date."""
        self._since.clear()

    def may_be_lost(self, now: float, after: float = -math.inf) -> bool:
        """Whether one that was made ``after`` then was made so long ago that the list can't be relied on."""
        made = (at for at in self._since.values() if at > after)
        return any(at + self._hold_after_ms <= now < self._expires(at) for at in made)

    def expiries(self) -> list[float]:
        """When each of them holds requests no longer."""
        return [self._expires(at) for at in self._since.values()]

    def _expires(self, at: float) -> float:
        return at + self._hold_after_ms + self._hold_most_ms
