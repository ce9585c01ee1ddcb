"""The state of this process: starting, in service, draining, handing over, stopping.

The single place that decides what ``/up`` and ``ready`` answer, whether connections are kept open after an
answer, when idle ones are closed, and when the process may exit. Performs no I/O; the caller passes the
current time. Times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from enum import Enum

# After the call to drain, the front still sends new connections for about 0.3 s; connections still open 4 s
# after the call are too late. Connections in use close after their next answer; idle ones are closed at this
# time, when most clients have had that chance.
DRAIN_IDLE_MS = 1500.0
# After SIGTERM, new connections arrive for up to 0.4 s; one that arrives after 0.7 s and is open at the kill
# is lost. The kill comes at the earliest 0.7 s plus the longest deadline (at most 3 s) after SIGTERM.
# So idle connections are closed after the last new one can have arrived, and open requests are answered
# shortly before the kill. The deadlines come from the settings, the other times from the protocol. A kill may
# come later or not at all, and an answer that is being delivered must not be cut: it delays the exit.
STOP_IDLE_MS, STOP_STAY_MS = 500.0, 700.0
KILL_AFTER_DEADLINE_MS, MAX_DEADLINE_MS = 700.0, 3000.0
# A new process is sent no clients until discovery has confirmed its list, since it would hold their
# requests. It has to be ready within 6 s, and starts within a second or two.
LIST_WAIT_MS = 4000.0
# A process may be held up for 150 ms; the rest of the time to exit is to notice that it may, and to end. The
# answers are written shortly before, and an undelivered one delays the exit.
ANSWER_BEFORE_KILL_MS, EXIT_BEFORE_KILL_MS = 350.0, 300.0
# A client whose connection is closed after a handover reconnects to the successor. A close that crosses a
# request is worse than waiting for the idle limit, after which clients do not reuse a connection.
HANDED_OVER_IDLE_MS = 2500.0
HANDED_OVER_STAY_MS = 3000.0  # the old process stays at least this long: its successor may still fail


class LifecycleState(Enum):
    """The state as reported to operators."""

    STARTING = "starting"
    IN_SERVICE = "in service"
    DRAINING = "draining"
    HANDING_OVER = "handing over"
    STOPPING = "stopping"


class Lifecycle:
    """The state machine; every method may be called at any time, and repeatedly."""

    def __init__(self, max_deadline_ms: float = MAX_DEADLINE_MS) -> None:
        """``max_deadline_ms``: the longest deadline in the settings."""
        kill = min(max_deadline_ms, MAX_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
        # Even where short deadlines bring the kill early, late connections get their minimum time.
        self.answer_all_ms, self.exit_ms = (
            max(kill - ANSWER_BEFORE_KILL_MS, STOP_IDLE_MS),
            max(kill - EXIT_BEFORE_KILL_MS, STOP_STAY_MS),
        )
        self._serving = False
        self._list_settled = False
        self._drained_at: float | None = None
        self._handed_over_at: float | None = None
        self._stopping_at: float | None = None
        self._signalled_at = 0.0  # the earliest time at which the signal to stop may have been sent
        self._accepting_ended = False

    @property
    def state(self) -> LifecycleState:
        """The state that takes precedence where several apply."""
        if self._stopping_at is not None:
            return LifecycleState.STOPPING
        if not self._serving:
            return LifecycleState.STARTING
        if self._handed_over_at is not None:
            return LifecycleState.HANDING_OVER
        return LifecycleState.IN_SERVICE if self._drained_at is None else LifecycleState.DRAINING

    @property
    def stopping(self) -> bool:
        return self._stopping_at is not None

    @property
    def serving(self) -> bool:
        """Whether the listener has ever been open."""
        return self._serving

    @property
    def drained(self) -> bool:
        """Whether operators have taken this proxy out of service; an upgrade preserves this."""
        return self._drained_at is not None

    @property
    def handed_over(self) -> bool:
        """Whether a successor process serves in place of this one."""
        return self._handed_over_at is not None

    def serve(self) -> None:
        """The listener is open."""
        self._serving = True

    @property
    def list_settled(self) -> bool:
        """Whether the list of backends is trusted for sending requests, or the wait for it timed out."""
        return self._list_settled

    def settle_list(self) -> None:
        """Stop waiting for the list of backends to be trusted."""
        self._list_settled = True

    def out_of_service(self, now: float) -> None:
        """Start to drain; a second call does not restart the time."""
        if self._drained_at is None:
            self._drained_at = now

    def in_service(self) -> None:
        """Accept clients again; may be called in the middle of a drain or without one."""
        self._drained_at = None

    def hand_over(self, now: float) -> None:
        """A successor serves from now on."""
        if self._handed_over_at is None:
            self._handed_over_at = now

    def cancel_handover(self) -> None:
        """The successor has ended before this process did; serve again."""
        self._handed_over_at = None

    def stop(self, now: float, signalled_at: float = math.inf) -> None:
        """Start to stop, as on SIGTERM; later calls have no effect.

        ``signalled_at``: the earliest time at which the signal may have been sent; the kill counts from it.
        """
        if self._stopping_at is None:
            self._stopping_at = now
            self._signalled_at = min(now, signalled_at)

    def up(self, servers_ready: int) -> bool:
        """What ``/up`` answers: whether a front should send clients here."""
        wanted = self._drained_at is None and self._stopping_at is None
        return self._serving and self._list_settled and servers_ready > 0 and wanted

    def ready(self, servers_ready: int) -> bool:
        """What ``ready`` answers: whether this process can serve, drained or not."""
        return self._serving and servers_ready > 0 and self._stopping_at is None

    def accepts(self) -> bool:
        """Whether this process, and not a successor, accepts new connections."""
        return self._serving and self._handed_over_at is None and not self._accepting_ended

    def end_accepting(self, now: float, queued: bool) -> bool:
        """End accepting for good once no new connections can come; returns whether it has ended.

        ``queued``: whether the accept queue has connections; they are accepted for as long as there is time.
        """
        since = now - self._stopping_at if self._stopping_at is not None else 0.0
        if since >= STOP_STAY_MS and (not queued or now - self._signalled_at >= self.exit_ms):
            self._accepting_ended = True
        return self._accepting_ended

    def keeps_connections(self) -> bool:
        """Whether a connection stays open after its answer."""
        return self._drained_at is None and self._handed_over_at is None and self._stopping_at is None

    def close_idle_from(self) -> float:
        """The time from which idle connections are closed at once; infinite while they may stay."""
        ends = []
        if self._stopping_at is not None:
            handed = self._handed_over_at is not None
            ends.append(
                self._stopping_at + (min(HANDED_OVER_IDLE_MS, self.answer_all_ms) if handed else STOP_IDLE_MS)
            )
        if self._drained_at is not None:
            ends.append(self._drained_at + DRAIN_IDLE_MS)
        return min(ends, default=math.inf)

    def must_answer_now(self, now: float) -> bool:
        """Whether all open requests must be answered now, since the kill is near."""
        return self.stopping and now - self._signalled_at >= self.answer_all_ms

    def may_exit(self, now: float, left: int, undelivered: int) -> bool:
        """Whether the process may exit.

        ``left``: client connections and requests that remain; ``undelivered``: those of them with an answer
        that is not delivered yet. The latter end by themselves: each has a time-out for lack of progress.
        """
        if self._stopping_at is not None:
            since = now - self._stopping_at
            quiet = since >= STOP_STAY_MS or self._handed_over_at is not None
            must_exit = since >= STOP_STAY_MS and now - self._signalled_at >= self.exit_ms
            return not undelivered and (must_exit or (quiet and not left))
        return (
            self._handed_over_at is not None
            and now - self._handed_over_at >= HANDED_OVER_STAY_MS
            and not left
        )
