"""One attempt, from its start to its one end."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.interface import Status
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.slots import Slots
from lupinlink.net.terms import AttemptEnd
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Settings


class Servers(Protocol):
    """All application servers' connections, as one attempt or connection sees them."""

    clock: Clockwork
    settings: Settings
    counters: Counters
    connections: Slots[object]  # that are up, or on their way


class Carrier(Protocol):
    """The connection that an attempt travels on."""

    def drop(self) -> None: ...


class Way(Protocol):
    """A connection on its way up for an attempt."""

    def abandon(self) -> None: ...


class Attempt:
    """One attempt: ``ended`` fires once, after its connection was given back or closed."""

    def __init__(
        self,
        servers: Servers,
        server: str,
        data: bytes,
        until_ms: float,
        body: Body | None = None,
        only_head: bool = False,
    ) -> None:
        """``data``: what goes out first; ``body``: what follows it as it comes."""
        self.ended: Deferred[AttemptEnd] = Deferred()
        self.server, self.data, self.body, self.only_head = server, data, body, only_head
        self.connection: Carrier | None = None
        self.dial: Way | None = None
        self._servers = servers
        self._open = True
        self._deadline = servers.clock.at(until_ms, lambda: self.give_up(Status.TIMEOUT))

    def end_by(self, at_ms: float) -> None:
        """Another time to stop waiting at."""
        if self._open:
            self._servers.clock.drop(self._deadline)
            self._deadline = self._servers.clock.at(at_ms, lambda: self.give_up(Status.TIMEOUT))

    def end(self, end: AttemptEnd) -> None:
        """The outcome; later ones find nothing to end."""
        if self._open:
            self._open = False
            self._servers.clock.drop(self._deadline)
            self.ended.callback(end)

    def recall(self) -> None:
        """Not to be sent after all: ends it unless it has begun to be written."""
        if self.connection is None:
            self.give_up(Status.NOT_SENT)

    def give_up(self, status: Status) -> None:
        """Stop waiting; the connection is closed before anything else can go out."""
        if not self._open:
            return
        dial, connection = self.dial, self.connection
        self.dial = self.connection = None
        if dial is not None:
            dial.abandon()
        if connection is not None:
            connection.drop()
        self.end(AttemptEnd(status))
