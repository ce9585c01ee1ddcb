"""The start of a whole fleet: one proxy is measured before the rest are started."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.discovery import Discovery
from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.processes import FleetProxy, Program, room
from lupinlink.lab.model.proxy_settings import settings

HELPER_MB = 120.0


def furnish(
    ground: Ground, bank: Bank, discovery: Discovery, program: Program, folder: Path, port: int,
    door: int,
) -> None:  # fmt: skip
    """Give every proxy its configuration, with the list of servers as it stands. ``door``: the port of its
    operators' door, at its own address; 0: it has none."""
    zones, rows = ground.world.agents.front.zone_of, ground.world.roster.rows.values()
    for i, side in enumerate(discovery.sides):
        side.held = {row.name: row for row in rows}
        host = addresses.listens(zones[i], i)
        config = _config(ground, discovery, i, f"{host}:{port}")
        if door:
            config["mgmt"] = f"{host}:{door}"
        bank.proxies.append(FleetProxy(i, program, folder, config))


def _config(ground: Ground, discovery: Discovery, proxy: int, listen: str) -> dict[str, Any]:
    """The deploy page's, all but what each start draws anew."""
    spec = ground.scenario.proxies
    return {
        "name": f"n{proxy}", "listen": listen, "discovery": discovery.address(proxy),
        "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
        "settings": settings(ground.scenario, ground.world.agents.front.zone_of[proxy], proxy),
    }  # fmt: skip


async def start_fleet(ground: Ground, bank: Bank) -> float:
    """Start all; returns the seconds it took until they were up, or their time was over."""
    spec = ground.scenario.proxies
    if ground.stopped:
        return 0.0
    # One is measured before the rest are started: a fleet that does not fit is refused, not swapped.
    bank.start(0)
    first = bank.proxies[0]
    await ground.within(spec.ready_s, "proxy 0 is not up", lambda: 0 in bank.up or not first.runs)
    if not first.runs and not ground.stopped:
        raise FleetError(f"proxy 0 does not serve: {first.last_words()}")
    first.look()
    room(spec.count - 1, first.use.own_mb, HELPER_MB, Path("/proc/meminfo").read_text)
    began = time.monotonic()
    for i in range(1, spec.count):
        bank.start(i)
        if i % 16 == 0:
            await asyncio.sleep(0)
    until = began + spec.ready_s
    while len(bank.up | bank.idle) < spec.count and time.monotonic() < until and ground.goes_on:
        await asyncio.sleep(0.02)
        bank.look_for_crashes()
    return time.monotonic() - began
