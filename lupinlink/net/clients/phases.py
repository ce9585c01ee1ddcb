"""Where a client's connection stands, how long it may, and when it must make room. Pure."""

from __future__ import annotations

import math
from enum import Enum

LINGER_MS = 1500.0  # so long may a client take to read its last answer without getting on with it


class Phase(Enum):
    """Where a connection stands; those of one phase are kept in order of time.

    The figures are milliseconds: how long it may last (infinite: judged otherwise), and after how long the
    connection may have to make room. Whoever connects is owed an answer or an end within 3 s.
    """

    SILENT = 2200.0, 50.0  # not a byte was ever here
    RESTING = 2100.0, 0.0  # between two requests; some clients never come back
    HEAD = math.inf, 400.0  # the head of a request has begun
    BODY = math.inf, 1000.0  # its body is on its way, and it is with nobody yet
    OPEN = math.inf, math.inf  # a request is with the decisions, or its answer on its way
    CLOSING = LINGER_MS, 100.0  # answered for the last time, still to be read

    def __init__(self, limit_ms: float, grace_ms: float) -> None:
        self.limit_ms, self.grace_ms = limit_ms, grace_ms
