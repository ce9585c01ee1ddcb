"""What a proxy is told at its start: the one Settings type, the one parser, and the sockets' Config.

The names are the wire's; the sockets' own words stand beside them where the two differ.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any


class SettingsError(ValueError):
    """What was told at the start cannot be used; the text is one plain line."""


LEAST_SOCKETS = 64  # under this the reserve alone would leave no room for a request
MOST_SOCKETS = 1024  # never more, whatever is told


VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_MGMT")  # of the environment; they go before the file


class Effect(IntEnum):
    """What a repeat of a request may do."""

    SAFE = 0
    KEYED = 1  # a group of endpoints drops repeats of the same request for a while
    UNSAFE = 2


class Scope(IntEnum):
    """The endpoints that share one memory of keyed requests."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer after the aim still has
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.CELL
    dedup_ms: float = 0.0
    name: str = ""  # as requests on sockets give it


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; ``quota_per_s`` is its share for all nodes together."""

    quota_per_s: float
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    peers: int = 1
    rank: int = 0  # this node's number among them
    subscribe: bool = False  # membership must be asked for
    must_ask_ms: float = 10000.0
    over_quota_worth: float = 1.0
    worth_by_work: bool = False
    cross_zone_price: float = 0.0
    cold_share: float = 0.1
    cold_ms: float = 0.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after_ms: float = 0.0
    clients_mark_retries: bool = False
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    warm_keys: bool = False  # a server that met a request's key lately needs less work for it
    # What only sockets need: names for what the simulator numbers, and limits of the network.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    dial_timeout_ms: float = 200.0
    idle_close_ms: float = 10000.0
    most_held: int = 20000


EFFECT = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPE = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
SOCKET_FIELDS = {  # sockets use these names for the same figures, or those above, as the settings name them
    **REPORT_FIELDS,
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "latency_ms": "latency_ms",
    "qps": "rate",
    "eps": "error_rate",
}


def _get(table: Any, key: str, default: Any) -> Any:
    value = table.get(key)
    return default if value is None else value


def parse_settings(text: str) -> Settings:
    """Read the start-up settings from JSON."""
    try:
        return read_settings(json.loads(text))
    except ValueError as exc:
        raise exc if isinstance(exc, SettingsError) else SettingsError(f"bad settings: {exc}") from exc


def read_settings(raw: Any) -> Settings:
    """The settings object itself; unknown keys are skipped, absent ones take defaults."""
    try:
        limits, rules = _get(raw, "Limits", {}), _get(raw, "Invariants", {})
        report = _get(raw, "Report", {})
        classes = tuple(
            RequestClass(
                aim_ms=max(1.0, float(_get(c, "AimMs", c["HardLimitMs"]))),
                deadline_ms=float(c["HardLimitMs"]),
                worth=float(_get(c, "Importance", 1.0)),
                late_worth=min(1.0, max(0.0, float(_get(c, "LateWorth", 0.0)))),
                effect=EFFECT[_get(c, "Effect", "side_effect")],
                scope=SCOPE[_get(c, "Group", "cell")],
                dedup_ms=float(_get(c, "MemorySpanMs", 0.0)),
                name=str(_get(c, "Name", "")),
            )
            for c in raw["Classes"]
        )
        if not classes:
            raise SettingsError("settings name no class")
        how = _get(report, "How", "none")
        return Settings(
            classes=classes,
            tenants=tuple(
                Tenant(float(_get(t, "QuotaPerS", 0.0)), str(_get(t, "Name", "")))
                for t in _get(raw, "Tenants", [])
            ),
            zone=int(_get(raw, "MyZone", 0)),
            peers=max(1, int(_get(raw, "PeersTotal", 1))),
            rank=int(_get(raw, "Rank", 0)),
            subscribe=_get(raw, "MembershipMode", "automatic") == "subscribe",
            must_ask_ms=float(_get(rules, "MustAskInMs", 10000.0)),
            over_quota_worth=float(_get(raw, "OverShareWorth", 1.0)),
            worth_by_work=_get(raw, "ValueBy", "request") == "work",
            cross_zone_price=float(_get(_get(raw, "Prices", {}), "CrossZone", 0.0)),
            cold_share=float(_get(rules, "ColdShare", 0.1)),
            cold_ms=float(_get(rules, "ColdMs", 0.0)),
            max_attempts=int(_get(limits, "AttemptsCap", 1)),
            may_cancel=bool(_get(limits, "Cancel", False)),
            may_probe=bool(_get(limits, "Probes", False)),
            max_retry_after_ms=(
                float(_get(limits, "MaxRetryAfterMs", 0.0)) if _get(limits, "RetryAfter", False) else 0.0
            ),
            clients_mark_retries=bool(_get(_get(raw, "ClientHabits", {}), "MarksRetry", False)),
            reports_in_answers=how == "answers",
            reports_in_probes=how in ("answers", "probe"),
            warm_keys=bool(_get(_get(raw, "FamilyInfo", {}), "WarmKeys", False)),
            zones=tuple(map(str, _get(raw, "Zones", []))),
            kinds=tuple(map(str, _get(raw, "MachineTypes", []))),
            dial_timeout_ms=float(_get(limits, "DialTimeoutMs", 200.0)),
            idle_close_ms=float(_get(limits, "IdleCloseMs", 10000.0)),
            most_held=int(_get(limits, "MostHeld", 20000)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise SettingsError(f"bad settings: {type(exc).__name__}: {exc}") from exc


def address(text: str, what: str) -> tuple[str, int]:
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
    known: Mapping[str, Any]  # in discovery's form
    settings: Settings
    mgmt: tuple[str, int] | None = None  # where operators call; None: no door
    folder: str = ""  # what an old and a new process share for an upgrade; empty: no handover


def load_config(env: Mapping[str, str], path: str | None = None, again: bool = False) -> Config:
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
    limits, known = _get(raw, "limits", {}), _get(raw, "known", {})
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise SettingsError(f"{file}: limits and known must be objects")
    try:
        seed = _get(raw, "seed", "0")
        sockets = int(_get(limits, "sockets", 1024))
        memory_mb = float(_get(limits, "memory_mb", 192))
        number = seed if isinstance(seed, int) else int(str(seed), 16)
    except (ValueError, TypeError) as exc:
        raise SettingsError(f"{file}: bad seed or limits: {exc}") from exc
    if sockets < LEAST_SOCKETS or not (memory_mb > 0 and math.isfinite(memory_mb)):
        raise SettingsError(f"{file}: limits.sockets must be {LEAST_SOCKETS} at least, memory_mb positive")
    mgmt = str(env.get("LB_MGMT") or _get(raw, "mgmt", ""))
    discovery = "" if again and _get(raw, "discovery", "") else env.get("LB_DISCOVERY", "")
    return Config(
        name=str(env.get("LB_NAME") or _get(raw, "name", "proxy")),
        listen=address(str(env.get("LB_LISTEN") or _get(raw, "listen", "")), "listen"),
        discovery=address(str(discovery or _get(raw, "discovery", "")), "discovery"),
        seed=number,
        sockets=min(sockets, MOST_SOCKETS),
        memory_mb=memory_mb,
        known=known,
        settings=read_settings(_get(raw, "settings", {})),
        mgmt=address(mgmt, "mgmt") if mgmt else None,
        folder=env.get("TMPDIR", ""),
    )
