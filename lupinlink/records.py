"""Records of the decision module: endpoints, servers, requests, attempts and their outcomes.

They hold data only; the decisions are in lupinlink.brain. Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from lupinlink.settings import RequestClass


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    OVERLOADED = 2  # the server rejected the request without processing it
    TIMEOUT = 3
    UNREACHABLE = 4  # no connection could be established
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    REJECTED = 8  # the request itself is invalid, which says nothing about the server


NEVER_RAN = frozenset({Status.OVERLOADED, Status.UNREACHABLE, Status.NOT_SENT})
"""Outcomes which prove that the server did not process the request."""


class EndpointState(IntEnum):
    """Lifecycle state of an endpoint as published by discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class MembershipKind(IntEnum):
    """What a membership event carries."""

    FAILED = 0  # no list: a call to discovery failed or the subscription broke
    CACHED = 1  # a complete list that was known before and may be out of date
    FULL = 2  # the complete current list
    DELTA = 3  # only the endpoints that changed


@dataclass(slots=True)
class Endpoint:
    """One entry of the list of backends."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    size_hint: float = 1.0
    started_ms: float = 0.0  # when its process started; 0: too long ago to matter


@dataclass(slots=True)
class Group:
    """Estimates for all endpoints of one zone and kind; they converge sooner than those of one server."""

    size_updated_at: float
    load: float = 0.0  # smoothed log load
    size: float = 0.0  # log of the capacity relative to the size hint
    count: int = 0  # load observations so far
    cores: float = 0.0  # requests that one server processes in parallel while others queue there
    queueing_reports: int = 0  # load reports from servers with a queue so far


@dataclass(slots=True)
class LatencyStats:
    """Smoothed mean and mean deviation of the latency of one request class, in milliseconds."""

    mean: float
    deviation: float
    count: int = 0
    initial_mean: float = field(init=False)  # the mean before the first observation

    def __post_init__(self) -> None:
        self.initial_mean = self.mean

    def observed_mean(self) -> float:
        """The mean without the initial guess; after few observations it is rather too low than too high."""
        return self.mean - self.initial_mean / (self.count + 1)

    def add(self, latency_ms: float, min_gain: float) -> None:
        """Add one observation; the first few have equal weight, later ones the weight ``min_gain``."""
        self.count += 1
        gain = max(min_gain, 1.0 / (self.count + 1))
        self.deviation += gain * (abs(latency_ms - self.mean) - self.deviation)
        self.mean += gain * (latency_ms - self.mean)


@dataclass(slots=True, eq=False)
class Server:
    """What a node knows about one endpoint."""

    endpoint: Endpoint
    load_updated_at: float  # when ``load`` was last updated; in the future for an ejected server
    group: Group
    ready: bool = False
    tokens: float = 0.0  # token bucket of slow start: requests that may be sent now
    tokens_at: float = 0.0  # when the bucket was last refilled
    load: float = 0.0  # log of the last known load relative to the usual load
    size: float = 0.0  # log of the estimated capacity relative to its group's
    size_updated_at: float = 0.0
    failure_rate: float = 0.0  # smoothed share of failed attempts, 0 to 1
    ejections: int = 0  # consecutive
    ejected_until: float = 0.0
    in_flight: int = 0  # open attempts of this node
    warmup_boost: float = 1.0  # load it bears while cold, as a multiple of what the settings guarantee
    salt: int = 0  # hash of its name; mixed with a request's key to rank servers
    last_response_at: float = 0.0  # when it last answered any attempt
    unanswered: int = 0  # consecutive overdue attempts without any response since they were sent
    connect_failures: int = 0  # consecutive
    reported_requests: float = 0.0  # requests in flight there according to its last load report
    reported_at: float = 0.0  # when that report arrived
    sent_since_report: int = 0  # requests that this node has sent there since that report
    on_probation: bool = False  # back from ejection without a success yet: one attempt at a time

    def usable(self, now: float) -> bool:
        """Whether it is ready and not ejected."""
        return self.ready and self.ejected_until <= now


@dataclass(slots=True)
class AdmissionPeriod:
    """Counters of one control period of admission; a new period starts with each update of the admission."""

    start: float
    arrivals: int = 0
    retries: int = 0  # arrivals that the client marked as a retry
    refused: int = 0
    delay_sum: float = 0.0  # latencies as multiples of the target latency of their class
    count: int = 0
    latency_sum: float = 0.0  # ms, only of attempts that a server processed
    processed: int = 0
    utilization_sum: float = 0.0  # of the utilization that servers report, 0 to 1
    utilization_count: int = 0

    def add_utilization(self, utilization: float) -> None:
        """Add the utilization that one server reported."""
        self.utilization_sum += utilization
        self.utilization_count += 1

    def add(self, delay: float, latency_ms: float, processed: bool) -> None:
        """Add one attempt; ``delay``: its latency as a multiple of the target latency of its class.

        ``processed``: the server processed the request instead of rejecting it at once.
        """
        self.delay_sum += delay
        self.latency_sum += latency_ms * processed
        self.processed += processed
        self.count += 1


@dataclass(slots=True)
class Arrival:
    """A client's request has arrived at this node."""

    request_id: str
    class_index: int
    tenant: int
    deadline: float
    is_retry: bool = False
    key: str = ""  # of the object that the request is about; empty: unknown


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server; ``status`` is None while it is in flight."""

    server: Server
    sent_at: float
    status: Status | None = None
    last_data_at: float = math.inf  # when part of its response arrived last; infinite: none has

    def may_have_run(self) -> bool:
        """False only if its outcome proves that the server did not process it."""
        return self.status not in NEVER_RAN

    @property
    def answer_begun(self) -> bool:
        """Whether part of its response has arrived."""
        return not math.isinf(self.last_data_at)


@dataclass(slots=True, eq=False)
class Request:
    """A client's request; kept until it is answered and none of its attempts is in flight."""

    arrival: Arrival
    cls: RequestClass
    target_at: float  # an answer until this time has its full value
    done: bool = False  # it has its final answer, or its client is gone
    attempts: list[Attempt] = field(default_factory=list)
