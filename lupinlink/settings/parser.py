"""The one parser of the settings object: the wire's names, and the sockets' own where the two differ."""

from __future__ import annotations

import json
import math
from typing import Any

from lupinlink.settings.model import Effect, RequestClass, Scope, Settings, SettingsError, Tenant

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


def given(table: Any, key: str, default: Any) -> Any:
    """What a table says under a key; null is as good as absent."""
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
        limits, rules = given(raw, "Limits", {}), given(raw, "Invariants", {})
        report = given(raw, "Report", {})
        classes = tuple(
            RequestClass(
                aim_ms=max(1.0, min(float(given(c, "AimMs", math.inf)), float(c["HardLimitMs"]))),
                deadline_ms=float(c["HardLimitMs"]),
                worth=float(given(c, "Importance", 1.0)),
                late_worth=min(1.0, max(0.0, float(given(c, "LateWorth", 0.0)))),
                effect=EFFECT[given(c, "Effect", "side_effect")],
                scope=SCOPE[given(c, "Group", "cell")],
                dedup_ms=float(given(c, "MemorySpanMs", 0.0)),
                name=str(given(c, "Name", "")),
            )
            for c in raw["Classes"]
        )
        if not classes:
            raise SettingsError("settings name no class")
        how = given(report, "How", "none")
        return Settings(
            classes=classes,
            tenants=tuple(
                Tenant(float(given(t, "QuotaPerS", 0.0)), str(given(t, "Name", "")))
                for t in given(raw, "Tenants", [])
            ),
            zone=int(given(raw, "MyZone", 0)),
            peers=max(1, int(given(raw, "PeersTotal", 1))),
            rank=int(given(raw, "Rank", 0)),
            subscribe=given(raw, "MembershipMode", "automatic") == "subscribe",
            must_ask_ms=float(given(rules, "MustAskInMs", 10000.0)),
            over_quota_worth=float(given(raw, "OverShareWorth", 1.0)),
            worth_by_work=given(raw, "ValueBy", "request") == "work",
            cross_zone_price=float(given(given(raw, "Prices", {}), "CrossZone", 0.0)),
            cold_share=float(given(rules, "ColdShare", 0.1)),
            cold_ms=float(given(rules, "ColdMs", 0.0)),
            fall_multiple=max(1.0, float(given(rules, "FallMultiple", 3.0))),
            fall_ms=max(1.0, float(given(rules, "FallMs", 3000.0))),
            max_attempts=int(given(limits, "AttemptsCap", 1)),
            may_cancel=bool(given(limits, "Cancel", False)),
            may_probe=bool(given(limits, "Probes", False)),
            max_retry_after_ms=(
                float(given(limits, "MaxRetryAfterMs", 0.0)) if given(limits, "RetryAfter", False) else 0.0
            ),
            clients_mark_retries=bool(given(given(raw, "ClientHabits", {}), "MarksRetry", False)),
            reports_in_answers=how == "answers",
            reports_in_probes=how in ("answers", "probe"),
            warm_keys=bool(given(given(raw, "FamilyInfo", {}), "WarmKeys", False)),
            zones=tuple(map(str, given(raw, "Zones", []))),
            kinds=tuple(map(str, given(raw, "MachineTypes", []))),
            dial_timeout_ms=float(given(limits, "DialTimeoutMs", 200.0)),
            idle_close_ms=float(given(limits, "IdleCloseMs", 10000.0)),
            most_held=int(given(limits, "MostHeld", 20000)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise SettingsError(f"bad settings: {type(exc).__name__}: {exc}") from exc
