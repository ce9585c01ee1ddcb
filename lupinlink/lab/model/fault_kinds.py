"""What a scenario may let go wrong, and what each kind of fault is told."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from lupinlink.lab.model.schema import Instant, Part, Positive, Span, Times

FAULTS: dict[str, tuple[str, ...]] = {  # what each kind needs beside its time
    "surge": ("size",),
    "member_surge": ("size", "member"),
    "hot_proxy": ("share", "proxy"),
    "shrink": ("share",),
    "grow": ("count",),
    "crash": ("count",),
    "restart": ("count",),
    "hang": ("count",),
    "slow": ("count", "size"),
    "vanish": ("count",),
    "reset": ("count", "share"),
    "spoil": ("count", "share"),
    "errors": ("count", "share"),
    "zone_lost": ("zone",),
    "roster_down": (),
    "roster_stale": (),
    "flood": ("count",),
    "lost": ("count", "share"),
    "delay": ("ms",),
    "zone_shift": ("zone", "share"),
    "roster_busy": ("size",),
    "proxies_killed": ("share",),
    "proxies_rolled": ("share",),
    "proxies_stopped": ("share",),
    "proxies_reloaded": ("share",),
    "cut": ("zone",),
    "power_loss": ("order",),
}
PARTS = ("size", "share", "count", "member", "zone", "proxy", "ms", "order", "lag_s", "spread_s")
MAY = {"power_loss": ("share", "lag_s", "spread_s")}  # what a kind takes beside what it needs
PROXY_KINDS = ("proxies_killed", "proxies_rolled", "proxies_stopped", "proxies_reloaded")
FLEET_ONLY = (*PROXY_KINDS, "cut", "power_loss")  # need a fleet of processes behind relays
ORDERS = ("together", "discovery_last", "servers_first", "half_first")  # of a fleet's return


class Fault(Part, frozen=True):
    """Something that goes wrong for a while. Which servers it meets is drawn from the seed."""

    kind: Literal[
        "surge", "member_surge", "hot_proxy", "shrink", "grow", "crash", "restart", "hang", "slow", "vanish",
        "reset", "spoil", "errors", "zone_lost", "roster_down", "roster_stale", "flood", "lost", "delay",
        "zone_shift", "roster_busy", "proxies_killed", "proxies_rolled", "proxies_stopped",
        "proxies_reloaded", "cut", "power_loss",
    ]  # fmt: skip
    at_s: Instant
    for_s: Span = 1.0
    size: Times | None = None  # times: the load, or how much slower
    share: Annotated[float, Meta(gt=0.0, le=1.0)] | None = None
    count: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    member: str | None = None
    zone: str | None = None
    proxy: Annotated[int, Meta(ge=0)] | None = None
    ms: Positive | None = None  # more on every way between two zones
    order: Literal["together", "discovery_last", "servers_first", "half_first", "drawn"] | None = None
    spread_s: Span | None = None  # over which what gets its power back at one moment starts
    lag_s: Span | None = None  # until the last part of it is back, after the first
