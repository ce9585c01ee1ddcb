"""Settings that customers may choose; the decision module has to keep the rules with all of them."""

from __future__ import annotations

from dataclasses import replace

from lupinlink import interface as api
from lupinlink.interface import DedupScope, Effect, RequestClass, Settings

SITE = Settings(
    classes=(
        RequestClass(800.0, 2000.0, 1.0, 0.2, Effect.SAFE),
        RequestClass(750.0, 4000.0, 5.0, 0.25, Effect.SAFE),
        RequestClass(750.0, 2000.0, 2.0, 0.5, Effect.KEYED, DedupScope.ZONE, 2000.0),
    ),
    tenants=(api.Tenant(40.0), api.Tenant(40.0)),
    peers=2,
    cross_zone_price=0.01,
    cold_share=0.13,
    cold_ms=22000.0,
    max_attempts=5,
    may_cancel=True,
    may_probe=True,
    max_retry_after_ms=2000.0,
    clients_mark_retries=True,
    reports_in_answers=True,
    reports_in_probes=True,
    warm_keys=True,
)


def with_classes(**kw: object) -> Settings:
    """The site's settings with these fields changed in each request class."""
    return replace(SITE, classes=tuple(replace(c, **kw) for c in SITE.classes))  # type: ignore[arg-type]


def with_times(factor: float, **kw: object) -> Settings:
    """The site's settings with all times of its classes multiplied by ``factor``."""
    scaled = tuple(
        replace(
            c,
            target_latency_ms=c.target_latency_ms * factor,
            deadline_ms=c.deadline_ms * factor,
            dedup_ms=c.dedup_ms * factor,
        )
        for c in SITE.classes
    )
    return replace(SITE, classes=scaled, **kw)  # type: ignore[arg-type]


SETTINGS_VARIANTS = {
    "the site's": SITE,
    "a quarter of all times": with_times(0.25),
    "a fiftieth of all times": with_times(0.02),
    "twenty times all times": with_times(20.0, max_retry_after_ms=500.0),
    "one class": replace(SITE, classes=SITE.classes[:1]),
    "unsafe": with_classes(effect=Effect.UNSAFE),
    "keyed, by cell": with_classes(effect=Effect.KEYED, scope=DedupScope.CELL),
    "keyed, without deduplication": with_classes(effect=Effect.KEYED, dedup_ms=0.0),
    "keyed, 300 ms": with_classes(effect=Effect.KEYED, scope=DedupScope.ALL, dedup_ms=300.0),
    "a target latency equal to the deadline": with_classes(target_latency_ms=2000.0),
    "a target latency of 1 ms": with_classes(target_latency_ms=1.0),
    "no tenants": replace(SITE, tenants=()),
    "quotas of zero": replace(SITE, tenants=(api.Tenant(0.0),) * 2),
    "no value": with_classes(value=0.0, late_value=0.0),
    "one attempt": replace(SITE, max_attempts=1),
    "no cancelling, no probes, no retry advice": replace(
        SITE, may_cancel=False, may_probe=False, max_retry_after_ms=0.0
    ),
    "reports by probe only": replace(SITE, reports_in_answers=False),
    "no reports, no keys": replace(SITE, reports_in_answers=False, reports_in_probes=False, warm_keys=False),
    "dial time-out of a second": replace(SITE, dial_timeout_ms=1000.0),
    "subscribed, 200 processes": replace(SITE, subscribe=True, must_ask_ms=4000.0, peers=200, rank=77),
    "never cold": replace(SITE, cold_share=0.0, cold_ms=0.0, cold_overload_ms=1.0, cold_overload_ratio=1.0),
    "always cold": replace(
        SITE, cold_share=0.01, cold_ms=1e7, cold_overload_ms=500.0, cold_overload_ratio=1.0
    ),
}
