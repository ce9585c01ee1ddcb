"""Fencing tokens: a number that rises each time a record is locked, even across restores. Performs no I/O.

Kleppmann, "How to do distributed locking", 2016: the holder of a lock may be suspended and resume
after the lock has passed to another process, so the receivers of its messages must reject a number that is
lower than the highest they have seen. Burrows, "The Chubby lock service", OSDI 2006,
calls it the sequencer. Consul's own count
(``Record.lock_count``) cannot serve: it starts again when the record is deleted, and a restore lowers it. So
the fence is stored in the record's value, each new holder writes one that is higher than all it knows, and
every process remembers the highest it has seen.
"""

from __future__ import annotations

import msgspec


class FenceRecord(msgspec.Struct, frozen=True):
    """The value of a record that is locked under a fence."""

    fence: int = 0
    holder: str = ""  # the process's name; empty after an orderly release


def decode_fence(value: bytes) -> FenceRecord:
    """Decode a record's value; an unreadable one counts as empty, as ``HighestFence`` still has the fence."""
    try:
        return msgspec.json.decode(value, type=FenceRecord)
    except msgspec.DecodeError:
        return FenceRecord()


def encode_fence(mark: FenceRecord) -> bytes:
    """Encode a record's value."""
    return msgspec.json.encode(mark)


class HighestFence:
    """The highest fence that this process has seen for one record."""

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def admits(self, fence: int) -> bool:
        """Whether a message under this fence is accepted; a higher fence is remembered."""
        if fence < self.highest:
            return False
        self.highest = fence
        return True

    def next(self, stored: int) -> int:
        """The fence to lock a record with, whose value has the fence ``stored``."""
        return max(self.highest, stored) + 1
