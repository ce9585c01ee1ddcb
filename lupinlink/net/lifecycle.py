"""Where this process stands: starting, in service, draining, handing over, stopping. Pure; time is handed in.

The one place that says what ``/up`` and ``ready`` answer, whether kept connections stay after an answer, when
those at rest must go, and when the process may leave. Times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from enum import Enum

# In a drain the front still sends new connections for some 0.3 s, and what stands open 4 s after the call is
# too late. Those that are still used end with their answers; the rest go when most have had that chance.
DRAIN_IDLE_MS = 1500.0
# After SIGTERM connections keep coming for up to 0.4 s; what comes from 0.7 s on and is open at the kill is
# lost. The kill comes the longest deadline (counted as 3 s where it is longer) and 0.7 s after SIGTERM
# at the earliest. So idle connections are closed after the last new one may have come, and what is still open
# shortly before the kill gets its answer then. These are the protocol's; the deadlines are the settings'.
STOP_IDLE_MS, QUIET_MS = 500.0, 700.0
KILL_MS, LONGEST_MS = 700.0, 3000.0
# A new process is sent no clients until discovery has confirmed its list: it would hold their requests. It
# has to be ready within 6 s, and starts within a second or two.
LIST_WAIT_MS = 4000.0
LAST_MS, LEAVE_MS = 300.0, 100.0  # before the kill: time to write every answer, and to be gone
# With a successor, whoever is told to go comes back to it; crossing a request is worse than waiting
# for the idle limit, after which clients do not come back on a connection.
HANDED_IDLE_MS = 2500.0
HANDED_LEAVE_MS = 3000.0  # an old process stays so long in any case: its successor may yet fail


class LifecycleState(Enum):
    """What an operator is told."""

    STARTING = "starting"
    IN_SERVICE = "in service"
    DRAINING = "draining"
    HANDING_OVER = "handing over"
    STOPPING = "stopping"


class Lifecycle:
    """The state; every call may come at any time, and twice."""

    def __init__(self, longest_ms: float = LONGEST_MS) -> None:
        """``longest_ms``: the longest deadline of the settings."""
        kill = min(longest_ms, LONGEST_MS) + KILL_MS
        # With deadlines so short that the kill comes next, newcomers have their time all the same.
        self.last_ms, self.leave_ms = max(kill - LAST_MS, STOP_IDLE_MS), max(kill - LEAVE_MS, QUIET_MS)
        self._serving = False
        self._list_settled = False
        self._drained_at: float | None = None
        self._handed_at: float | None = None
        self._stopping_at: float | None = None

    @property
    def state(self) -> LifecycleState:
        """What weighs most of what holds."""
        if self._stopping_at is not None:
            return LifecycleState.STOPPING
        if not self._serving:
            return LifecycleState.STARTING
        if self._handed_at is not None:
            return LifecycleState.HANDING_OVER
        return LifecycleState.IN_SERVICE if self._drained_at is None else LifecycleState.DRAINING

    @property
    def stopping(self) -> bool:
        return self._stopping_at is not None

    @property
    def serving(self) -> bool:
        """Whether the listener has ever stood."""
        return self._serving

    @property
    def drained(self) -> bool:
        """Whether the operators want no clients here; it outlasts an upgrade."""
        return self._drained_at is not None

    @property
    def handed_over(self) -> bool:
        """Whether a successor serves in this process's place."""
        return self._handed_at is not None

    def serve(self) -> None:
        """The listener stands."""
        self._serving = True

    @property
    def list_settled(self) -> bool:
        """Whether requests are sent by the list of backends, or this was waited for long enough."""
        return self._list_settled

    def settle_list(self) -> None:
        """Wait for the list of backends no longer; it may be called again."""
        self._list_settled = True

    def out_of_service(self, now: float) -> None:
        """Drain; a second call does not start it anew."""
        if self._drained_at is None:
            self._drained_at = now

    def in_service(self) -> None:
        """Take clients again; harmless without a drain and in the middle of one."""
        self._drained_at = None

    def hand_over(self, now: float) -> None:
        """A successor serves from here on."""
        if self._handed_at is None:
            self._handed_at = now

    def cancel_handover(self) -> None:
        """The successor has gone before this process did."""
        self._handed_at = None

    def stop(self, now: float) -> None:
        """SIGTERM; only the first counts."""
        if self._stopping_at is None:
            self._stopping_at = now

    def up(self, servers_ready: int) -> bool:
        """What ``/up`` answers: whether a front should send clients here."""
        wanted = self._drained_at is None and self._stopping_at is None
        return self._serving and self._list_settled and servers_ready > 0 and wanted

    def ready(self, servers_ready: int) -> bool:
        """What ``ready`` answers: whether this process can serve, drained or not."""
        return self._serving and servers_ready > 0 and self._stopping_at is None

    def accepts(self) -> bool:
        """Whether new connections are taken here and not by a successor."""
        return self._serving and self._handed_at is None

    def keeps_connections(self) -> bool:
        """Whether a connection stays open after its answer."""
        return self._drained_at is None and self._handed_at is None and self._stopping_at is None

    def close_idle_from(self) -> float:
        """When connections at rest are to go at once; infinite while they may stay."""
        ends = []
        if self._stopping_at is not None:
            handed = self._handed_at is not None
            ends.append(self._stopping_at + (min(HANDED_IDLE_MS, self.last_ms) if handed else STOP_IDLE_MS))
        if self._drained_at is not None:
            ends.append(self._drained_at + DRAIN_IDLE_MS)
        return min(ends, default=math.inf)

    def must_answer_now(self, now: float) -> bool:
        """Whether what is still open must get its answer now."""
        return self._stopping_at is not None and now - self._stopping_at >= self.last_ms

    def may_exit(self, now: float, left: int) -> bool:
        """Whether the process may end; ``left``: connections of clients and requests still here."""
        if self._stopping_at is not None:
            since = now - self._stopping_at
            quiet = since >= QUIET_MS or self._handed_at is not None
            return since >= self.leave_ms or (quiet and not left)
        return self._handed_at is not None and now - self._handed_at >= HANDED_LEAVE_MS and not left
