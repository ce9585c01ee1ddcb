"""Applies discovery's updates in their order, a long one in slices over several event loop iterations."""

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
    """An update that is being applied or waits for those before it."""

    slices: Iterator[None]  # each step applies one slice
    on_error: Callable[[ListError], None]  # called if a slice fails after ``add`` has returned


class ListUpdateQueue:
    """Applies updates in order. A short update is applied at once where the queue is empty."""

    def __init__(self, clock: ReactorClock, on_idle: Callable[[], None]) -> None:
        """``on_idle``: called once the queue, which held long updates, is empty again."""
        self._clock, self._on_idle = clock, on_idle
        self._updates: deque[QueuedUpdate] = deque()

    @property
    def busy(self) -> bool:
        """Whether an update is applied only in part; all of it counts as notified already."""
        return bool(self._updates)

    def add(self, update: QueuedUpdate) -> None:
        """Apply an update or its first slice, or queue it; raises ListError if the first slice fails."""
        if self._updates:
            self._updates.append(update)
            return
        for _ in update.slices:
            self._updates.append(update)
            self._clock.after(0.0, self._apply_next_slice)
            return

    def _apply_next_slice(self) -> None:
        if self._updates and not self._apply_slice(self._updates[0]):
            self._updates.popleft()
        if self._updates:
            self._clock.after(0.0, self._apply_next_slice)
        else:
            self._on_idle()

    def _apply_slice(self, update: QueuedUpdate) -> bool:
        """Return whether slices of the update remain."""
        try:
            for _ in update.slices:
                return True
        except ListError as exc:
            update.on_error(exc)
        except Exception:  # the rest of the update is lost, so the watch ends and discovery is called again
            log.exception("list failed")
            update.on_error(ListError("failed inside"))
        return False
