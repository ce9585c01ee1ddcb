"""The network: one-way delays between zones, drawn message by message."""

from __future__ import annotations

import math

from lupinlink.lab.model.scenario import Network
from lupinlink.lab.model.streams import Streams

LEAST_MS = 0.01


class Ways:
    """Delays of one message each way; a connection keeps its messages in order by itself."""

    def __init__(self, spec: Network, streams: Streams) -> None:
        self._spec = spec
        self._draws = streams.draws("network")
        self.more_ms = 0.0  # on every way between two zones, while a fault lasts

    def between(self, zone: int, other: int) -> float:
        """From a proxy to a server or back, milliseconds."""
        return self._drawn(self._spec.same_ms if zone == other else self._spec.cross_ms + self.more_ms)

    def client(self) -> float:
        """From a client to its proxy or back, milliseconds."""
        return self._drawn(self._spec.client_ms)

    def _drawn(self, mean: float) -> float:
        if self._spec.jitter <= 0.0:
            return max(LEAST_MS, mean)
        return max(LEAST_MS, mean * math.exp(self._spec.jitter * self._draws.normal()))
