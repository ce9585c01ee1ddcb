"""Closes the clients' connections during a drain, a handover or a stop."""

from __future__ import annotations

from collections.abc import Callable

from lupinlink.net.components import Components

CHECK_MS = 20.0  # between checks


class ClientDrain:
    """Checks periodically what the lifecycle wants closed; calls ``exit_process`` once it may exit."""

    def __init__(self, components: Components, exit_process: Callable[[], None]) -> None:
        self._clock, self._lifecycle = components.clock, components.lifecycle
        self._proxy, self._clients = components.proxy, components.clients
        self._discovery_client = components.discovery_client
        self._exit_process = exit_process
        self._checking = False

    def start(self) -> None:
        """Start checking, unless it runs already."""
        if not self._checking:
            self._checking = True
            self._check()

    def _check(self) -> None:
        """Close what may be closed and answer open requests when it is time; exit once nothing is left."""
        now, state = self._clock.now(), self._lifecycle
        if state.keeps_connections():
            self._checking = False
            return
        if state.must_answer_now(now):
            self._end_requests()
        if now >= state.close_idle_from():
            self._clients.close_idle(include_new=state.stopping)
        # Connections in the accept queue count: their clients see them as open, and an exit would reset them.
        queued = self._clients.queued
        if state.end_accepting(now, queued):
            self._clients.close_listener()
        left = len(self._clients.connections) + self._proxy.open + queued
        undelivered = self._clients.undelivered if state.must_answer_now(now) else left
        if state.may_exit(now, left, undelivered):
            self._exit_process()
        else:
            self._clock.after(CHECK_MS, self._check)

    def _end_requests(self) -> None:
        """Answer all requests, from now on at once: what remains is to deliver answers, which may take long.

        That needs no decisions and no list of backends, so nobody is asked for them any more.
        """
        self._proxy.close()
        self._clients.reject_unfinished()
        self._discovery_client.stop()
