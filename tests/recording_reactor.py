"""A reactor and clock that record dials and timers; a test moves the time forward."""

from __future__ import annotations

from collections.abc import Callable

from lupinlink.net.loop_iterations import LoopIterations
from lupinlink.net.timer_wheel import Timer
from lupinlink.net.watch import Watch
from lupinlink.net.watch_factory import WatchFactory


class RecordingReactor:
    """Records dials and timers; serves as reactor and as clock."""

    def __init__(self) -> None:
        self.dials: list[Watch] = []
        self.timers: list[tuple[float, Timer]] = []
        self.time = 1000.0
        self.iterations = LoopIterations()

    def connectTCP(self, host: str, port: int, factory: WatchFactory, timeout: object) -> RecordingReactor:  # noqa: N802
        self.dials.append(factory.buildProtocol(None))
        return self

    def disconnect(self) -> None: ...

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        self.timers.append((self.time + delay_ms, Timer(0, call)))
        return self.timers[-1][1]

    def until(self, time: float) -> None:
        """Move the time forward, and fire the timers that come due, in order."""
        while self.timers and min(at for at, _ in self.timers) <= time:
            due = min(self.timers, key=lambda pair: pair[0])
            self.timers.remove(due)
            self.time = max(self.time, due[0])
            if due[1].call is not None:
                due[1].call()
        self.time = time
