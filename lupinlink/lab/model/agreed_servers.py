"""Which application servers the proxies left out, as the servers' own seconds tell it. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lupinlink.lab.model.agreed import Bound, Outs
from lupinlink.lab.model.windows import FleetSecond


def server_outs(
    seconds: list[FleetSecond], zones: Mapping[str, int], bound: Bound, notice_ms: float, idle_s: int,
    least: float,
) -> Outs:  # fmt: skip
    """Who was out, by the second.

    Hurt is who was not in service; out by choice is who was, and took nothing for ``idle_s`` seconds or more
    while the others took ``least`` requests or more each.
    """
    outs = Outs(zones, bound, notice_ms)
    for name in zones:
        first = 0
        while first < len(seconds):
            kind, last = _kind(seconds[first], name), first + 1
            while last < len(seconds) and _kind(seconds[last], name) == kind:
                last += 1
            long = last - first >= idle_s and _others(seconds[first:last], name) >= least
            if kind == "idle" and long:
                # One that is started anew while it is left out is out by choice until it is back.
                while last < len(seconds) and _kind(seconds[last], name):
                    last += 1
            if kind == "hurt" or (kind == "idle" and long):
                outs.out(name, first * 1000.0, chosen=kind == "idle")
                outs.back(name, last * 1000.0 if last < len(seconds) else math.inf)
            first = last
    return outs


def _kind(second: FleetSecond, name: str) -> str:
    """How one stands: hurt, idle, or at work."""
    row = second.servers.get(name)
    return "hurt" if row is None or not row.ready else "idle" if row.taken == 0 else ""


def _others(seconds: list[FleetSecond], name: str) -> float:
    """What each other server in service took, on average over them, in all these seconds."""
    total = 0.0
    for second in seconds:
        others = [row.taken for other, row in second.servers.items() if other != name and row.ready]
        total += sum(others) / len(others) if others else 0.0
    return total
