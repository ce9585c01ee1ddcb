"""Counters of the proxy's requests, attempts, answers and connections."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)


class Counters(Counter[str]):
    """A count for each name; ``show`` logs all of them on one line."""

    def show(self, occasion: str, **gauges: int) -> None:
        log.info("counters", extra={"kv": {"at": occasion, **gauges, **dict(sorted(self.items()))}})
