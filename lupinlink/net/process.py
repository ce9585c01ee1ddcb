"""Process resources: the limit of file descriptors, resident memory, and garbage collection."""

from __future__ import annotations

import gc
import resource
from pathlib import Path

from lupinlink.clock import Clock

COLLECT_INTERVAL_MS = 5000.0  # a collection takes a millisecond or two, as startup objects are frozen


def raise_descriptor_limit(sockets: int) -> int:
    """Raise the soft limit to ``sockets`` if it is lower; returns the descriptors that may be used."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < sockets:
        soft = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return soft
    return sockets


def resident_mb() -> float:
    """Resident memory of this process, in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1048576.0


def collect_garbage_by_timer(clock: Clock) -> None:
    """Freeze what startup allocated, since scanning it would only cause pauses, and collect on a timer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)

    def collect() -> None:
        """Free cycles such as closed connections; by allocation counts they would pile up for hours."""
        gc.collect()
        clock.after(COLLECT_INTERVAL_MS, collect)

    clock.after(COLLECT_INTERVAL_MS, collect)
