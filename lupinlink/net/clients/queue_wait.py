"""An upper bound on how long a connection has waited in the accept queue of the kernel.

While the listener is read, connections do not wait. They queue at the start and while the listener is not
read. The queue is first in, first out: once as many connections were accepted as it held when it was
observed, the following ones have connected after that. So the bound stays close even if the queue is never
seen empty. Performs no I/O; the caller passes the current time.
"""

from __future__ import annotations

import math


class QueueWait:
    """Since when the next connection may have waited. Times are milliseconds of the caller's clock."""

    def __init__(self) -> None:
        # None: connections are accepted as they arrive. -inf: unknown, as at the start, when a load balancer
        # may hold requests for this address from before this process listened.
        self.since: float | None = -math.inf
        self._observed_at: float | None = None
        self._ahead = 0  # of the connections observed in the queue, those not accepted yet

    def reading_stopped(self, now: float) -> None:
        """The listener is not read any more, or all that is queued has arrived after ``now``."""
        self.since = now
        self._observed_at = None

    def emptied(self) -> None:
        """The queue is empty, and the listener is read."""
        self.since = self._observed_at = None

    def observed(self, now: float, queued: int) -> None:
        """The queue holds this many; ignored while connections of an earlier observation are queued."""
        if self.since is None:
            return
        if queued == 0:
            self.reading_stopped(now)
        elif self._observed_at is None:
            self._observed_at, self._ahead = now, queued

    def accepted(self) -> None:
        """A connection was accepted; call ``waited_ms`` for it before."""
        if self._observed_at is None:
            return
        self._ahead -= 1
        if self._ahead <= 0:
            self.since, self._observed_at = self._observed_at, None

    def waited_ms(self, now: float) -> float:
        """How long the connection that is accepted now may have waited; infinite if unknown."""
        return now - self.since if self.since is not None else 0.0
