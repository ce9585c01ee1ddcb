"""Process resources: the limit of file descriptors, memory, the allocator and garbage collection."""

from __future__ import annotations

import ctypes
import gc
import resource
from contextlib import suppress
from pathlib import Path

from lupinlink.clock import Clock
from lupinlink.net.handover.capacity import ASSUMED_REST_MB

COLLECT_INTERVAL_MS = 5000.0  # a collection takes a millisecond or two, as startup objects are frozen
MIB = 1024 * 1024
# Parameters of glibc's mallopt, and their values in bytes or arenas.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD, M_ARENA_MAX = -1, -3, -8
TRIM_THRESHOLD_BYTES, MMAP_THRESHOLD_BYTES, ARENAS = 1024 * 1024, 128 * 1024, 1


def raise_descriptor_limit(sockets: int) -> int:
    """Raise the soft limit to ``sockets`` if it is lower; returns the descriptors that may be used."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < sockets:
        soft = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return soft
    return sockets


def _resident_pages() -> tuple[int, int]:
    """The pages that are resident, and those of them that are shared with files."""
    resident, shared = Path("/proc/self/statm").read_text().split()[1:3]
    return int(resident), int(shared)


def resident_mb() -> float:
    """Resident memory of this process, in MiB."""
    return _resident_pages()[0] * resource.getpagesize() / MIB


def own_mb() -> float:
    """Resident memory that this process shares with no file, in MiB; an assumption if it is not told."""
    try:
        resident, shared = _resident_pages()
    except OSError:
        return ASSUMED_REST_MB
    return (resident - shared) * resource.getpagesize() / MIB


def limit_allocator() -> None:
    """Let the C library give back freed memory, which by default it keeps in ever larger pieces."""
    with suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_ARENA_MAX, ARENAS)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def give_back_memory() -> None:
    """Give free memory back to the system, as far as the C library holds whole pages of it."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)


def freeze_startup_objects() -> None:
    """Exempt what startup allocated from collections, since scanning it would only cause pauses."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    give_back_memory()


def collect_garbage_by_timer(clock: Clock) -> None:
    """Collect on a timer: by allocation counts closed connections would pile up for hours."""

    def collect() -> None:
        """Free cycles such as closed connections."""
        gc.collect()
        clock.after(COLLECT_INTERVAL_MS, collect)

    clock.after(COLLECT_INTERVAL_MS, collect)
