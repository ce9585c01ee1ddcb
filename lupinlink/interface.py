"""The interface of the decision module: the events it takes, the actions it returns, and their records.

The caller passes each event with the current time and carries out the actions in order. Times are in
milliseconds on the caller's clock. Everything that callers need is exported here.
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
    """The list of backends has changed, or a call to discovery has failed."""

    kind: MembershipKind
    endpoints: list[Endpoint] = field(default_factory=list)
    current: bool = True  # from discovery's present address; False: from its previous one


@dataclass(slots=True)
class ProcessStarted:
    """A real process has started with the list of backends that the previous process had."""


@dataclass(slots=True)
class DiscoveryMoved:
    """Discovery is at another address from now on, or the complete list has to be requested again."""


@dataclass(slots=True)
class DiscoveryCallLate:
    """A call to discovery is late: it has no connection yet or, where lists are pushed, no answer."""


@dataclass(slots=True)
class DiscoveryCallReached:
    """A call to discovery is connected and its request written, so that its answer may now be in transit."""

    call_number: int = 0  # counted within this process
    previous_watch_open: bool = False  # it asks for the complete list while the previous watch still delivers


@dataclass(slots=True)
class DiscoveryCallAnswered:
    """Discovery has answered a call with a valid response head; the body follows."""


@dataclass(slots=True)
class DiscoveryPartial:
    """Whether a message of discovery, on a call or a watch, has so far arrived only in part, has changed."""

    partial: bool


@dataclass(slots=True)
class DiscoveryCallFailed:
    """A call to discovery has ended without delivering anything."""

    connected: bool  # its connection was established
    answered: bool  # a valid response head arrived
    took_ms: float
    timed_out: bool = False  # this side gave it up; otherwise discovery ended it
    may_have_notified: bool = False  # a response had begun, so an update that discovery sent may be lost
    refused: bool = False  # discovery answered that it does not serve the call, so no update was sent
    call_number: int = 0  # counted within this process


@dataclass(slots=True)
class DiscoveryWatchEnded:
    """The open watch, which had delivered updates, has ended."""

    last_activity_at: float  # when anything last arrived on it
    timed_out: bool  # this side gave it up; otherwise discovery ended it
    at_previous_address: bool = False  # no list has come from discovery's new address yet
    may_have_update: bool = True  # discovery may have ended it in place of sending an update


@dataclass(slots=True)
class Outcome:
    """An attempt has ended. ``closed``: the request already has its final answer."""

    request_id: str
    status: Status
    latency_ms: float
    attempt: int
    closed: bool
    endpoint: str
    report: dict[str, float] | None = None


@dataclass(slots=True)
class AnswerData:
    """More of the response to an attempt has arrived, and its rest may take long."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class StreamStarted:
    """The response to an attempt has begun and is passed on to the client, so no other attempt may follow."""

    request_id: str
    attempt: int
    latency_ms: float
    endpoint: str


@dataclass(slots=True)
class ClientGone:
    """The client has closed its connection or given up."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int


@dataclass(slots=True)
class ProbeResult:
    """A probe has ended."""

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
    Membership
    | Arrival
    | Outcome
    | AnswerData
    | StreamStarted
    | ClientGone
    | TimerFired
    | ProbeResult
    | DiscoveryEvent
)


@dataclass(slots=True)
class Send:
    """Start an attempt at an endpoint."""

    request_id: str
    endpoint: str
    timeout_ms: float
    # Until when its last byte has to arrive: later, the endpoint may have forgotten an earlier attempt, and
    # the request could take effect twice.
    arrive_by: float = math.inf


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request_id: str
    attempt: int


class RefusalCause(Enum):
    """Why a request is refused. The values are suffixes of the counters ``refused_for_...``."""

    NO_TIME = "no_time"  # no answer can arrive before the client's deadline
    SHED = "shed"  # admission control: the load exceeds the capacity
    LIST_HELD = "list_held"  # the list of backends may be out of date
    NO_BACKEND = "no_backend"  # no backend is ready, or none may take this request
    NO_RETRY = "no_retry"  # an attempt never ran, and no retry budget or time is left


@dataclass(slots=True)
class Refuse:
    """Final answer: refused. The request did not run, or may safely be sent again."""

    request_id: str
    retry_after_ms: float
    cause: RefusalCause = RefusalCause.SHED


@dataclass(slots=True)
class Fail:
    """Final answer: failed. The request may have run."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask an endpoint for its load report."""

    endpoint: str


@dataclass(slots=True)
class Subscribe:
    """Call discovery for the list of backends and open a watch."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Subscribe | ListTrustChanged
