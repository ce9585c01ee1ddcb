"""What one real proxy is told at its start: the configuration's file and the environment."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lupinlink.settings.model import Settings, SettingsError
from lupinlink.settings.parser import get_or_default, read_settings

MIN_SOCKETS = 64  # under this the reserve alone would leave no room for a request
MAX_SOCKETS = 1024  # never more, whatever is told
ENVIRONMENT_VARIABLES = (
    "LB_NAME",
    "LB_LISTEN",
    "LB_DISCOVERY",
    "LB_MGMT",
)  # of the environment; they go before the file


def parse_address(text: str, what: str) -> tuple[str, int]:
    """Split host:port."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise SettingsError(f"{what}: {text!r} is not host:port")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class Config:
    """One real proxy's start: who it is, where it talks, what it may hold, and its settings."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    initial_list: Mapping[str, Any]  # in discovery's form
    settings: Settings
    mgmt: tuple[str, int] | None = None  # where operators call; None: no door
    handover_dir: str = ""  # what an old and a new process share for an upgrade; empty: no handover


def load_config(env: Mapping[str, str], path: str | None = None, reload: bool = False) -> Config:
    """Read the file that LB_CONFIG (or ``path``) names; LB_NAME, LB_LISTEN, LB_DISCOVERY and
    LB_MGMT go before it.

    ``again``: the file was replaced under a running proxy. Discovery is then where the file says: the
    environment still holds what it was at the start.
    """
    file = path or env.get("LB_CONFIG", "")
    if not file:
        raise SettingsError("LB_CONFIG is not set and no file was named")
    try:
        raw = json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise SettingsError(f"{file}: {' '.join(str(exc).split())}") from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"{file}: not a JSON object")
    limits, initial_list = get_or_default(raw, "limits", {}), get_or_default(raw, "known", {})
    if not isinstance(limits, dict) or not isinstance(initial_list, dict):
        raise SettingsError(f"{file}: limits and known must be objects")
    try:
        seed = get_or_default(raw, "seed", "0")
        sockets = int(get_or_default(limits, "sockets", 1024))
        memory_mb = float(get_or_default(limits, "memory_mb", 192))
        number = seed if isinstance(seed, int) else int(str(seed), 16)
    except (ValueError, TypeError) as exc:
        raise SettingsError(f"{file}: bad seed or limits: {exc}") from exc
    if sockets < MIN_SOCKETS or not (memory_mb > 0 and math.isfinite(memory_mb)):
        raise SettingsError(f"{file}: limits.sockets must be {MIN_SOCKETS} at least, memory_mb positive")
    mgmt = str(env.get("LB_MGMT") or get_or_default(raw, "mgmt", ""))
    discovery = "" if reload and get_or_default(raw, "discovery", "") else env.get("LB_DISCOVERY", "")
    return Config(
        name=str(env.get("LB_NAME") or get_or_default(raw, "name", "proxy")),
        listen=parse_address(str(env.get("LB_LISTEN") or get_or_default(raw, "listen", "")), "listen"),
        discovery=parse_address(str(discovery or get_or_default(raw, "discovery", "")), "discovery"),
        seed=number,
        sockets=min(sockets, MAX_SOCKETS),
        memory_mb=memory_mb,
        initial_list=initial_list,
        settings=read_settings(get_or_default(raw, "settings", {})),
        mgmt=parse_address(mgmt, "mgmt") if mgmt else None,
        handover_dir=env.get("TMPDIR", ""),
    )
