"""What the release asks of the process it runs in. The shell (``lupinlink.net``) gives it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from lupinlink.coordination.component import Member
from lupinlink.release.presence import Listed
from lupinlink.release.records import Figures


class Host(Protocol):
    """One proxy. All calls come on the reactor's thread, and none of them waits. Before the agent's ``start``
    only ``member`` is asked for."""

    @property
    def member(self) -> Member:
        """Its name (the same after a restart), zone, version and pool."""
        ...

    def ready(self) -> bool:
        """Whether it can serve, drained or not; as the door's ``ready``."""
        ...

    def serving(self) -> bool:
        """Whether it takes clients: ready, and nobody wants it drained."""
        ...

    def standby(self) -> bool:
        """Whether it serves nobody only because no listener wants it to (migrations); then it is not out."""
        ...

    def left(self) -> int:
        """Connections of clients and requests that are still here."""
        ...

    def use(self) -> float:
        """What it uses of what it can bear, from 0 to 1, lately; such as its share of its one core."""
        ...

    def need(self) -> float:
        """Application servers that all arrivals of the fleet would keep busy: mean reported use times the
        servers that are ready. 0: not known."""
        ...

    def figures(self) -> Figures:
        """Its requests since this process started."""
        ...

    def servers(self) -> Sequence[Listed]:
        """The list of application servers, withheld or not, as discovery tells it."""
        ...

    def left_out(self) -> Sequence[str]:
        """Servers of the list that this proxy leaves out by itself (ejected, or not reached)."""
        ...

    def served_by(self, servers: Iterable[str]) -> Mapping[str, Figures]:
        """What these servers did for this proxy since it started."""
        ...

    def busy(self, servers: Iterable[str]) -> Sequence[str]:
        """Which of these servers still have a request from here."""
        ...

    def drain(self) -> None:
        """Take no more clients; again is harmless."""
        ...

    def in_service(self) -> bool:
        """Take clients again, as far as operators and releases go; False: it is stopping."""
        ...

    def end(self, version: str) -> None:
        """End this process in order, with exit status 0. What starts the next one of this name is to start
        ``version``; it may also ask any proxy's door (``GET /control/release/wanted?name=``)."""
        ...

    def withhold(self, servers: frozenset[str]) -> None:
        """Send nothing new to these servers, and to all others as before."""
        ...
