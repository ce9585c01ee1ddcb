"""Measures the memory of the process, corrects the account by it, and tells of both in logs and gauges."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lupinlink.clock import Clock
from lupinlink.limits.memory_account import MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.net.process import MIB, give_back_memory, own_mb

log = logging.getLogger(__name__)
MEASURE_MS = 100.0
# Between two attempts to give free memory back; doubled, up to the second, where little was given back.
GIVE_BACK_MS, MAX_GIVE_BACK_MS = 500.0, 8000.0
GIVE_BACK_BYTES = MIB // 2  # that the process takes beyond what is held
LEVEL_LINE_MS = 1000.0  # at least, between two log lines unless the later tells of a higher level
PEAK_STEP_SHARE = 0.05  # of the process's limit: a peak that is higher by this is logged


class MemoryWatch:
    """Looks at the process's memory from time to time."""

    def __init__(
        self,
        account: MemoryAccount,
        clock: Clock,
        told_mb: float,
        own_mb: Callable[[], float] = own_mb,
    ) -> None:
        """``told_mb``: the limit of the whole proxy; ``own_mb``: measures this process's memory."""
        self._account, self._clock, self._told_mb, self._own_mb = account, clock, told_mb, own_mb
        self._rest_mb = self._now_mb = self._logged_peak_mb = 0.0
        self._give_back_ms = GIVE_BACK_MS
        self._given_back_at = self._level_logged_at = 0.0
        self._changes = 0  # of the level since it was logged
        self._logged_level = self._highest_level = self._line_highest = MemoryLevel.NORMAL
        account.listen(self._level_changed)

    def start(self, rest_mb: float) -> None:
        """Measure from now on; ``rest_mb``: what the process took before any client came."""
        self._rest_mb = self._now_mb = self._logged_peak_mb = rest_mb
        log.info("memory at rest", extra={"kv": {"told_mb": self._told_mb, **self._facts()}})
        self._clock.after(MEASURE_MS, self._measure)

    def gauges(self) -> dict[str, int]:
        """What is held by kind, the level and the limit, for the counters' log line."""
        return {
            "memory_level": int(self._account.level),
            "memory_own_mb": int(self._own_mb()),
            "memory_used_kb": self._account.used_bytes // 1024,
            "memory_limit_kb": (self._account.limit_bytes or 0) // 1024,
            "memory_kept_kb": self._account.kept_bytes // 1024,
            **{f"memory_{kind.value}_kb": self._account.held(kind) // 1024 for kind in MemoryKind},
        }

    def _level_changed(self, before: MemoryLevel, now: MemoryLevel) -> None:
        self._highest_level = max(self._highest_level, now)
        self._changes += 1

    def _measure(self) -> None:
        self._now_mb = self._own_mb()
        self._give_back()
        self._account.measured(int((self._now_mb - self._rest_mb) * MIB))
        self._log_level()
        if self._now_mb >= self._logged_peak_mb + PEAK_STEP_SHARE * self._told_mb:
            self._logged_peak_mb = self._now_mb
            log.info("memory peak", extra={"kv": self._facts()})
        self._clock.after(MEASURE_MS, self._measure)

    def _give_back(self) -> None:
        """Give memory back that the allocator keeps, which others could use and which counts as taken."""
        now, taken = self._clock.now(), (self._now_mb - self._rest_mb) * MIB
        is_due = now >= self._given_back_at + self._give_back_ms
        if taken < self._account.held_bytes + GIVE_BACK_BYTES or not is_due:
            return
        self._given_back_at, before_mb = now, self._now_mb
        give_back_memory()
        self._now_mb = self._own_mb()
        if (before_mb - self._now_mb) * MIB >= GIVE_BACK_BYTES / 2:
            self._give_back_ms = GIVE_BACK_MS
        else:
            self._give_back_ms = min(2.0 * self._give_back_ms, MAX_GIVE_BACK_MS)

    def _log_level(self) -> None:
        """Log a change at once if it is the highest of late, else once a second with the highest between."""
        level, highest = self._account.level, max(self._highest_level, self._account.level)
        now = self._clock.now()
        is_due = now >= self._level_logged_at + LEVEL_LINE_MS
        if not self._changes or not (is_due or highest > self._line_highest):
            return
        kv: dict[str, object] = {
            "now": level.name.lower(),
            "was": self._logged_level.name.lower(),
            "highest": highest.name.lower(),
            "changes": self._changes,
        }
        log.log(
            logging.WARNING if highest >= MemoryLevel.REFUSE else logging.INFO,
            "memory level",
            extra={"kv": {**kv, **self._facts()}},
        )
        self._line_highest, self._logged_level, self._highest_level = highest, level, level
        self._level_logged_at, self._changes = now, 0

    def _facts(self) -> dict[str, object]:
        account = self._account
        kinds = {
            f"{kind.value}_kb": account.held(kind) // 1024
            for kind in MemoryKind
            if account.held(kind) >= 1024
        }
        return {
            "own_mb": round(self._now_mb, 1),
            "rest_mb": round(self._rest_mb, 2),
            "used_kb": account.used_bytes // 1024,
            "limit_kb": (account.limit_bytes or 0) // 1024,
            "kept_kb": account.kept_bytes // 1024,
            "overhead": round(account.overhead, 2),
            **kinds,
        }
