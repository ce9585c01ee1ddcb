"""Requests, replies and results that the client side, the proxy and the application server side exchange.

Independent of the protocol that clients or application servers speak.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.interface import Status
from lupinlink.net.bodies import Body, ResponseStream


class FailureReason(Enum):
    """Why a request is answered as failed; the value is the text of the answer."""

    NOT_SERVED = "not served"
    TOO_LATE = "no answer in time"
    INTERNAL = "internal error"
    DUPLICATE = "a request of this id is open or may have run"


class RefusalReason(Enum):
    """Why a request is refused; the value is the counter's name after ``refused_``."""

    TABLE_FULL = "table_full"
    MEMORY = "memory"
    MODULE = "module"
    NEVER_RAN = "never_ran"  # application servers refused it, and its body is no longer here for a retry
    QUOTA = "quota"


class EndReason(Enum):
    """Why an attempt ended or a connection to an application server was closed; the value is for the log."""

    ANSWERED = "answered"
    ANSWERED_EARLY = "answered before the request was written"
    BROKEN_ANSWER = "broken answer"
    ANSWER_STALLED = "answer did not go on"
    CONNECTION_LOST = "connection ended"
    CLOSED_IDLE = "idle connection ended"
    UPLOAD_STALLED = "application server took no more of the body"
    BODY_DROPPED = "body not held any more"
    BODY_CUT = "client stopped sending the body"
    GIVEN_UP = "given up"
    ARRIVES_TOO_LATE = "not at its server before that may run it again"
    CLIENT_LEFT = "client left"
    NOT_BEGUN = "might not be sent any more"
    NOT_IN_SERVICE = "application server not in service"
    OVER_CAP = "no room for a connection"
    MADE_ROOM = "made room"
    NOT_RESTED = "not rested, and no room for one more"
    DIAL_FAILED = "no connection"
    DIAL_SLOW = "connection not established in time"
    IDLE = "idle for too long"
    NOT_KEPT = "application server closes it"
    UNREQUESTED_BYTES = "unrequested bytes"
    ANSWER_IN_DOUBT = "answered more than once on a connection that had carried other requests"
    ONE_REQUEST_ONLY = "unrequested bytes were seen lately"


@dataclass(slots=True)
class ClientRequest:
    """A client's request."""

    identity: str  # no two open requests may share it
    class_index: int
    tenant: int
    expires_ms: float
    is_retry: bool
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: Body
    key: str = ""  # of the item it asks for; empty if it names none
    # How long it may have waited before this process could read it, which counts against its time. 0: it was
    # read at once; inf: unknown, as it may have been sent before this process listened.
    waited_ms: float = 0.0
    address: str = ""  # of the TCP peer, which may be a load balancer in front of this proxy


@dataclass(slots=True)
class Reply:
    """An application server's answer to a request that it served."""

    headers: list[tuple[str, str]]
    body: bytes  # the whole body, or the part received so far if ``stream`` is set
    stream: ResponseStream | None = None
    length: int | None = None  # of the body that a HEAD request did not ask for


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a probe ended."""

    status: Status
    reply: Reply | None = None
    report: dict[str, float] | None = None
    why: EndReason = EndReason.ANSWERED


class Responder(Protocol):
    """Sends a client the one final answer to its request."""

    def served(self, reply: Reply) -> None: ...
    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None: ...
    def failed(self, why: FailureReason) -> None: ...
    def has_left(self) -> bool:
        """Whether the client has closed its connection."""
        ...


class OpenAttempt(Protocol):
    """An attempt in flight; ``ended`` fires once."""

    ended: Deferred[AttemptResult]
    on_answer_data: Callable[[], None] | None  # called as part of an answer has come, in the middle of a read

    def give_up(self, status: Status) -> None: ...
    def set_deadline(self, at_ms: float) -> None: ...
    def cancel_if_unsent(self) -> None: ...


class ApplicationServerSide(Protocol):
    """Sends attempts and probes to application servers."""

    def start(
        self,
        server: str,
        call: ClientRequest,
        timeout_ms: float,
        arrive_by_ms: float,
        wanted: Callable[[], bool],
    ) -> OpenAttempt:
        """Start an attempt.

        ``arrive_by_ms``: when its last byte has to have arrived at the server; ``wanted``: called just before
        the request is written, False cancels it.
        """

    def probe(self, server: str) -> Deferred[AttemptResult]: ...
