"""What a scenario may let go wrong, and what each kind of fault is told."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from lupinlink.lab.model.agreement import When
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
    "second_answers": ("count", "share", "ms"),
    "errors": ("count", "share"),
    "zone_lost": ("zone",),
    "roster_down": (),
    "roster_stale": (),
    "flood": ("count",),
    "lost": ("count", "share"),
    "delay": ("ms",),
    "zone_shift": ("zone", "share"),
    "roster_busy": ("size",),
    "proxies_killed": (),
    "proxies_rolled": ("share",),
    "proxies_stopped": (),
    "proxies_reloaded": ("share",),
    "cut": ("zone",),
    "power_loss": ("order",),
    "agreement_gone": (),
    "agreement_hangs": (),
    "agreement_leaderless": (),
    "agreement_busy": (),
    "agreement_slow": ("ms",),
    "agreement_restarted": (),
    "agreement_restored": ("save_at_s",),
    "agreement_cut": ("share",),
    "agreement_loses_answers": (),
}
PARTS = ("size", "share", "count", "member", "zone", "proxy", "ms", "order", "lag_s", "spread_s", "whom",
         "when", "save_at_s")  # fmt: skip
MAY: dict[str, tuple[str, ...]] = {  # what a kind takes beside what it needs
    "power_loss": ("share", "lag_s", "spread_s"),
    "proxies_killed": ("share", "whom", "when"),
    "proxies_stopped": ("share", "whom", "when"),
    "agreement_gone": ("when",),
    "agreement_restarted": ("when",),
    "agreement_restored": ("when",),
    "agreement_cut": ("when",),
    "agreement_loses_answers": ("count", "when"),
}
PROXY_KINDS = ("proxies_killed", "proxies_rolled", "proxies_stopped", "proxies_reloaded")
AGREEMENT_KINDS = tuple(kind for kind in FAULTS if kind.startswith("agreement_"))
MEETS_SERVERS = (
    "crash", "restart", "hang", "slow", "vanish", "reset", "spoil", "errors", "lost",
    "second_answers",
)  # fmt: skip
FLEET_ONLY = (*PROXY_KINDS, *AGREEMENT_KINDS, "cut", "power_loss")  # need a fleet of processes behind relays
ORDERS = ("together", "discovery_last", "servers_first", "half_first")  # of a fleet's return


class Fault(Part, frozen=True):
    """Something that goes wrong for a while. Which servers it meets is drawn from the seed."""

    kind: Literal[
        "surge", "member_surge", "hot_proxy", "shrink", "grow", "crash", "restart", "hang", "slow", "vanish",
        "reset", "spoil", "errors", "zone_lost", "roster_down", "roster_stale", "flood", "lost", "delay",
        "zone_shift", "roster_busy", "proxies_killed", "proxies_rolled", "proxies_stopped",
        "proxies_reloaded", "cut", "power_loss", "agreement_gone", "agreement_hangs", "agreement_leaderless",
        "agreement_busy", "agreement_slow", "agreement_restarted", "agreement_restored", "agreement_cut",
        "agreement_loses_answers", "second_answers",
    ]  # fmt: skip
    at_s: Instant
    for_s: Span = 1.0
    size: Times | None = None  # times: the load, or how much slower
    share: Annotated[float, Meta(gt=0.0, le=1.0)] | None = None
    count: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    member: str | None = None
    zone: str | None = None
    proxy: Annotated[int, Meta(ge=0)] | None = None
    ms: Positive | None = None  # more on every way between two zones; the longest delay of a second answer
    order: Literal["together", "discovery_last", "servers_first", "half_first", "drawn"] | None = None
    spread_s: Span | None = None  # over which what gets its power back at one moment starts
    whom: Literal["lead", "holder"] | None = None  # in place of a share: who leads, or holds a permit
    when: When | None = None  # not before that is so
    save_at_s: Instant | None = None  # when the state was saved that is put back
    lag_s: Span | None = None  # until the last part of it is back, after the first
