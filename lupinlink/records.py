"""What a node keeps: endpoints, requests and attempts, and how they ended. No decision is taken here.

Times are milliseconds on the caller's clock. Names follow the field's terms: endpoint, attempt,
outcome, admission, outlier ejection, slow start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from lupinlink.settings import RequestClass


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    OVERLOADED = 2  # turned away unseen
    TIMEOUT = 3
    UNREACHABLE = 4  # no connection was made
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    REJECTED = 8  # the request itself was turned down as unusable; no fault of the server


NEVER_RAN = frozenset({Status.OVERLOADED, Status.UNREACHABLE, Status.NOT_SENT})
"""Outcomes that prove the attempt did not run."""


class EndpointState(IntEnum):
    """Where an endpoint stands in its life, as discovery tells it."""

    GONE = 0
    READY = 1
    DRAINING = 2


class MembershipKind(IntEnum):
    """What a membership event carries."""

    FAILED = 0
    CACHED = 1
    FULL = 2
    DELTA = 3


@dataclass(slots=True)
class Endpoint:
    """One row of a membership list."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    size_hint: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(slots=True)
class Group:
    """What the endpoints of one zone and kind have in common, learnt sooner than of each alone."""

    size_updated_at: float
    load: float = 0.0  # usual log load
    size: float = 0.0  # log size
    count: int = 0  # figures taken
    cores: float = 0.0  # requests that one of them works on at a time, while others queue there
    queueing_reports: int = 0  # reports of that taken


@dataclass(slots=True)
class LatencyStats:
    """Smoothed mean and mean deviation of one class's served latency."""

    mean: float
    deviation: float
    count: int = 0
    initial_mean: float = field(init=False)  # the mean before anything was seen

    def __post_init__(self) -> None:
        self.initial_mean = self.mean

    def observed_mean(self) -> float:
        """The mean of what was seen, too low rather than too high: the guess, which is no fact, left out."""
        return self.mean - self.initial_mean / (self.count + 1)

    def add(self, latency_ms: float, least_gain: float) -> None:
        """Take one latency; the first few count evenly."""
        self.count += 1
        gain = max(least_gain, 1.0 / (self.count + 1))
        self.deviation += gain * (abs(latency_ms - self.mean) - self.deviation)
        self.mean += gain * (latency_ms - self.mean)


@dataclass(slots=True, eq=False)
class Server:
    """What a node knows of one endpoint."""

    endpoint: Endpoint
    load_updated_at: float  # when the load figure was learnt
    group: Group
    ready: bool = False
    tokens: float = 0.0  # sends that slow start allows
    tokens_at: float = 0.0
    load: float = 0.0  # log of the last known load over the usual one
    size: float = 0.0  # log of its learnt size over its group's
    size_updated_at: float = 0.0  # when the size was last revised
    failure_rate: float = 0.0  # smoothed share of failures
    ejections: int = 0  # in a row
    ejected_until: float = 0.0
    in_flight: int = 0  # attempts of this node that are out
    warmup_boost: float = 1.0  # how much more than the least promised it has shown to bear while cold
    salt: int = 0  # of its name: mixes keys for the split
    last_response_at: float = 0.0  # when an attempt last brought anything back
    unanswered: int = 0  # attempts overdue in a row, with nothing heard since they were sent
    connect_failures: int = 0  # connections in a row that did not come up
    reported_requests: float = 0.0  # requests that it last reported to hold
    reported_at: float = 0.0  # when it did
    sent_since_report: int = 0  # requests of this node sent there since
    on_probation: bool = False  # back from ejection and not yet proven: one attempt at a time

    def usable(self, now: float) -> bool:
        """Whether it takes work and is not left out."""
        return self.ready and self.ejected_until <= now


@dataclass(slots=True)
class AdmissionPeriod:
    """What a node counts from one revision of the admission to the next."""

    start: float
    arrivals: int = 0
    retries: int = 0  # marked as a client's repeat
    refused: int = 0
    delay_sum: float = 0.0  # in aims
    count: int = 0
    latency_sum: float = 0.0  # in milliseconds, of those that a server held
    processed: int = 0
    utilization_sum: float = 0.0  # of the use that servers report
    utilization_count: int = 0

    def add_utilization(self, busy: float) -> None:
        """Count one server's reported use."""
        self.utilization_sum += busy
        self.utilization_count += 1

    def add(self, delay: float, latency_ms: float, processed: bool) -> None:
        """Count one delay; ``processed``: a server had it for so long, it was not turned away at once."""
        self.delay_sum += delay
        self.latency_sum += latency_ms * processed
        self.processed += processed
        self.count += 1


@dataclass(slots=True)
class Arrival:
    """A client's request landed on this node."""

    request_id: str
    class_index: int
    tenant: int
    deadline: float
    is_retry: bool = False
    key: str = ""  # what the request is about, where it says so


@dataclass(slots=True, eq=False)
class Attempt:
    """One send; ``status`` is None while it is out."""

    server: Server
    sent_at: float
    status: Status | None = None

    def may_have_run(self) -> bool:
        """True unless its outcome proves that it did not."""
        return self.status not in NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    """A client's try as the node keeps it, until it is done and no attempt is out."""

    arrival: Arrival
    cls: RequestClass
    target_at: float  # an answer by then has its full worth
    done: bool = False
    attempts: list[Attempt] = field(default_factory=list)
