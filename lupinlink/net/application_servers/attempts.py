"""One attempt, from its start to its one end."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.interface import Status
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.request_types import AttemptResult
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import Settings


class ServerPools(Protocol):
    """All application servers' connections, as one attempt or connection sees them."""

    clock: ReactorClock
    settings: Settings
    counters: Counters
    connections: Slots[object]  # that are up, or on their way
    list_is_held: Callable[[], bool]  # whether no request may be written just now
    read_pending_updates: Callable[[], bool]  # reads discovery's news; whether some of it has not come whole


class AttemptConnection(Protocol):
    """The connection that an attempt travels on."""

    def drop(self) -> None: ...
    def catch_up(self) -> None: ...


class PendingConnection(Protocol):
    """A connection on its way up for an attempt."""

    def abandon(self) -> None: ...


class Attempt:
    """One attempt: ``ended`` fires once, after its connection was given back or closed."""

    def __init__(
        self,
        servers: ServerPools,
        server: str,
        encode_request: Callable[[float], tuple[bytes, Body | None]],
        until_ms: float,
        begin_by_ms: float = math.inf,
        wanted: Callable[[], bool] = lambda: True,
        only_head: bool = False,
    ) -> None:
        """``compose``: the request, for the time left by then; ``wanted``: whether anyone waits for it."""
        self.ended: Deferred[AttemptResult] = Deferred()
        self.server, self.only_head = server, only_head
        self._compose, self._until, self._begin_by, self._wanted = (
            encode_request,
            until_ms,
            begin_by_ms,
            wanted,
        )
        self.connection: AttemptConnection | None = None
        self.dial: PendingConnection | None = None
        self._servers = servers
        self._open = True
        self._deadline = servers.clock.at(until_ms, lambda: self.give_up(Status.TIMEOUT))

    def may_begin(self, trip_ms: float) -> bool:
        """Whether it may still be written, looked at anew: is it wanted, does its server still drop a repeat?

        ``trip_ms``: to the server and back. Its last byte has to arrive there before then.
        """
        now = self._servers.clock.now()
        late = now >= self._until or now + trip_ms >= self._begin_by
        return self._open and not late and self._wanted() and self._open  # who is asked may end it

    @property
    def is_open(self) -> bool:
        """Whether it has not ended yet."""
        return self._open

    def request(self) -> tuple[bytes, Body | None]:
        """What is to be written now."""
        return self._compose(self._until - self._servers.clock.now())

    def set_deadline(self, at_ms: float) -> None:
        """Another time to stop waiting at."""
        if self._open:
            self._until = at_ms
            self._servers.clock.drop(self._deadline)
            self._deadline = self._servers.clock.at(at_ms, lambda: self.give_up(Status.TIMEOUT))

    def end(self, end: AttemptResult) -> None:
        """The outcome; later ones find nothing to end."""
        if self._open:
            self._open = False
            self._servers.clock.drop(self._deadline)
            self.ended.callback(end)

    def give_up(self, status: Status) -> None:
        """Stop waiting; the connection is closed before anything else can go out.

        An answer that has come goes first: after a pause of this process its timers run before its reads.
        """
        if self._open and self.connection is not None:
            self.connection.catch_up()
        if not self._open:
            return
        dial, connection = self.dial, self.connection
        self.dial = self.connection = None
        if dial is not None:
            dial.abandon()
        if connection is not None:
            connection.drop()
        self.end(AttemptResult(status))

    def cancel_if_unsent(self) -> None:
        """End it if its connection is still on its way up: nothing of it was written, nor will be."""
        if self.dial is not None:
            self.give_up(Status.NOT_SENT)
