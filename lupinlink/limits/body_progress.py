"""Limits for slow clients: time-outs for request heads, a minimum rate for request bodies.

Performs no I/O; the caller passes the current time in milliseconds.
"""

from __future__ import annotations

HEAD_TIMEOUT_MS = 2500.0  # for the later heads of a kept-alive connection, from their first byte
# For the first head, from accepting the connection: slow but valid clients take up to 2 s, and clients that
# send nothing have to be disconnected within 3 s.
FIRST_HEAD_TIMEOUT_MS = 2850.0
MIN_BYTES_PER_MS = 32.0  # half of the rate that is promised for clients
GRACE_MS = 1000.0  # the rate does not count before this time
STALL_TIMEOUT_MS = 2000.0  # without any byte, however many have arrived before


class BodyProgress:
    """Progress of a request body; time in which the proxy does not read from the client is excluded."""

    __slots__ = ("_began_at", "_last_byte_at", "_paused_ms", "_paused_since", "_received_bytes")

    def __init__(self, now: float) -> None:
        self._began_at = self._last_byte_at = now
        self._received_bytes = 0
        self._paused_ms = 0.0
        self._paused_since: float | None = None

    def received(self, count: int, now: float) -> None:
        """Record that ``count`` bytes have arrived."""
        self._received_bytes += count
        self._last_byte_at = now

    def pause(self, now: float) -> None:
        """Record that the proxy stops reading from the client."""
        if self._paused_since is None:
            self._paused_since = now

    def resume(self, now: float) -> None:
        """Record that the proxy reads from the client again."""
        if self._paused_since is not None:
            self._paused_ms += now - self._paused_since
            self._paused_since, self._last_byte_at = None, now

    def timed_out(self, now: float) -> bool:
        """Whether the body has stalled or arrives below the minimum rate."""
        if self._paused_since is not None:
            return False
        reading_ms = now - self._began_at - self._paused_ms - GRACE_MS
        return now - self._last_byte_at > STALL_TIMEOUT_MS or (
            reading_ms > 0.0 and self._received_bytes < MIN_BYTES_PER_MS * reading_ms
        )
