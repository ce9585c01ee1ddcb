"""The clock interface, implemented for real time and for the virtual time of simulations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock with timers; times are in milliseconds."""

    def now(self) -> float:
        """Return the current time."""
        ...

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        """Schedule ``call`` at the time ``at_ms``, never earlier; returns a number for ``drop``."""
        ...

    def drop(self, number: int) -> None:
        """Cancel a scheduled call; does nothing if it was already made or cancelled."""
        ...

    def after(self, delay_ms: float, call: Callable[[], None]) -> object:
        """Schedule ``call`` after a delay, possibly one timer tick late; ``drop`` cannot cancel it."""
        ...
