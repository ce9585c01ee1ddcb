"""The fleet in windows of a second: how evenly servers are used, what all proxies together cost. Pure."""

from __future__ import annotations

import math
from typing import Any

import numpy as np
from msgspec import Struct

from lupinlink.lab.model.referee import Sums

BUSY = 0.5  # of its cores' time: more than half its capacity
BACK = 0.95  # of the first tries of a second served in time: service is back
STEADY_S = 3  # seconds in a row that it must hold


class ServerSecond(Struct, frozen=True):
    """One server in one second."""

    held: float  # requests in flight there, mean over the second
    busy: float  # share of its cores' time
    connections: int  # open at the end of it
    shook: int  # new connections in it
    probed: int
    taken: int  # requests it began in it
    ready: bool  # throughout: in service, reachable and not draining


class FleetSecond(Struct, frozen=True):
    """All servers and discovery in one second."""

    at_s: int
    servers: dict[str, ServerSecond]
    calls: int = 0  # to discovery
    calls_failed: int = 0
    watching: int = 0  # proxies that hold a watch
    up: int = 0  # proxies that their fronts hand connections to


def _at(values: list[float], share: float) -> float:
    return round(float(np.percentile(values, share)), 4) if values else 0.0


def spread(seconds: list[FleetSecond]) -> dict[str, float]:
    """How even the load was, over seconds in which servers in service held something.

    ``random_cv`` is what dealing requests evenly at random would give: the time average over T of an M/G/inf
    queue with mean m and exponential stay s varies by 2 m s/T (1 - s/T (1 - exp(-T/s))) (its covariance
    m exp(-u/s) integrated twice; Takács, "Introduction to the Theory of Queues", 1962, ch. 3).
    """
    peaks: list[float] = []
    spreads: list[float] = []
    floors: list[float] = []
    idle = total = 0
    for second in seconds:
        ready = [row for row in second.servers.values() if row.ready]
        held = np.array([row.held for row in ready])
        total += len(ready)
        if len(ready) < 2 or held.sum() <= 0.0:
            continue
        mean = float(held.mean())
        peaks.append(float(held.max()) / mean)
        spreads.append(float(held.std()) / mean)
        taken = sum(row.taken for row in ready) / len(ready)
        if taken > 0.0:
            stay = mean / taken  # Little's law, seconds
            floors.append(
                math.sqrt(2.0 * stay / mean * (1.0 - stay * (1.0 - math.exp(-1.0 / max(stay, 1e-9)))))
            )
        busy = sum(row.busy > BUSY for row in ready)
        if busy:
            idle += sum(row.held <= 0.0 and row.busy <= 0.0 for row in ready)
    return {
        "max_over_mean_p50": _at(peaks, 50.0), "max_over_mean_p99": _at(peaks, 99.0),
        "cv_p50": _at(spreads, 50.0), "cv_p99": _at(spreads, 99.0), "random_cv_p50": _at(floors, 50.0),
        "idle_share": round(idle / total, 6) if total else 0.0,
    }  # fmt: skip


def costs(seconds: list[FleetSecond], proxies: int) -> dict[str, float]:
    """What the fleet asks of servers and of discovery."""
    rows = [row for second in seconds for row in second.servers.values()]
    span = max(1, len(seconds))
    shook, probed = (
        [sum(getattr(r, n) for r in s.servers.values()) for s in seconds] for n in ("shook", "probed")
    )
    servers = max((len(s.servers) for s in seconds), default=1) or 1
    return {
        "connections_a_server_max": float(max((r.connections for r in rows), default=0)),
        "connections_a_server_mean": round(sum(r.connections for r in rows) / max(1, len(rows)), 2),
        "new_connections_per_s": round(sum(shook) / span, 2),
        "new_connections_per_s_max": float(max(shook, default=0)),
        "new_connections_a_server_per_s": round(sum(shook) / span / servers, 3),
        "probes_per_s": round(sum(probed) / span, 2),
        "probes_per_s_max": float(max(probed, default=0)),
        "probes_a_server_per_s": round(sum(probed) / span / servers, 3),
        "calls": float(sum(s.calls for s in seconds)),
        "calls_a_proxy": round(sum(s.calls for s in seconds) / max(1, proxies), 2),
        "calls_per_s_max": float(max((s.calls for s in seconds), default=0)),
        "calls_failed": float(sum(s.calls_failed for s in seconds)),
    }  # fmt: skip


def back(by_second: dict[int, Sums], power_s: int, until_s: int) -> float | None:
    """Seconds from power back until 95% of first tries are served in time, for some seconds; None: never.

    ``by_second`` is keyed by the same seconds as ``power_s`` and ``until_s``; a second without first tries
    is as good as the one before it.
    """
    good = 0
    for second in range(power_s, until_s):
        sums = by_second.get(second)
        if sums is None or not sums.firsts:
            good += good > 0
        else:
            good = good + 1 if sums.in_time >= BACK * sums.firsts else 0
        if good >= STEADY_S:
            return float(second + 1 - STEADY_S - power_s)
    return None


def summed(seconds: list[FleetSecond], proxies: int, returns: list[dict[str, Any]]) -> dict[str, Any]:
    """The fleet's part of a run's summary."""
    return {"spread": spread(seconds), "costs": costs(seconds, proxies), "returns": returns}
