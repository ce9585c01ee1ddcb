"""Keeps an attempt until the connection that it is to travel on has rested."""

from __future__ import annotations

from typing import Protocol

from lupinlink.net.application_servers.attempts import Attempt
from lupinlink.net.application_servers.idle_connections import PooledConnection
from lupinlink.net.timer_wheel import ReactorClock


class AttemptSender(Protocol):
    """Finds another connection for an attempt whose connection ended."""

    clock: ReactorClock

    def carry_on_kept(self, connection: PooledConnection, attempt: Attempt) -> bool:
        """Send the attempt on a connection that has rested; False if that may not be used any more."""
        ...

    def send(self, attempt: Attempt) -> object:
        """Send the attempt on any connection to its server."""
        ...


class RestingConnection:
    """A connection that is taken from its pool, and the attempt that waits for it: a PendingConnection."""

    def __init__(
        self, sender: AttemptSender, connection: PooledConnection, attempt: Attempt, wait_ms: float
    ) -> None:
        self._sender, self._connection = sender, connection
        self._attempt: Attempt | None = attempt
        attempt.dial = self
        connection.on_closed = self._closed
        self._timer = sender.clock.after(wait_ms, self._rested)

    def abandon(self) -> None:
        """The attempt has ended: return the connection to its pool."""
        if self._take_attempt() is not None:
            self._connection.pool.return_unused(self._connection)

    def _rested(self) -> None:
        attempt = self._take_attempt()
        if attempt is not None and not self._sender.carry_on_kept(self._connection, attempt):
            self._sender.send(attempt)

    def _closed(self) -> None:
        attempt = self._take_attempt()
        if attempt is not None:
            self._sender.send(attempt)

    def _take_attempt(self) -> Attempt | None:
        attempt, self._attempt = self._attempt, None
        self._connection.on_closed = None
        self._timer.drop()
        if attempt is not None:
            attempt.dial = None
        return attempt
