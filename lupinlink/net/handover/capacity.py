"""How many connections and how much memory a process may use, alone or next to another one of its proxy.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

# Descriptors for everything else: listener, watch, log, reactor, connections being closed.
RESERVE, RESERVE_SHARE = 24, 0.05
ASSUMED_REST_MB = 25.0  # of an idle process, where it is not measured
CONNECTION_MB = 0.016  # objects and the least buffers of a connection; all else is bounded by the account
CLIENT_SHARE = 0.55  # of the remaining descriptors; clients keep idle connections open, pools close theirs
MIN_CONNECTIONS = 16  # of a process on its own; with fewer it refuses to start
MIN_BESIDE = 16  # next to another process, until that one has reported its usage
MIN_SPARE_MB = 2.0
GROWTH = 2.0  # of what an old process holds, so that its open requests end


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits of the whole proxy: descriptors, megabytes, and connections to its management API.

    ``rest_mb``: what this process takes of the memory before any client comes.
    """

    sockets: int
    memory_mb: float
    callers: int
    rest_mb: float = ASSUMED_REST_MB


@dataclass(slots=True, frozen=True)
class Usage:
    """What one process uses at most: descriptors, and megabytes of its own."""

    descriptors: int
    memory_mb: float


@dataclass(slots=True, frozen=True)
class Capacity:
    """What one process may use: client and backend connections, and megabytes beside those at rest."""

    clients: int
    servers: int
    spare_mb: float


def reserve(limits: Limits) -> int:
    """Descriptors for everything but client and backend connections."""
    return max(RESERVE, int(limits.sockets * RESERVE_SHARE)) + (limits.callers + 1 if limits.callers else 0)


def capacity_for(limits: Limits, beside: Usage | None = None) -> Capacity:
    """The capacity of a process, next to another with the usage ``beside``."""
    usable, memory = limits.sockets - reserve(limits), limits.memory_mb - limits.rest_mb
    if beside is not None:
        usable, memory = usable - beside.descriptors, memory - beside.memory_mb
    usable = min(usable, int(memory / CONNECTION_MB)) if beside is None or memory > 0 else usable
    if beside is not None:
        usable, memory = max(usable, MIN_BESIDE), max(memory, MIN_SPARE_MB)
    clients = int(usable * CLIENT_SHARE)
    return Capacity(clients, usable - clients, memory)


def shrunk(limits: Limits, clients: int, servers: int, open_calls: int, spare_mb: float) -> Capacity:
    """The capacity of a process whose successor serves: its present use, and backend connections enough to
    answer its open requests.

    ``spare_mb``: what it may hold, as from ``spare_of_old``.
    """
    own = capacity_for(limits)
    least = min(own.servers, open_calls + 2)
    return Capacity(
        max(1, min(clients, own.clients)), max(1, min(max(servers, least), own.servers)), spare_mb
    )


def spare_of_old(spare_mb: float, used_mb: float) -> float:
    """What a process whose successor serves may hold of its ``spare_mb``, given what it uses of it."""
    return min(spare_mb, max(MIN_SPARE_MB, GROWTH * used_mb))


def usage(limits: Limits, now: Capacity, memory_mb: float) -> Usage:
    """The most that a process with the capacity ``now`` may use; ``memory_mb``: the same of memory."""
    return Usage(now.clients + now.servers + reserve(limits), memory_mb)
