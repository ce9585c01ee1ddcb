"""One process's clock: it runs a little fast or slow, and the process may stand still."""

from __future__ import annotations

from collections.abc import Callable

from lupinlink.lab.model.clock import VirtualClock


class ProcessClock:
    """A ``lupinlink.clock.Clock``. While the process stands still time goes on and nothing is called."""

    def __init__(self, true: VirtualClock, rate: float = 1.0, offset_ms: float = 0.0) -> None:
        """``rate``: of this clock's ms to a true one; ``offset_ms``: its time at true time 0."""
        self._true, self._rate, self._offset = true, rate, offset_ms
        self._held: list[Callable[[], None]] = []
        self.stopped = False
        self.dead = False

    def now(self) -> float:
        return self._offset + self._true.now() * self._rate

    def at(self, at_ms: float, call: Callable[[], None]) -> int:
        return self._true.at((at_ms - self._offset) / self._rate, lambda: self._make(call))

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        return self.at(self.now() + delay_ms, call)

    def drop(self, number: int) -> None:
        self._true.drop(number)

    def _make(self, call: Callable[[], None]) -> None:
        if self.stopped:
            self._held.append(call)
        elif not self.dead:
            call()

    def stop(self) -> None:
        """As by SIGSTOP."""
        self.stopped = True

    def go_on(self) -> None:
        """As by SIGCONT: what was due meanwhile is called now, in its order."""
        self.stopped = False
        held, self._held = self._held, []
        for call in held:
            self._make(call)

    def kill(self) -> None:
        """As by SIGKILL."""
        self.dead, self._held = True, []
