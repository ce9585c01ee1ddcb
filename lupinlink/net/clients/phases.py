"""The phases of a client's connection and their time-outs. Performs no I/O."""

from __future__ import annotations

import math
from enum import Enum

CLOSING_TIMEOUT_MS = 1500.0  # for a client that has received its last answer and does not close


class Phase(Enum):
    """The phase of a connection: its time-out in ms, and after how many ms it may be closed to make room.

    Infinite: no time-out by phase. Every client that connects is to get an answer or a close within 3 s.
    """

    SILENT = 2200.0, 50.0  # nothing was ever received on it
    RESTING = 2100.0, 0.0  # idle between two requests; some clients never return
    HEAD = math.inf, 400.0  # receiving the head of a request
    BODY = math.inf, 1000.0  # receiving a body, before the request is submitted
    OPEN = math.inf, math.inf  # a request is submitted, or its answer is being sent
    CLOSING = CLOSING_TIMEOUT_MS, 100.0  # the last answer is sent, but not read yet

    def __init__(self, limit_ms: float, grace_ms: float) -> None:
        self.limit_ms, self.grace_ms = limit_ms, grace_ms
