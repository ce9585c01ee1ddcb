"""Whether what a client sends gets on: heads by the clock, bodies by their rate. Pure; milliseconds."""

from __future__ import annotations

HEAD_TIMEOUT_MS = 2500.0  # a further head on a kept connection, from its first byte
# The first head, from connecting: clients in earnest take up to 2 s, others are owed an end within 3 s.
FIRST_HEAD_TIMEOUT_MS = 2850.0
MIN_BYTES_PER_MS = 32.0  # bytes a millisecond: half of what is promised
GRACE_MS = 1000.0  # not judged before that
STALL_TIMEOUT_MS = 2000.0  # however much has come: nothing more for so long is no progress


class BodyProgress:
    """A body on its way in. Time during which its sender was held back does not count."""

    __slots__ = ("_began", "_came", "_held_since", "_last", "_waited")

    def __init__(self, now: float) -> None:
        self._began = self._last = now
        self._came = 0
        self._waited = 0.0
        self._held_since: float | None = None

    def received(self, count: int, now: float) -> None:
        """So many bytes are here."""
        self._came += count
        self._last = now

    def pause(self, now: float) -> None:
        """Its sender is not read from here on."""
        if self._held_since is None:
            self._held_since = now

    def resume(self, now: float) -> None:
        """It is read again."""
        if self._held_since is not None:
            self._waited += now - self._held_since
            self._held_since, self._last = None, now

    def timed_out(self, now: float) -> bool:
        """Whether it has stopped, or comes too slowly to be waited for."""
        if self._held_since is not None:
            return False
        spent = now - self._began - self._waited - GRACE_MS
        return now - self._last > STALL_TIMEOUT_MS or (spent > 0.0 and self._came < MIN_BYTES_PER_MS * spent)
