"""The Settings of the decision module, with the types they consist of, and the error for invalid input."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from lupinlink.errors import LupinError


class SettingsError(LupinError, ValueError):
    """The configuration or the settings are invalid; the message is one line."""

    code = "LL601"
    about = "the configuration, read at the start or on a reload, is invalid"
    remedy = "correct what the line names and run lupinlink check; a running proxy keeps its configuration"


class Effect(IntEnum):
    """Whether a request may be sent more than once."""

    SAFE = 0  # it has no side effects
    KEYED = 1  # endpoints that share a deduplication memory ignore copies of it for a while
    UNSAFE = 2  # each copy may have an effect of its own


class DedupScope(IntEnum):
    """Which endpoints share the deduplication memory for keyed requests."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; times are in milliseconds."""

    target_latency_ms: float
    deadline_ms: float
    value: float = 1.0
    late_value: float = 0.0  # share of the value that an answer has after the target latency, 0 to 1
    effect: Effect = Effect.UNSAFE
    scope: DedupScope = DedupScope.CELL
    dedup_ms: float = 0.0  # how long endpoints remember a keyed request
    name: str = ""  # by which HTTP requests select the class


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; ``quota_per_s`` is its quota at all nodes together, in requests per second."""

    quota_per_s: float
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of the decision module. Names that end in ``_ms`` are times in milliseconds."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0  # of this node
    peers: int = 1  # number of nodes, with this one
    rank: int = 0  # this node's number among them, from 0
    subscribe: bool = False  # the node has to call discovery; otherwise lists are pushed
    must_ask_ms: float = 10000.0  # without a call or a watch for so long, a node counts as notified
    over_quota_value: float = 1.0  # value of a request over its tenant's quota, as a factor
    value_by_work: bool = False  # a class's value is per unit of work, not per request
    cross_zone_price: float = 0.0  # cost of an attempt in another zone
    cold_share: float = 0.1  # guaranteed capacity of a server at its start, as a share of its full capacity
    cold_ms: float = 0.0  # after its start, until a server has its full capacity
    # A cold server crashes under more than this multiple of its present capacity over this time.
    cold_overload_ratio: float = 3.0
    cold_overload_ms: float = 3000.0
    max_attempts: int = 1  # for one request, the first included
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after_ms: float = 0.0  # 0: refusals carry no retry-after
    clients_mark_retries: bool = False
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    warm_keys: bool = False  # a server that recently processed a request's key needs less work for it
    # Only for the HTTP proxy: names of what the simulator numbers, and network limits.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    dial_timeout_ms: float = 200.0  # for connecting to a backend
    idle_close_ms: float = 10000.0  # time limit for an idle connection to a backend
    max_open_requests: int = 20000
