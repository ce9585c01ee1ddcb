"""How much work the usable servers take together, a cold one by its warmth; kept as they change. Pure."""

from __future__ import annotations

from itertools import islice

from lupinlink.brain.health import SlowStart
from lupinlink.interface import Server

MOST_REFRESHED = 256  # cold servers whose warmth is looked at anew in one turn


class ReadyCapacity:
    """The sum, in warm servers."""

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start
        self._warm: set[Server] = set()
        self._cold: dict[Server, float] = {}  # with their warmth, the one looked at longest ago first

    def set_usable(self, server: Server, usable: bool, now: float) -> None:
        """Whether a server takes work and is not left out."""
        self._warm.discard(server)
        self._cold.pop(server, None)
        if usable:
            self._take(server, now)

    def total(self, now: float) -> float:
        """The sum; of very many cold servers some count as they were some turns ago."""
        for server in list(islice(self._cold, MOST_REFRESHED)):
            del self._cold[server]
            self._take(server, now)
        return len(self._warm) + sum(self._cold.values())

    def _take(self, server: Server, now: float) -> None:
        if self._slow_start.least(server, now) >= 1.0:
            self._warm.add(server)
        else:
            self._cold[server] = self._slow_start.warmth(server, now)
