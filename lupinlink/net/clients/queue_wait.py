"""How long a connection that is accepted now may have waited in the kernel's queue. Pure; time is handed in.

While the listener is read as connections come, they wait for no time. At a start, or while the listener is
left unread, they queue. The queue is first in, first out: once as many were accepted as it held at a look,
whoever follows has connected after that look. So a queue that is never seen empty does not hide for how long
its connections waited.
"""

from __future__ import annotations

import math


class QueueWait:
    """Since when the next connection may have waited; times are milliseconds of the caller's clock."""

    def __init__(self) -> None:
        # None: connections are read as they come. -inf, as at a start, is not known: a front may hold
        # requests for this address from before this process was there.
        self.since: float | None = -math.inf
        self._looked_at: float | None = None
        self._ahead = 0  # of what stood in the queue at the look, not accepted yet

    def reading_stopped(self, now: float) -> None:
        """The listener is not read from now on, or what queues is new from now on."""
        self.since = now
        self._looked_at = None

    def ended(self) -> None:
        """The queue was seen empty, and the listener is read as connections come."""
        self.since = self._looked_at = None

    def looked(self, now: float, queued: int) -> None:
        """So many stood in the queue just now; while some of an earlier look do, that one counts."""
        if self.since is None:
            return
        if queued == 0:
            self.reading_stopped(now)
        elif self._looked_at is None:
            self._looked_at, self._ahead = now, queued

    def accepted(self) -> None:
        """The next one of the queue is here; ask ``waited_ms`` for it first."""
        if self._looked_at is None:
            return
        self._ahead -= 1
        if self._ahead <= 0:
            self.since, self._looked_at = self._looked_at, None

    def waited_ms(self, now: float) -> float:
        """How long the one that is accepted now may have waited; infinite where that is not known."""
        return now - self.since if self.since is not None else 0.0
