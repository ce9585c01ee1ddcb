"""A power loss: in which order what stood comes back. Pure: it follows from the seed and the fault's name."""

from __future__ import annotations

from dataclasses import dataclass

from lupinlink.lab.model.fault_kinds import ORDERS, Fault
from lupinlink.lab.model.streams import Streams

SPREAD_S = 1.0  # machines that get their power back at one moment start within this
LAG_S = 10.0  # of the last part behind the first, where the fault names none


@dataclass(slots=True, frozen=True)
class Return:
    """Milliseconds from the loss on until each is back."""

    order: str  # the one that was played
    proxies: list[float]
    discovery: float
    servers: dict[str, float]
    replaced: frozenset[str]  # servers in whose place another one, never heard of, starts


def returns(name: str, fault: Fault, streams: Streams, proxies: int, servers: list[str]) -> Return:
    """The return from one power loss; ``for_s`` of the fault is how long all is dark."""
    generator = streams.generator(f"return {name}")
    dark, lag = fault.for_s * 1000.0, (fault.lag_s or LAG_S) * 1000.0
    spread = (fault.spread_s or SPREAD_S) * 1000.0
    proxy_at = dark + spread * generator.random(proxies)
    server_at = dark + spread * generator.random(len(servers))
    discovery_at = dark + spread * float(generator.random())
    order = generator.permutation(proxies)
    gone = generator.permutation(len(servers))[: round(len(servers) * (fault.share or 0.0))]
    how = fault.order or ORDERS[0]
    if how == "drawn":
        how = ORDERS[int(generator.integers(len(ORDERS)))]
    if how == "discovery_last":
        discovery_at = dark + lag
    elif how == "servers_first":
        proxy_at += lag
        discovery_at += lag
    elif how == "half_first":
        proxy_at[order[: proxies // 2]] += lag
    return Return(
        how, proxy_at.tolist(), discovery_at, dict(zip(servers, server_at.tolist(), strict=True)),
        frozenset(servers[i] for i in gone),
    )  # fmt: skip
