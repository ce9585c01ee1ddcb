"""What is said to the decision core and by it: events in, actions out; with its records, under one name.

Times are milliseconds on the caller's clock. No decision is taken here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from lupinlink.list_trust import HoldCause as HoldCause
from lupinlink.list_trust import ListTrust as ListTrust
from lupinlink.list_trust import ListTrustChanged as ListTrustChanged
from lupinlink.records import NEVER_RAN as NEVER_RAN
from lupinlink.records import AdmissionPeriod as AdmissionPeriod
from lupinlink.records import Arrival as Arrival
from lupinlink.records import Attempt as Attempt
from lupinlink.records import Endpoint as Endpoint
from lupinlink.records import EndpointState as EndpointState
from lupinlink.records import Group as Group
from lupinlink.records import LatencyStats as LatencyStats
from lupinlink.records import MembershipKind as MembershipKind
from lupinlink.records import Request as Request
from lupinlink.records import Server as Server
from lupinlink.records import Status as Status
from lupinlink.settings import DedupScope as DedupScope
from lupinlink.settings import Effect as Effect
from lupinlink.settings import RequestClass as RequestClass
from lupinlink.settings import Settings as Settings
from lupinlink.settings import Tenant as Tenant


@dataclass(slots=True)
class Membership:
    """News of the endpoints."""

    kind: MembershipKind
    endpoints: list[Endpoint] = field(default_factory=list)
    current: bool = True  # it shows what discovery has now; False: of a discovery that was moved away from


@dataclass(slots=True)
class ProcessStarted:
    """A real process has started, with the list of backends that its former life had."""


@dataclass(slots=True)
class DiscoveryMoved:
    """Discovery is at another address from now on."""


@dataclass(slots=True)
class DiscoveryCallLate:
    """A call to discovery still waits, for its connection or, where lists are pushed, for its answer."""


@dataclass(slots=True)
class DiscoveryCallReached:
    """The connection of a call to discovery came up and its request was written: it may be answered now."""

    call_number: int = 0  # its number in this process
    previous_watch_open: bool = (
        False  # it asks a new discovery for its list; the former one's watch still tells
    )


@dataclass(slots=True)
class DiscoveryCallAnswered:
    """A call to discovery has a good head; what it has to tell comes next."""


@dataclass(slots=True)
class DiscoveryPartial:
    """Whether something that discovery has begun to write, on a call or a watch, has not come whole."""

    partial: bool


@dataclass(slots=True)
class DiscoveryCallFailed:
    """A call to discovery ended and told nothing."""

    connected: bool  # its connection came up
    answered: bool  # a good head came
    took_ms: float
    timed_out: bool = False  # it was given up, discovery did not end it
    may_have_notified: bool = False  # a good head came, so news that was written may be lost
    refused: bool = False  # discovery answered that it does not serve it, so it told nothing
    call_number: int = 0  # its number in this process


@dataclass(slots=True)
class DiscoveryWatchEnded:
    """The watch that had told is over."""

    last_activity_at: float  # its last sign of life
    timed_out: bool
    at_previous_address: bool = (
        False  # discovery has moved from where it was, and has not told at the new address yet
    )
    may_have_update: bool = True  # discovery may have ended it instead of telling


@dataclass(slots=True)
class Outcome:
    """An attempt ended. ``closed``: the request has had its final answer."""

    request_id: str
    status: Status
    latency_ms: float
    attempt: int
    closed: bool
    endpoint: str
    report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """The answer to an attempt has begun; it belongs to the client from now on."""

    request_id: str
    attempt: int
    latency_ms: float
    endpoint: str


@dataclass(slots=True)
class ClientGone:
    """The client no longer waits."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that the core set has come due."""

    token: int


@dataclass(slots=True)
class ProbeResult:
    """A probe came back."""

    endpoint: str
    status: Status
    latency_ms: float
    report: dict[str, float] | None = None


DiscoveryEvent = (
    ProcessStarted
    | DiscoveryMoved
    | DiscoveryCallLate
    | DiscoveryCallReached
    | DiscoveryCallAnswered
    | DiscoveryPartial
    | DiscoveryCallFailed
    | DiscoveryWatchEnded
)
Event = (
    Membership | Arrival | Outcome | StreamStarted | ClientGone | TimerFired | ProbeResult | DiscoveryEvent
)


@dataclass(slots=True)
class Send:
    """Start an attempt."""

    request_id: str
    endpoint: str
    timeout_ms: float
    begin_by: float = math.inf  # later it could be a second effect: a connection may be long on its way up


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


class RefusalCause(Enum):
    """Why the decision core refuses; as counted, behind ``refused_for_``."""

    NO_TIME = "no_time"  # no answer can come before its client has gone
    SHED = "shed"  # admission: more is asked for than can be served
    LIST_HELD = "list_held"  # discovery may have more to tell than it has
    NO_BACKEND = "no_backend"  # none fits, or is ready
    NO_RETRY = "no_retry"  # an attempt never ran, and there is no budget or time for another


@dataclass(slots=True)
class Refuse:
    """Final answer: not run, trying again does no harm."""

    request_id: str
    retry_after_ms: float
    cause: RefusalCause = RefusalCause.SHED


@dataclass(slots=True)
class Fail:
    """Final answer: failed; promises nothing about the effect."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask an endpoint for its load."""

    endpoint: str


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Subscribe | ListTrustChanged
