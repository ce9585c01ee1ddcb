"""Counts of what the proxy takes in, sends and answers."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)


class Counters(Counter[str]):
    """One count a name; ``show`` prints them all on one line."""

    def show(self, occasion: str, **gauges: int) -> None:
        log.info("counters", extra={"kv": {"at": occasion, **gauges, **dict(sorted(self.items()))}})
