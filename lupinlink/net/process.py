"""What the system grants this process, what it holds, and when its memory is looked through."""

from __future__ import annotations

import gc
import resource
from pathlib import Path

from lupinlink.clock import Clock

COLLECT_MS = 5000.0  # with what startup made set aside it takes a millisecond or two


def allowed(sockets: int) -> int:
    """As many descriptors as told, or fewer where the system grants this process fewer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < sockets:
        soft = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return soft
    return sockets


def resident_mb() -> float:
    """What this process has in memory, in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1048576.0


def collect_by_time(clock: Clock) -> None:
    """From here on: what startup has made stays for good, collections over it would only be pauses."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)

    def collect() -> None:
        """Old cycles, such as closed connections, go by the clock: by number they would pile up for hours."""
        gc.collect()
        clock.after(COLLECT_MS, collect)

    clock.after(COLLECT_MS, collect)
