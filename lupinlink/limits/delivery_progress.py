"""Whether a client goes on receiving what was written to it. Performs no I/O; the caller passes the time."""

from __future__ import annotations

DELIVERY_STALL_MS = 20000.0  # without a byte received; a client's kernel takes bytes in large steps only


class DeliveryProgress:
    """Watches the bytes that are still on their way, however slowly they get fewer."""

    __slots__ = ("_least_bytes", "_since")

    def __init__(self) -> None:
        self._least_bytes = self._since = 0.0

    def restart(self, now: float, undelivered_bytes: float) -> None:
        """Watch from now on; ``undelivered_bytes``: written, and not received by the client's machine."""
        self._least_bytes, self._since = undelivered_bytes, now

    def is_stalled(self, now: float, undelivered_bytes: float, stall_ms: float = DELIVERY_STALL_MS) -> bool:
        """Whether nothing was received for too long; to be asked from time to time."""
        if undelivered_bytes < self._least_bytes:
            self.restart(now, undelivered_bytes)
        return now - self._since > stall_ms
