"""The configuration of one proxy, read from a JSON file and environment variables."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lupinlink.settings.model import Settings, SettingsError
from lupinlink.settings.parser import get_or_default, read_settings

MIN_SOCKETS = 64  # with fewer, the reserved sockets would leave none for a request
MAX_PORT, MAX_PORT_DIGITS = 65535, 5
MAX_SOCKETS = 1024  # upper bound; a larger limit in the file is cut to it
ENVIRONMENT_VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_MGMT")  # these override the file


def parse_address(text: str, what: str) -> tuple[str, int]:
    """Split ``host:port``; raises SettingsError, with ``what`` as the name of the setting."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not colon or not host or not is_number or int(port) > MAX_PORT:
        raise SettingsError(f"{what}: {text!r} is not host:port with a port from 0 to 65535")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one proxy: name, addresses, resource limits and settings."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    initial_list: Mapping[str, Any]  # list of backends to start with, in the format of discovery
    settings: Settings
    mgmt: tuple[str, int] | None = None  # address of the management API; None: disabled
    handover_dir: str = ""  # shared by an old and a new process during an upgrade; empty: no handover


def load_config(env: Mapping[str, str], path: str | None = None, reload: bool = False) -> Config:
    """Read the file at ``path``, by default the one that LB_CONFIG names; raises SettingsError if invalid.

    LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override the file. With ``reload``, for a running proxy, the
    discovery address in the file overrides LB_DISCOVERY, which still holds the address at the start.
    """
    file = path or env.get("LB_CONFIG", "")
    if not file:
        raise SettingsError("no configuration file: set LB_CONFIG or give --config")
    try:
        raw = json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise SettingsError(f"{file}: {' '.join(str(exc).split())}") from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"{file}: expected a JSON object, got {type(raw).__name__}")
    limits, initial_list = get_or_default(raw, "limits", {}), get_or_default(raw, "known", {})
    if not isinstance(limits, dict) or not isinstance(initial_list, dict):
        raise SettingsError(f"{file}: limits and known must be JSON objects")
    try:
        seed = get_or_default(raw, "seed", "0")
        sockets = int(get_or_default(limits, "sockets", 1024))
        memory_mb = float(get_or_default(limits, "memory_mb", 192))
        seed_number = seed if isinstance(seed, int) else int(str(seed), 16)
    except (ValueError, TypeError) as exc:
        raise SettingsError(f"{file}: seed must be an integer or hexadecimal, limits numbers: {exc}") from exc
    if sockets < MIN_SOCKETS or not (memory_mb > 0 and math.isfinite(memory_mb)):
        raise SettingsError(
            f"{file}: limits.sockets must be at least {MIN_SOCKETS} and limits.memory_mb positive and finite,"
            f" got {sockets} and {memory_mb:g}"
        )
    mgmt = str(env.get("LB_MGMT") or get_or_default(raw, "mgmt", ""))
    discovery = "" if reload and get_or_default(raw, "discovery", "") else env.get("LB_DISCOVERY", "")
    return Config(
        name=str(env.get("LB_NAME") or get_or_default(raw, "name", "proxy")),
        listen=parse_address(str(env.get("LB_LISTEN") or get_or_default(raw, "listen", "")), "listen"),
        discovery=parse_address(str(discovery or get_or_default(raw, "discovery", "")), "discovery"),
        seed=seed_number,
        sockets=min(sockets, MAX_SOCKETS),
        memory_mb=memory_mb,
        initial_list=initial_list,
        settings=read_settings(get_or_default(raw, "settings", {})),
        mgmt=parse_address(mgmt, "mgmt") if mgmt else None,
        handover_dir=env.get("TMPDIR", ""),
    )
