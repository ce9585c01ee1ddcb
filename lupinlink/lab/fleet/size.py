"""How large a fleet this machine can hold, and in how many processes its surroundings stand."""

from __future__ import annotations

import math
import os
import resource
from pathlib import Path

from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.model.scenario import Scenario

SERVERS_A_SHARE, MOST_SHARES = 70, 5
MOST_PROXIES, MOST_SERVERS = 300, 400
SPARE_DESCRIPTORS = 200  # of a helper, beside connections and listeners


def shares(scenario: Scenario) -> int:
    """In how many processes the servers stand: enough for their work, and for a connection of each proxy."""
    servers = max(1, scenario.farm.servers)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    room = max(1, (hard if hard != resource.RLIM_INFINITY else 1 << 20) - SPARE_DESCRIPTORS)
    for_room = math.ceil(servers * scenario.proxies.count / room)
    return min(MOST_SHARES, max(math.ceil(servers / SERVERS_A_SHARE), for_room))


def check_size(scenario: Scenario) -> None:
    """Refuse what this machine cannot hold, before anything is started; raises FleetError in one line."""
    proxies, servers = scenario.proxies.count, scenario.farm.servers
    if proxies > MOST_PROXIES or servers > MOST_SERVERS:
        raise FleetError(
            f"{proxies} proxies and {servers} servers; the rig plays up to {MOST_PROXIES} and {MOST_SERVERS}"
        )
    if len(scenario.network.zones) > addresses.MOST_ZONES:
        raise FleetError(f"network.zones names over {addresses.MOST_ZONES}")
    need = proxies * math.ceil(servers / shares(scenario)) + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and need > hard:
        raise FleetError(
            f"{proxies} proxies and {servers} servers need {need} descriptors in a process, of {hard} allowed"
        )
    if soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def idle_s() -> float:
    """Seconds that this machine's processors have idled since it started."""
    fields = Path("/proc/stat").read_text().splitlines()[0].split()
    return int(fields[4]) / os.sysconf("SC_CLK_TCK")
