"""A time-out that is restarted often and seldom fires."""

from __future__ import annotations

import math
from collections.abc import Callable

from lupinlink.net.timer_wheel import ReactorClock, Timer


class SilenceTimer:
    """Calls ``on_silence`` once it was not restarted for a time, and has one timer on the wheel at most.

    After a pause of this process, activity may lie unread in the socket. So one more iteration of the event
    loop, which reads it, goes before the call.
    """

    def __init__(self, clock: ReactorClock, on_silence: Callable[[], None]) -> None:
        self._clock, self._on_silence = clock, on_silence
        self._due_at = 0.0
        self._timer: Timer | None = None
        self._timer_at = 0.0  # when the timer on the wheel fires; -inf: only one iteration is waited for

    def restart(self, within_ms: float) -> None:
        """There was activity: fire unless there is more within that time."""
        now = self._clock.now()
        self._due_at = now + within_ms
        # A timer that fires too early starts itself again: cheaper than a new one for each restart.
        if self._timer is None or not now <= self._timer_at <= self._due_at:
            self._start()

    def stop(self) -> None:
        """Never fire."""
        if self._timer is not None:
            self._timer.drop()
            self._timer = None

    def _start(self) -> None:
        self.stop()
        self._timer_at = self._due_at
        self._timer = self._clock.after(self._due_at - self._clock.now(), self._fire)

    def _fire(self) -> None:
        if self._clock.now() < self._due_at:
            self._start()
        else:
            self._timer_at = -math.inf
            self._timer = self._clock.after(0.0, self._on_silence)
