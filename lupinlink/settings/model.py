"""The one Settings type and what it holds, with the wire's names; and the error for what cannot be used."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from lupinlink.errors import LupinError


class SettingsError(LupinError, ValueError):
    """What was told at the start cannot be used; the text is one plain line."""

    code = "LL601"
    about = "what the program was told at its start, or anew, cannot be used"
    remedy = "mend what the line names (lupinlink check reads it again); a running proxy goes on as it was"


class Effect(IntEnum):
    """What a repeat of a request may do."""

    SAFE = 0
    KEYED = 1  # a group of endpoints drops repeats of the same request for a while
    UNSAFE = 2


class DedupScope(IntEnum):
    """The endpoints that share one memory of keyed requests."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    target_latency_ms: float
    deadline_ms: float
    value: float = 1.0
    late_value: float = 0.0  # share of the worth that an answer after the aim still has
    effect: Effect = Effect.UNSAFE
    scope: DedupScope = DedupScope.CELL
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
    over_quota_value: float = 1.0
    value_by_work: bool = False
    cross_zone_price: float = 0.0
    cold_share: float = 0.1
    cold_ms: float = 0.0
    cold_overload_ratio: float = 3.0  # sent more than this times its present capacity
    cold_overload_ms: float = 3000.0  # over such a span, a cold server falls
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
    max_open_requests: int = 20000
