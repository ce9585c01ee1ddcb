"""Parser of the settings, which have the same JSON format for the simulator and for a proxy."""

from __future__ import annotations

import json
import math
from typing import Any

from lupinlink.settings.model import DedupScope, Effect, RequestClass, Settings, SettingsError, Tenant

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
SOCKET_FIELDS = {  # in HTTP responses, besides the names above, the same figures may have these names
    **REPORT_FIELDS,
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "latency_ms": "latency_ms",
    "qps": "rate",
    "eps": "error_rate",
}


def get_or_default(table: Any, key: str, default: Any) -> Any:
    """Return ``table[key]``, or the default if the key is absent or null."""
    value = table.get(key)
    return default if value is None else value


def parse_settings(text: str) -> Settings:
    """Parse the settings from JSON text; raises SettingsError."""
    try:
        return read_settings(json.loads(text))
    except ValueError as exc:
        raise exc if isinstance(exc, SettingsError) else SettingsError(f"invalid settings: {exc}") from exc


def read_settings(raw: Any) -> Settings:
    """Convert parsed JSON to Settings; raises SettingsError.

    Unknown keys are ignored; absent ones take their defaults.
    """
    try:
        limits, rules = get_or_default(raw, "Limits", {}), get_or_default(raw, "Invariants", {})
        report = get_or_default(raw, "Report", {})
        classes = tuple(
            RequestClass(
                target_latency_ms=max(
                    1.0, min(float(get_or_default(c, "AimMs", math.inf)), float(c["HardLimitMs"]))
                ),
                deadline_ms=float(c["HardLimitMs"]),
                value=float(get_or_default(c, "Importance", 1.0)),
                late_value=min(1.0, max(0.0, float(get_or_default(c, "LateWorth", 0.0)))),
                effect=EFFECTS[get_or_default(c, "Effect", "side_effect")],
                scope=DEDUP_SCOPES[get_or_default(c, "Group", "cell")],
                dedup_ms=float(get_or_default(c, "MemorySpanMs", 0.0)),
                name=str(get_or_default(c, "Name", "")),
            )
            for c in raw["Classes"]
        )
        if not classes:
            raise SettingsError("settings: Classes must contain at least one class")
        report_mode = get_or_default(report, "How", "none")
        return Settings(
            classes=classes,
            tenants=tuple(
                Tenant(float(get_or_default(t, "QuotaPerS", 0.0)), str(get_or_default(t, "Name", "")))
                for t in get_or_default(raw, "Tenants", [])
            ),
            zone=int(get_or_default(raw, "MyZone", 0)),
            peers=max(1, int(get_or_default(raw, "PeersTotal", 1))),
            rank=int(get_or_default(raw, "Rank", 0)),
            subscribe=get_or_default(raw, "MembershipMode", "automatic") == "subscribe",
            must_ask_ms=float(get_or_default(rules, "MustAskInMs", 10000.0)),
            over_quota_value=float(get_or_default(raw, "OverShareWorth", 1.0)),
            value_by_work=get_or_default(raw, "ValueBy", "request") == "work",
            cross_zone_price=float(get_or_default(get_or_default(raw, "Prices", {}), "CrossZone", 0.0)),
            cold_share=float(get_or_default(rules, "ColdShare", 0.1)),
            cold_ms=float(get_or_default(rules, "ColdMs", 0.0)),
            cold_overload_ratio=max(1.0, float(get_or_default(rules, "FallMultiple", 3.0))),
            cold_overload_ms=max(1.0, float(get_or_default(rules, "FallMs", 3000.0))),
            max_attempts=int(get_or_default(limits, "AttemptsCap", 1)),
            may_cancel=bool(get_or_default(limits, "Cancel", False)),
            may_probe=bool(get_or_default(limits, "Probes", False)),
            max_retry_after_ms=(
                float(get_or_default(limits, "MaxRetryAfterMs", 0.0))
                if get_or_default(limits, "RetryAfter", False)
                else 0.0
            ),
            clients_mark_retries=bool(
                get_or_default(get_or_default(raw, "ClientHabits", {}), "MarksRetry", False)
            ),
            reports_in_answers=report_mode == "answers",
            reports_in_probes=report_mode in ("answers", "probe"),
            warm_keys=bool(get_or_default(get_or_default(raw, "FamilyInfo", {}), "WarmKeys", False)),
            zones=tuple(map(str, get_or_default(raw, "Zones", []))),
            kinds=tuple(map(str, get_or_default(raw, "MachineTypes", []))),
            dial_timeout_ms=float(get_or_default(limits, "DialTimeoutMs", 200.0)),
            idle_close_ms=float(get_or_default(limits, "IdleCloseMs", 10000.0)),
            max_open_requests=int(get_or_default(limits, "MostHeld", 20000)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise SettingsError(f"invalid settings: {type(exc).__name__}: {exc}") from exc
