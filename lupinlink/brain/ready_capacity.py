"""The total capacity of the usable servers, updated as they change.

Performs no I/O; the caller passes the current time.
"""

from __future__ import annotations

from itertools import islice

from lupinlink.brain.health import SlowStart
from lupinlink.interface import Server

MAX_REFRESHED = 256  # cold servers whose warmth is updated per call


class ReadyCapacity:
    """The capacity in units of a warm server; a cold one counts by its warmth."""

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start
        self._warm: set[Server] = set()
        self._cold: dict[Server, float] = {}  # with their warmth, the least recently updated first

    def set_usable(self, server: Server, usable: bool, now: float) -> None:
        """Record whether a server is ready and not ejected."""
        self._warm.discard(server)
        self._cold.pop(server, None)
        if usable:
            self._add(server, now)

    def total(self, now: float) -> float:
        """The total; among very many cold servers the warmth of some is a few calls old."""
        for server in list(islice(self._cold, MAX_REFRESHED)):
            del self._cold[server]
            self._add(server, now)
        return len(self._warm) + sum(self._cold.values())

    def _add(self, server: Server, now: float) -> None:
        if self._slow_start.promised_share(server, now) >= 1.0:
            self._warm.add(server)
        else:
            self._cold[server] = self._slow_start.warmth(server, now)
