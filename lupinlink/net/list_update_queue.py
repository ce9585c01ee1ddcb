"""Discovery's objects one after another, a long one in slices between turns of the event loop."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lupinlink.net.list_format import ListError
from lupinlink.net.timer_wheel import ReactorClock

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class QueuedUpdate:
    """One object on its way in."""

    slices: Iterator[None]  # stops between two slices
    broken: Callable[[ListError], None]  # it shows too late that it is no list


class ListUpdateQueue:
    """Runs them in their order. An object of one slice is taken at once, if none is on its way in."""

    def __init__(self, clock: ReactorClock, settled: Callable[[], None]) -> None:
        """``settled``: the last of those that took more than one turn is in."""
        self._clock, self._settled = clock, settled
        self._objects: deque[QueuedUpdate] = deque()

    @property
    def busy(self) -> bool:
        """Whether an object is on its way in: what it tells counts already."""
        return bool(self._objects)

    def take(self, taking: QueuedUpdate) -> None:
        """Take an object, or its first slice; raises ListError if that shows that it is no list."""
        if self._objects:
            self._objects.append(taking)
            return
        for _ in taking.slices:
            self._objects.append(taking)
            self._clock.after(0.0, self._go_on)
            return

    def _go_on(self) -> None:
        """One slice of the object that is on its way in."""
        if self._objects and not self._slice(self._objects[0]):
            self._objects.popleft()
        if self._objects:
            self._clock.after(0.0, self._go_on)
        else:
            self._settled()

    def _slice(self, taking: QueuedUpdate) -> bool:
        """Whether more of it is to come."""
        try:
            for _ in taking.slices:
                return True
        except ListError as exc:
            taking.broken(exc)
        except Exception:  # the rest of it is lost, so discovery is asked anew
            log.exception("list failed")
            taking.broken(ListError("failed inside"))
        return False
