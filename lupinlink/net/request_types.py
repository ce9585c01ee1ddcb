"""What clients, decisions and application servers say to each other here, in terms of no protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.interface import Status
from lupinlink.net.bodies import Body, ResponseStream


class FailureReason(Enum):
    """Why a final answer is 'failed'."""

    NOT_SERVED = "not served"
    TOO_LATE = "no answer in time"
    INTERNAL = "internal error"
    DUPLICATE = "a request of this id is open"


class RefusalReason(Enum):
    """Why a final answer is a refusal; as counted, behind ``refused_``."""

    TABLE_FULL = "table_full"
    MODULE = "module"
    NEVER_RAN = "never_ran"  # the application servers turned it away, and it cannot be sent again from here
    QUOTA = "quota"


@dataclass(slots=True)
class ClientRequest:
    """What a client asks, in terms that the decisions and the application servers share."""

    identity: str  # no two open calls may share it
    class_index: int
    tenant: int
    expires_ms: float
    is_retry: bool
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: Body
    key: str = ""  # what it is about, where it says so
    # How long it may have waited before this process could read it: 0 read at once, inf not known (it was
    # held for us before this process listened); its time is counted from when its client sent it.
    waited_ms: float = 0.0
    address: str = ""  # of who is connected here: of a front, where one stands before us


@dataclass(slots=True)
class Reply:
    """What an application server answered to a call that it served."""

    headers: list[tuple[str, str]]
    body: bytes  # all of it, or what is here of one that flows
    flow: ResponseStream | None = None
    length: int | None = None  # where the body itself was not asked for


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    status: Status
    reply: Reply | None = None
    report: dict[str, float] | None = None


class Responder(Protocol):
    """Takes the one final answer of a call."""

    def served(self, reply: Reply) -> None: ...
    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None: ...
    def failed(self, why: FailureReason) -> None: ...
    def has_left(self) -> bool: ...


class OpenAttempt(Protocol):
    """One attempt that is out; ``ended`` fires once."""

    ended: Deferred[AttemptResult]

    def give_up(self, status: Status) -> None: ...
    def set_deadline(self, at_ms: float) -> None: ...
    def cancel_if_unsent(self) -> None: ...


class ApplicationServerSide(Protocol):
    """Carries attempts and probes."""

    def start(
        self,
        server: str,
        call: ClientRequest,
        timeout_ms: float,
        begin_by_ms: float,
        wanted: Callable[[], bool],
    ) -> OpenAttempt:
        """``begin_by_ms``: no later may it arrive there; ``wanted``: asked just before it is written."""

    def probe(self, server: str) -> Deferred[AttemptResult]: ...
