"""A timer wheel for coarse timers, and the clock whose single reactor call drives it and the deadlines."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from twisted.internet.base import DelayedCall

from lupinlink.net.deadlines import Deadlines
from lupinlink.net.loop_iterations import LoopIterations
from lupinlink.net.twisted_types import Reactor

log = logging.getLogger(__name__)
TICK_MS = 5.0  # equal to the tick of the simulator, for which the decision module is tuned
WHEEL_SLOTS = 1024  # one revolution takes about 5 s; longer timers stay in their slot for several


class Timer:
    """A timer on the wheel; ``call`` is None once it was dropped."""

    __slots__ = ("call", "tick", "wheel")

    def __init__(self, tick: int, call: Callable[[], None], wheel: TimerWheel | None = None) -> None:
        self.tick, self.wheel = tick, wheel
        self.call: Callable[[], None] | None = call

    def drop(self) -> None:
        """Never call it."""
        self.call = None
        if self.wheel is not None:
            self.wheel.remove(self)


class TimerWheel:
    """A hashed timer wheel. Its timers fire never early and at most one tick late."""

    def __init__(self, now_ms: float) -> None:
        self._slots: list[dict[Timer, None]] = [{} for _ in range(WHEEL_SLOTS)]
        self._last_tick = int(now_ms // TICK_MS)  # the last one that was handled
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, at_ms: float, call: Callable[[], None]) -> Timer:
        timer = Timer(max(self._last_tick + 1, int(-(-at_ms // TICK_MS))), call, self)
        self._slots[timer.tick % WHEEL_SLOTS][timer] = None
        self._count += 1
        return timer

    def remove(self, timer: Timer) -> None:
        """Remove a timer that was dropped: those of writes would pile up until they are due."""
        slot = self._slots[timer.tick % WHEEL_SLOTS]
        if timer in slot:
            del slot[timer]
            self._count -= 1

    def next_at(self) -> float | None:
        """The time of the next tick with timers in its slot, at most one revolution away; None: no timers."""
        if self._count:
            for tick in range(self._last_tick + 1, self._last_tick + WHEEL_SLOTS + 1):
                if self._slots[tick % WHEEL_SLOTS]:
                    return tick * TICK_MS
        return None

    def due(self, now_ms: float) -> list[Callable[[], None]]:
        """Remove and return the calls that are due; after a long gap each slot is visited once."""
        last = int(now_ms // TICK_MS)
        timers: list[Timer] = []
        for tick in range(max(self._last_tick + 1, last - WHEEL_SLOTS + 1), last + 1):
            slot = self._slots[tick % WHEEL_SLOTS]
            if slot:
                timers += [t for t in slot if t.tick <= last]
                self._slots[tick % WHEEL_SLOTS] = {t: None for t in slot if t.tick > last}
        self._last_tick = max(self._last_tick, last)
        self._count -= len(timers)
        timers.sort(key=lambda t: t.tick)
        return [t.call for t in timers if t.call is not None]


class ReactorClock:
    """The clock, with deadlines and a timer wheel that one reactor call drives.

    Its time is Unix time at the start plus the monotonic time since, so that a wall clock that steps back
    does not move deadlines or make a running server look cold again.
    """

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0
        self.deadlines = Deadlines()
        self.iterations = LoopIterations()
        self.timer_wheel = TimerWheel(self.now())
        self._delayed_call: DelayedCall | None = None
        self._delayed_call_ms = 0.0

    def now(self) -> float:
        """Unix time in milliseconds; it never steps back."""
        return self._offset + time.monotonic() * 1000.0

    @property
    def last_change(self) -> float:
        """When the event loop last began an iteration or a wait; now if that is not known."""
        change = self.iterations.last_change
        return self._offset + change if change is not None else self.now()

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        """Add a deadline, at which ``call`` is made; returns its number for ``drop``."""
        number = self.deadlines.add(at_ms, call)
        self._schedule(at_ms)
        return number

    def drop(self, number: int) -> None:
        """Remove a deadline."""
        self.deadlines.drop(number)

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Add a coarse timer, at most a tick late."""
        timer = self.timer_wheel.add(self.now() + delay_ms, call)
        self._schedule(timer.tick * TICK_MS)
        return timer

    def _schedule(self, at_ms: float) -> None:
        if self._delayed_call is not None:
            if self._delayed_call_ms <= at_ms:
                return
            self._delayed_call.cancel()
        self._delayed_call_ms = at_ms
        self._delayed_call = self._reactor.callLater(max(0.0, at_ms - self.now()) / 1000.0, self._run)

    def _run_due(self) -> None:
        now = self.now()
        for call in self.deadlines.due(now) + self.timer_wheel.due(now):
            try:
                call()
            except Exception:  # one failing callback must not stop all other timers
                log.exception("timer failed")

    def _run(self) -> None:
        self._delayed_call = None
        with self.iterations.step("timers"):
            self._run_due()
        times = [at for at in (self.deadlines.next_at(), self.timer_wheel.next_at()) if at is not None]
        if times:
            self._schedule(min(times))
