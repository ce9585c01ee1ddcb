"""Timers as coarse ticks on a wheel, and the one reactor call that drives them and the deadlines."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from twisted.internet.base import DelayedCall

from lupinlink.net.deadlines import Deadlines
from lupinlink.net.loop_iterations import LoopIterations
from lupinlink.net.twisted_types import Reactor

log = logging.getLogger(__name__)
TICK_MS = 5.0  # the tick of the simulator, under which the decisions were tuned
WHEEL_SLOTS = 1024  # a turn of about 5 s; longer timers wait for their turn


class Timer:
    """One timer on the wheel; ``call`` is None once it was dropped."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def drop(self) -> None:
        self.call = None


class TimerWheel:
    """Never early, at most one tick late."""

    def __init__(self, now_ms: float) -> None:
        self._spokes: list[list[Timer]] = [[] for _ in range(WHEEL_SLOTS)]
        self._done = int(now_ms // TICK_MS)  # the last tick that was run
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, at_ms: float, call: Callable[[], None]) -> Timer:
        timer = Timer(max(self._done + 1, int(-(-at_ms // TICK_MS))), call)
        self._spokes[timer.tick % WHEEL_SLOTS].append(timer)
        self._count += 1
        return timer

    def next_at(self) -> float | None:
        """The next tick that may have something: no more than a turn away."""
        if self._count:
            for tick in range(self._done + 1, self._done + WHEEL_SLOTS + 1):
                if self._spokes[tick % WHEEL_SLOTS]:
                    return tick * TICK_MS
        return None

    def due(self, now_ms: float) -> list[Callable[[], None]]:
        """Take out what has come due; after a long gap each spoke is looked at once."""
        last = int(now_ms // TICK_MS)
        timers: list[Timer] = []
        for tick in range(max(self._done + 1, last - WHEEL_SLOTS + 1), last + 1):
            spoke = self._spokes[tick % WHEEL_SLOTS]
            if spoke:
                timers += [t for t in spoke if t.tick <= last]
                self._spokes[tick % WHEEL_SLOTS] = [t for t in spoke if t.tick > last]
        self._done = max(self._done, last)
        self._count -= len(timers)
        timers.sort(key=lambda t: t.tick)
        return [t.call for t in timers if t.call is not None]


class ReactorClock:
    """The clock, the deadlines and the wheel behind one reactor call.

    The clock is Unix time at the start plus monotonic time since: a wall clock that steps back must
    not move deadlines or make a started server look cold again.
    """

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0
        self.deadlines = Deadlines()
        self.iterations = LoopIterations()
        self.timer_wheel = TimerWheel(self.now())
        self._call: DelayedCall | None = None
        self._call_at = 0.0

    def now(self) -> float:
        """Unix time in milliseconds that never steps back."""
        return self._offset + time.monotonic() * 1000.0

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        """A deadline."""
        number = self.deadlines.add(at_ms, call)
        self._plan(at_ms)
        return number

    def drop(self, number: int) -> None:
        """Forget a deadline."""
        self.deadlines.drop(number)

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """A coarse timer."""
        timer = self.timer_wheel.add(self.now() + delay_ms, call)
        self._plan(timer.tick * TICK_MS)
        return timer

    def _plan(self, at_ms: float) -> None:
        if self._call is not None:
            if self._call_at <= at_ms:
                return
            self._call.cancel()
        self._call_at = at_ms
        self._call = self._reactor.callLater(max(0.0, at_ms - self.now()) / 1000.0, self._run)

    def _run_due(self) -> None:
        now = self.now()
        for call in self.deadlines.due(now) + self.timer_wheel.due(now):
            try:
                call()
            except Exception:  # one broken callback must not stop every timer of the program
                log.exception("timer failed")

    def _run(self) -> None:
        self._call = None
        with self.iterations.step("timers"):
            self._run_due()
        times = [at for at in (self.deadlines.next_at(), self.timer_wheel.next_at()) if at is not None]
        if times:
            self._plan(min(times))
