"""Limits the rate of all blocking queries of one process. Performs no I/O; the caller passes the time.

A virtual-scheduling leaky bucket (the generic cell rate algorithm, ITU-T I.371): one call each
``interval_ms`` on average, ``burst`` at once after idle time. Records that change all the time are then read
once per interval and not at each change, and queries that failed together are retried one by one. Renewals
and commits are not delayed, but the next query is, for up to ``MAX_OWED_CALLS`` of them.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OWED_CALLS = 2  # a process that commits all the time still has a third of its query rate


@dataclass(frozen=True, slots=True)
class CallTiming:
    """Intervals of the queries to the service."""

    ask_ms: float = 1000.0  # between calls of this process, on average; blocking queries wait for it
    wait_ms: float = 10000.0  # longest time that a blocking query may wait for a change
    retry_ms: float = 500.0  # shortest wait after a failed query


class CallRateLimiter:
    """Assigns start times to queries; one that is not used is lost."""

    def __init__(self, interval_ms: float, burst: int) -> None:
        self._interval_ms, self._burst_ms = interval_ms, interval_ms * (burst - 1)
        self._next_ms = float("-inf")
        self._owed_calls = 0

    def wait_ms(self, now: float) -> float:
        """Reserve the next start time; returns how long the caller must wait for it."""
        start = max(self._next_ms, now - self._burst_ms)
        self._next_ms = start + self._interval_ms * (1 + self._owed_calls)
        self._owed_calls = 0
        return max(0.0, start - now)

    def charge(self) -> None:
        """Count a call that was not delayed."""
        self._owed_calls = min(MAX_OWED_CALLS, self._owed_calls + 1)
