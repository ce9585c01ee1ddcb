"""The seam between the service and a fleet file: what each side may ask of the other.

Loaded only with a fleet file: a plain ``serve`` knows nothing of it. ``lupinlink.net.fleet_host`` is the
service's side (Host), ``lupinlink.net.fleet`` the other (FleetSide). Times are milliseconds of the clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from lupinlink.coordination.part import DoorCalls
    from lupinlink.net.lifecycle import LifecycleState
    from lupinlink.net.request_types import ClientRequest
    from lupinlink.net.timer_wheel import ReactorClock
    from lupinlink.net.twisted_types import Reactor
    from lupinlink.settings import Settings


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call is over its quota. ``retry_after_ms``: when a next one may be let on; 0: not told."""

    retry_after_ms: float = 0.0


class Listed(NamedTuple):
    """One application server of the list."""

    name: str
    zone: str  # as discovery wrote it; empty: it did not
    state: str  # ready, or draining; as discovery told it, withheld or not
    reached: bool  # whether the last connection to it came up; True before the first
    started_ms: float = 0.0  # when it started, as discovery wrote it; 0: long ago


class Outcomes(NamedTuple):
    """How the attempts at one application server ended, since this process started."""

    ended: int = 0
    served: int = 0
    turned_away: int = 0  # they surely never ran
    failed: int = 0  # all others, but for those that were called off here


@dataclass(frozen=True, slots=True)
class Gauges:
    """What is here at one moment."""

    connections: int  # of clients: idle, busy and closing
    idle: int  # with no part of a request here
    busy: int  # with a request on its way in, open, or with its answer on its way out
    closing: int  # answered for the last time, still to be read
    requests: int  # with the decisions, that still owe an answer
    oldest_ms: float  # the age of the oldest request that keeps a connection busy; 0: there is none
    bytes_to_go: int  # of long answers and of bodies on their way in, where their length is told
    untold: int  # of these, those whose length is not told
    unread: int  # long answers whose client does not read at the moment
    servers_ready: int  # application servers that take work
    use: float | None  # mean use (1.0: all cores busy) that those last reported; None: none has lately
    counters: Mapping[str, int] = field(default_factory=dict)  # since this process's start
    capacity: int = 0  # connections of clients that may be here


class ExtensionHost(Protocol):
    """What the service offers to the fleet's shell; all calls come on the reactor's thread."""

    @property
    def name(self) -> str:
        """The proxy's, the same after a restart; an upgrade's two processes share it."""
        ...

    @property
    def settings(self) -> Settings:
        """The names behind a call's class and tenant numbers."""
        ...

    @property
    def reactor(self) -> Reactor: ...

    @property
    def clock(self) -> ReactorClock: ...

    @property
    def state(self) -> LifecycleState: ...

    @property
    def drained(self) -> bool:
        """Whether the operators want no clients here; it outlasts an upgrade."""
        ...

    @property
    def ready(self) -> bool:
        """Whether this process can serve, drained or not; as the door's ``ready``."""
        ...

    @property
    def ends_soon(self) -> bool:
        """Whether this process is stopping, or a successor serves in its place."""
        ...

    def drain(self) -> None:
        """Take this proxy out of service, as the door's call does."""
        ...

    def in_service(self) -> bool:
        """Take clients again, as the door's call does; False: it is stopping."""
        ...

    def end(self) -> None:
        """End this process as SIGTERM does."""
        ...

    def end_last(self) -> int:
        """Give what is open its answer now and close what is at rest; how many connections were here."""
        ...

    def gauges(self) -> Gauges:
        """What is here now. Costs a look at each long answer and body; to be asked a few times a second."""
        ...

    def servers(self) -> list[Listed]:
        """The application servers of the list."""
        ...

    def use(self) -> Mapping[str, float]:
        """The use (1.0: all cores busy) that application servers last reported here, by name.

        A report counts for 10 s; of many proxies each one sees few of a server's reports.
        """
        ...

    def outcomes(self) -> Mapping[str, Outcomes]:
        """How attempts ended, by application server; those that have left the list are forgotten."""
        ...

    def busy(self) -> set[str]:
        """Application servers that have a request from here."""
        ...

    def withhold(self, names: frozenset[str]) -> None:
        """Take these application servers, and no others, out of use here.

        It only narrows: what the list does not have ready stays out, whatever is withheld.
        """
        ...


class FleetExtension(Protocol):
    """What a fleet file adds to the service; all calls come on the reactor's thread."""

    def started(self, host: ExtensionHost) -> None:
        """The reactor runs; called once. Clients may come before or after it."""
        ...

    def stopping(self) -> None:
        """This process ends: called once, at SIGTERM or as it leaves its place to a successor.

        It goes on for some seconds after SIGTERM, but does not wait for anything that is begun here.
        """
        ...

    def calls(self) -> DoorCalls:
        """Further calls of the operators' door; asked for once, before ``started``."""
        ...

    def admits(self, call: ClientRequest) -> Refusal | None:
        """Whether a call may go to the decisions (None), or is refused at once, with 429.

        A call that the proxy cannot take in any case is not asked for. A fault in here fails the call
        (500): it goes neither past the quota nor unseen.
        """
        ...

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """Told of each call that was admitted once nothing is owed for it any more; None: of none."""
        ...
