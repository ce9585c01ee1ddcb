"""One account of all memory that peers make a process hold, and the level of pressure that follows from it.

Every buffer of a peer's bytes and every table with an object for each connection or request reports what it
holds, by kind. The sum is compared with one limit; the level tells everyone how much they may take from then
on. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, IntEnum


class MemoryKind(Enum):
    """What memory is held for; the value is its name in gauges and log lines."""

    CLIENTS = "clients"  # objects of clients' connections
    RECEIVED = "received"  # of requests that have not come whole, or wait behind the open one
    REQUESTS = "requests"  # objects and heads of open requests
    BODIES = "bodies"  # of requests
    SERVERS = "servers"  # objects of connections to application servers
    SENDING = "sending"  # written to an application server and not taken by the kernel
    COLLECTED = "collected"  # of answers that have not come whole
    ANSWERS = "answers"  # written to a client and not taken by the kernel


class MemoryLevel(IntEnum):
    """How short memory is; each level includes what is done at those below it."""

    NORMAL = 0
    SLOW = 1  # less is read and written at a time
    PAUSE = 2  # senders wait once a little of theirs is here
    REFUSE = 3  # new requests are refused
    CLOSE = 4  # no connections are accepted, and what is not taken yet is closed


# Shares of the limit at which a level begins, and how far below that it ends.
LEVEL_SHARES = {
    MemoryLevel.SLOW: 0.4,
    MemoryLevel.PAUSE: 0.55,
    MemoryLevel.REFUSE: 0.85,
    MemoryLevel.CLOSE: 1.0,
}
HYSTERESIS_SHARE = 0.05
# Of what is left beside the program at rest: the allocator's rounding, garbage, and the process's own work.
RESERVE_SHARE = 0.2
MIN_OVERHEAD, MAX_OVERHEAD = 1.25, 2.0  # measured memory over counted memory
MIN_JUDGED_SHARE = 0.25  # of the limit: with less counted, the measured memory is not judged
OWN_WORK_BYTES = 512 * 1024  # what the process takes itself once it works, such as caches
FULL_SHARE = 0.95  # of all that is left: with more taken, nothing new is
PEAK_DECAY = 0.98  # with each measurement; the allocator gives back what was freed with a delay

POSITIONS = {kind: position for position, kind in enumerate(MemoryKind)}
LevelListener = Callable[[MemoryLevel, MemoryLevel], None]


class MemoryAccount:
    """What is held by kind, in bytes; tells listeners of each change of the level, old and new."""

    def __init__(self, limit_bytes: int | None = None) -> None:
        """``limit_bytes``: None for no limit."""
        self._held = [0] * len(MemoryKind)  # by the position of the kind
        self._held_bytes = self._kept_bytes = 0
        self._peak_bytes = 0
        self._overhead = MIN_OVERHEAD
        self._is_full = False  # measured memory is near the limit of the process
        self._limit_bytes = limit_bytes
        self.level = MemoryLevel.NORMAL  # to be read only
        self._listeners: list[LevelListener] = []
        self._rises_at = self._falls_at = 0.0  # bytes held at which the level changes
        self._place_edges()

    @property
    def held_bytes(self) -> int:
        """The sum of all kinds."""
        return self._held_bytes

    @property
    def used_bytes(self) -> int:
        """What the sum takes of the limit: with the overhead that was measured."""
        return int(self._held_bytes * self._overhead)

    @property
    def overhead(self) -> float:
        """Measured memory over counted memory, within bounds."""
        return self._overhead

    @property
    def limit_bytes(self) -> int | None:
        """The most that may be held."""
        return self._limit_bytes

    @limit_bytes.setter
    def limit_bytes(self, limit_bytes: int | None) -> None:
        self._limit_bytes = limit_bytes
        self._update()

    @property
    def kept_bytes(self) -> int:
        """What the process keeps for good beyond what it took at rest, such as further entries of a list."""
        return self._kept_bytes

    @kept_bytes.setter
    def kept_bytes(self, count: int) -> None:
        self._kept_bytes = count
        self._update()

    @property
    def _room_bytes(self) -> int | None:
        """What is left of the limit beside what is kept; the levels are shares of it."""
        return None if self._limit_bytes is None else max(0, self._limit_bytes - self._kept_bytes)

    def held(self, kind: MemoryKind) -> int:
        """What is held of one kind."""
        return self._held[POSITIONS[kind]]

    def listen(self, listener: LevelListener) -> None:
        """Call this with the old and the new level at each change."""
        self._listeners.append(listener)

    def change(self, kind: MemoryKind, count: int) -> None:
        """Count bytes that were taken, or given back if negative."""
        self.change_at(POSITIONS[kind], count)

    def change_at(self, position: int, count: int) -> None:
        """The same by the position of the kind, which is quicker to find."""
        self._held[position] += count
        self._held_bytes += count
        if not self._falls_at <= self._held_bytes < self._rises_at:
            self._update()

    def measured(self, taken_bytes: int) -> None:
        """Compare with the memory that the process takes beyond what it took at rest.

        The allocator keeps what was freed for a while, so the most that was held lately is compared.
        """
        room = self._room_bytes
        if self._limit_bytes is None or room is None:
            return
        self._peak_bytes = max(int(self._peak_bytes * PEAK_DECAY), self._held_bytes)
        if self._peak_bytes > 0 and self._peak_bytes >= MIN_JUDGED_SHARE * room:
            beyond_own = taken_bytes - self._kept_bytes - OWN_WORK_BYTES
            self._overhead = min(max(beyond_own / self._peak_bytes, MIN_OVERHEAD), MAX_OVERHEAD)
        all_bytes = self._limit_bytes / (1.0 - RESERVE_SHARE)
        self._is_full = taken_bytes >= FULL_SHARE * all_bytes
        self._update()

    def _update(self) -> None:
        """Set the level that follows from what is held, and tell the listeners of a change."""
        self._peak_bytes = max(self._peak_bytes, self._held_bytes)
        before, self.level = self.level, self._level_now()
        self._place_edges()
        if before is not self.level:
            for listener in self._listeners:
                listener(before, self.level)

    def _level_now(self) -> MemoryLevel:
        used = self._held_bytes * self._overhead
        level, room = MemoryLevel.NORMAL, self._room_bytes
        if room is not None:
            for one, share in LEVEL_SHARES.items():
                stays = HYSTERESIS_SHARE if one <= self.level else 0.0
                if used >= (share - stays) * room:
                    level = one
            # Where little is held, what is taken is free memory that the allocator keeps.
            if self._is_full and self._held_bytes >= MIN_JUDGED_SHARE * room:
                level = max(level, MemoryLevel.REFUSE)
        return level

    def _place_edges(self) -> None:
        """Note between which sums the level stays as it is."""
        self._rises_at, self._falls_at = float("inf"), float("-inf")
        room = self._room_bytes
        if room is None:
            return
        limit = room / self._overhead
        if self.level < MemoryLevel.CLOSE:
            self._rises_at = LEVEL_SHARES[MemoryLevel(self.level + 1)] * limit
        if self.level > MemoryLevel.NORMAL:
            self._falls_at = (LEVEL_SHARES[self.level] - HYSTERESIS_SHARE) * limit
        if self._is_full:
            judged = MIN_JUDGED_SHARE * room
            if self._held_bytes < judged:
                self._rises_at = min(self._rises_at, judged)
            else:
                self._falls_at = max(self._falls_at, judged)


class Holding:
    """What one buffer or table holds; setting it counts the difference."""

    __slots__ = ("_account", "_position", "bytes")

    def __init__(self, account: MemoryAccount, kind: MemoryKind) -> None:
        self._account, self._position, self.bytes = account, POSITIONS[kind], 0

    def set(self, count: int) -> None:
        """Hold this much from now on."""
        difference = count - self.bytes
        if difference:
            self.bytes = count
            self._account.change_at(self._position, difference)


def limit_for(spare_mb: float) -> int:
    """The account's limit, in bytes, where the program at rest leaves this much."""
    return int(max(0.0, spare_mb) * (1.0 - RESERVE_SHARE) * 1024.0 * 1024.0)
