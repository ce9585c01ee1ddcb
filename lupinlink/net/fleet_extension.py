"""The interface between the service and its fleet extension.

Loaded only if there is a fleet file. ``lupinlink.net.fleet_host`` implements ``ExtensionHost`` for the
service, ``lupinlink.net.fleet`` implements ``FleetExtension``. Times are milliseconds of the clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from lupinlink.coordination.component import AdminRoutes
    from lupinlink.net.lifecycle import LifecycleState
    from lupinlink.net.request_types import ClientRequest
    from lupinlink.net.timer_wheel import ReactorClock
    from lupinlink.net.twisted_types import Reactor
    from lupinlink.settings import Settings


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call is over its quota. ``retry_after_ms``: when the next one may be admitted; 0: unknown."""

    retry_after_ms: float = 0.0


class ListedServer(NamedTuple):
    """One application server on the list from discovery."""

    name: str
    zone: str  # as given by discovery; empty: not given
    state: str  # ready or draining, as given by discovery, even if the server is withheld
    reached: bool  # whether the last connection to it came up; True before the first
    started_ms: float = 0.0  # when it started, as given by discovery; 0: long ago


class Outcomes(NamedTuple):
    """How the attempts at one application server ended, since this process started."""

    ended: int = 0
    served: int = 0
    turned_away: int = 0  # refused by the server: they never ran
    failed: int = 0  # all others, except those that this proxy cancelled


@dataclass(frozen=True, slots=True)
class Gauges:
    """The connections and requests of this process at one moment."""

    connections: int  # of clients: idle, busy and closing
    idle: int  # with no part of a request received
    busy: int  # receiving a request, waiting for its answer, or sending it
    closing: int  # the last answer is sent, but not read by the client yet
    requests: int  # of the decision module, not yet answered
    oldest_ms: float  # age of the oldest request that keeps a connection busy; 0: none
    bytes_to_go: int  # left of long answers and of request bodies, where the length is known
    untold: int  # answers and bodies of unknown length
    unread: int  # long answers whose client is not reading at the moment
    servers_ready: int  # application servers that accept requests
    use: float | None  # mean utilization (1.0: all cores busy) in their last reports; None: no recent report
    counters: Mapping[str, int] = field(default_factory=dict)  # since the start of this process
    capacity: int = 0  # the most client connections


class ExtensionHost(Protocol):
    """What the service offers to the extension; all calls come on the reactor's thread."""

    @property
    def name(self) -> str:
        """The proxy's name: the same after a restart, and for both processes of an upgrade."""
        ...

    @property
    def settings(self) -> Settings:
        """The settings, which name the classes and tenants that a call gives by number."""
        ...

    @property
    def reactor(self) -> Reactor: ...

    @property
    def clock(self) -> ReactorClock: ...

    @property
    def state(self) -> LifecycleState: ...

    @property
    def drained(self) -> bool:
        """Whether operators have taken this proxy out of service; an upgrade preserves this."""
        ...

    @property
    def ready(self) -> bool:
        """Whether this process can serve, drained or not; as ``/control/ready`` of the management API."""
        ...

    @property
    def ends_soon(self) -> bool:
        """Whether this process is stopping, or a successor serves in its place."""
        ...

    def drain(self) -> None:
        """Take this proxy out of service, as the call of the management API does."""
        ...

    def in_service(self) -> bool:
        """Accept clients again, as the call of the management API does; False: the process is stopping."""
        ...

    def end(self) -> None:
        """End this process as SIGTERM does."""
        ...

    def answer_all_and_close_idle(self) -> int:
        """Answer all open requests now and close idle connections; returns the number of connections."""
        ...

    def gauges(self) -> Gauges:
        """The present state. Visits each long answer and body, so call it only a few times a second."""
        ...

    def servers(self) -> list[ListedServer]:
        """The application servers on the list."""
        ...

    def utilization(self) -> Mapping[str, float]:
        """Utilization (1.0: all cores busy) by name, as application servers last reported it to this process.

        A report counts for 10 s. With many proxies, each one sees few of a server's reports.
        """
        ...

    def outcomes(self) -> Mapping[str, Outcomes]:
        """How attempts ended, by application server; those that left the list are dropped."""
        ...

    def busy_servers(self) -> set[str]:
        """Application servers with an open request of this process."""
        ...

    def withhold(self, names: frozenset[str]) -> None:
        """Take these application servers, and no others, out of use here.

        A server that the list does not give as ready stays out of use in any case.
        """
        ...


class FleetExtension(Protocol):
    """What a fleet file adds to the service; all calls come on the reactor's thread."""

    def started(self, host: ExtensionHost) -> None:
        """The reactor runs; called once. Clients may connect before or after this."""
        ...

    def stopping(self) -> None:
        """This process is stopping: called once, at SIGTERM or when it exits after a handover.

        The process goes on for some seconds after SIGTERM, or until its last answer is delivered, but does
        not wait for work started here.
        """
        ...

    def admin_routes(self) -> AdminRoutes:
        """Further calls of the management API; called once, before ``started``."""
        ...

    def admits(self, call: ClientRequest) -> Refusal | None:
        """None if a call may go to the decision module, else its refusal, which is answered at once with 429.

        Not called for calls that the proxy cannot accept anyway. An exception fails the call with 500, so
        that a fault neither bypasses the quota nor goes unnoticed.
        """
        ...

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """Called with each admitted call once it is completely answered; None: not needed."""
        ...
