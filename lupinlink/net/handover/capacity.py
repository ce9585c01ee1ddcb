"""How much a process may hold, alone and beside another one of the same proxy. Pure."""

from __future__ import annotations

from dataclasses import dataclass

RESERVE, RESERVE_SHARE = 24, 0.05  # descriptors for all else: listener, watch, log, reactor, closing ones
# Measured: 21 MB with the program at rest, 24 with 200 connections at work. Bodies on their way have a
# common budget of their own, so a connection needs no room for the largest one.
BASE_MB, CONNECTION_MB = 25.0, 0.016
CLIENT_SHARE = 0.55  # of the rest; clients keep idle connections, pools give theirs up
MIN_CONNECTIONS = 16  # alone; under this nothing can be served
MIN_BESIDE = 16  # beside another process: so many for the moment until that one has told what it holds
LEAST_SPARE_MB = 2.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the proxy as a whole is told: descriptors, megabytes, and how many callers its door holds."""

    sockets: int
    memory_mb: float
    callers: int


@dataclass(slots=True, frozen=True)
class Usage:
    """What one process holds: descriptors at most, and megabytes resident."""

    descriptors: int
    memory_mb: float


@dataclass(slots=True, frozen=True)
class Capacity:
    """What one process may hold: connections of clients and to servers, and megabytes for bodies."""

    clients: int
    servers: int
    spare_mb: float


def reserve(limits: Limits) -> int:
    """Descriptors for all that is no connection of either side."""
    return max(RESERVE, int(limits.sockets * RESERVE_SHARE)) + (limits.callers + 1 if limits.callers else 0)


def capacity_for(limits: Limits, beside: Usage | None = None) -> Capacity:
    """The room of a process, ``beside`` another that holds so much."""
    usable, memory = limits.sockets - reserve(limits), limits.memory_mb - BASE_MB
    if beside is not None:
        usable, memory = usable - beside.descriptors, memory - beside.memory_mb
    usable = min(usable, int(memory / CONNECTION_MB)) if beside is None or memory > 0 else usable
    if beside is not None:
        usable, memory = max(usable, MIN_BESIDE), max(memory, LEAST_SPARE_MB)
    clients = int(usable * CLIENT_SHARE)
    return Capacity(clients, usable - clients, memory)


def shrunk(limits: Limits, clients: int, servers: int, open_calls: int, spare_mb: float) -> Capacity:
    """The room of a process whose successor serves: what it holds, and servers enough for what is open."""
    own = capacity_for(limits)
    least = min(own.servers, open_calls + 2)
    return Capacity(
        max(1, min(clients, own.clients)), max(1, min(max(servers, least), own.servers)), spare_mb
    )


def usage(limits: Limits, now: Capacity, memory_mb: float) -> Usage:
    """What a process with that room may come to hold."""
    return Usage(now.clients + now.servers + reserve(limits), memory_mb)
