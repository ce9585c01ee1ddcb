"""How much is read, written and kept at a time, by the level of memory pressure. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lupinlink.limits.memory_account import MemoryLevel

KIB = 1024


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes in bytes; at the smallest ones every open request still goes on."""

    read: int  # from a client, or of an answer in collection; more unsent answer pauses its server
    stream_read: int  # of an answer that is streamed
    write: int  # of a request's body to its server
    collected: int  # of an answer before it is streamed
    body_kept: int  # of a request's body before what was sent of it is dropped
    body_window: int  # of a request's body before its sender waits


NORMAL = Sizes(
    read=16 * KIB,
    stream_read=64 * KIB,
    write=64 * KIB,
    collected=64 * KIB,
    body_kept=256 * KIB,
    body_window=384 * KIB,
)
SLOW = Sizes(
    read=8 * KIB,
    stream_read=16 * KIB,
    write=16 * KIB,
    collected=64 * KIB,
    body_kept=64 * KIB,
    body_window=64 * KIB,
)
LEAST = Sizes(
    read=4 * KIB,
    stream_read=4 * KIB,
    write=4 * KIB,
    collected=4 * KIB,
    body_kept=8 * KIB,
    body_window=8 * KIB,
)
_BY_LEVEL = {MemoryLevel.NORMAL: NORMAL, MemoryLevel.SLOW: SLOW}


def sizes_at(level: MemoryLevel) -> Sizes:
    """The sizes at this level."""
    return _BY_LEVEL.get(level, LEAST)
