"""Many proxies that start at one moment while discovery is short of room: its calls, and when all watch."""

from __future__ import annotations

from msgspec import Struct

from lupinlink.lab.library import load
from lupinlink.lab.virtual import VirtualDrive

SECONDS, LOOK_MS = 20.0, 10.0
RATE, SERVERS = 600.0, 24


class Herd(Struct, frozen=True):
    """Figures of one start. ``call`` is one call to discovery."""

    proxies: int
    calls: int
    calls_failed: int
    most_calls_in_100_ms: int
    all_watch_ms: float  # from the start until every proxy has a watch; 0: some never got one
    connections_a_proxy: float
    probes_a_proxy: float
    in_time: float  # share of first tries


def start(proxies: int, calls_per_s: float, seed: int) -> Herd:
    """Play a calm day from the start of so many proxies; discovery handles so many calls a second."""
    sets = {
        "proxies.count": proxies, "farm.servers": SERVERS, "load.rate": RATE, "seconds": SECONDS,
        "roster.calls_per_s": calls_per_s,
    }  # fmt: skip
    drive = VirtualDrive(load("calm", sets).scenario, seed)
    roster, clock, began = drive.world.roster, drive.clock, drive.clock.now()
    calls, watched = list[int](), list[float]()

    def look() -> None:
        calls.append(roster.calls)
        if roster.watching >= proxies and not watched:
            watched.append(clock.now() - began)
        clock.at(clock.now() + LOOK_MS, look)

    clock.at(began, look)
    drive.run()
    tally, span = drive.world.referee.tally, int(100.0 / LOOK_MS)
    most = max((b - a for a, b in zip(calls, calls[span:], strict=False)), default=0)
    return Herd(
        proxies, roster.calls, roster.calls_failed, most, watched[0] if watched else 0.0,
        round(tally.handshakes / proxies, 1), round(tally.probes / proxies, 1),
        round(tally.in_time / max(1, tally.firsts), 4),
    )  # fmt: skip
