"""Establishes connections to application servers."""

from __future__ import annotations

from contextlib import suppress

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lupinlink.interface import Status
from lupinlink.net.application_servers.attempts import Attempt, ServerPools
from lupinlink.net.application_servers.connection import Connection
from lupinlink.net.application_servers.pool import Pool, PooledConnection
from lupinlink.net.request_types import AttemptResult, EndReason
from lupinlink.net.timer_wheel import Timer
from lupinlink.net.twisted_types import Connector, Reactor


class Dial(ClientFactory):
    """Establishes one connection, for one attempt."""

    noisy = False

    def __init__(self, servers: ServerPools, pool: Pool, attempt: Attempt) -> None:
        self._servers, self.pool = servers, pool
        self._attempt: Attempt | None = attempt
        self._timer: Timer | None = None
        self._connector: Connector | None = None
        self._began = servers.clock.now()
        self.handle = servers.connections.add(self)

    def start(self, reactor: Reactor) -> None:
        self._timer = self._servers.clock.after(self._servers.settings.dial_timeout_ms, self._too_slow)
        pool = self.pool
        # Twisted's own time-out is off: the timer above replaces it.
        connector = reactor.connectTCP(pool.host, pool.port, self, timeout=None)
        if self._timer is not None:
            self._connector = connector

    def buildProtocol(self, addr: object) -> Connection:
        connection = Connection(self._servers, self.pool, self)
        self._servers.connections.remove(self.handle)
        connection.handle = self._servers.connections.add(connection)
        return connection

    def connected(self, connection: PooledConnection) -> None:
        """The connection is established: send the attempt on it."""
        self.pool.record_dial(self._servers.clock.now() - self._began)
        attempt = self._take_attempt()
        if attempt is None:
            connection.drop(EndReason.GIVEN_UP)
        else:
            connection.carry(attempt)

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        self._servers.connections.remove(self.handle)
        attempt = self._take_attempt()
        if attempt is not None:
            self._servers.counters["dials_failed"] += 1
            self.pool.record_dial(why=reason.getErrorMessage())
            attempt.end(AttemptResult(Status.UNREACHABLE, why=EndReason.DIAL_FAILED))

    def abandon(self) -> None:
        """Stop connecting: nobody waits for it any more."""
        self._take_attempt()
        if self._connector is not None:
            with suppress(Exception):
                self._connector.stopConnecting()

    def _too_slow(self) -> None:
        attempt = self._attempt
        self.abandon()
        if attempt is not None:
            self._servers.counters["dials_too_slow"] += 1
            self.pool.record_dial(why="too slow")
            attempt.end(AttemptResult(Status.UNREACHABLE, why=EndReason.DIAL_SLOW))

    def _take_attempt(self) -> Attempt | None:
        attempt, self._attempt = self._attempt, None
        if self._timer is not None:
            self._timer.drop()
            self._timer = None
        if attempt is not None:
            attempt.dial = None
        return attempt
