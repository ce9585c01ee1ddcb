"""The fence: a number that rises with each taking of a record, whatever becomes of the service. Pure.

Kleppmann, "How to do distributed locking", 2016: a lock's holder may stand still and go on after the lock
has passed to another, so whoever is told something under the lock must refuse a number lower than one that it
has met. Burrows, "The Chubby lock service", OSDI 2006, calls it the sequencer. Consul's own count
(``Record.taken``) is not such a number: it starts anew when the record is deleted and goes back with a
restore. So the fence stands in the record's value, each taking writes one over everything that is known, and
every process keeps the highest that it was told.
"""

from __future__ import annotations

import msgspec


class FenceRecord(msgspec.Struct, frozen=True):
    """The value of a record that is held under a fence."""

    fence: int = 0
    holder: str = ""  # the process's name; empty when it was let go on purpose


def decode_fence(value: bytes) -> FenceRecord:
    """The mark in a record; one that cannot be read counts as none, the fence then comes from ``Seen``."""
    try:
        return msgspec.json.decode(value, type=FenceRecord)
    except msgspec.DecodeError:
        return FenceRecord()


def encode_fence(mark: FenceRecord) -> bytes:
    """The record's value."""
    return msgspec.json.encode(mark)


class HighestFence:
    """The highest fence that this process has met, for one record."""

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def admits(self, fence: int) -> bool:
        """Whether what is told under this fence is to be obeyed; a higher one is kept."""
        if fence < self.highest:
            return False
        self.highest = fence
        return True

    def next(self, stored: int) -> int:
        """The fence to take a record with, whose mark has ``stored``."""
        return max(self.highest, stored) + 1
