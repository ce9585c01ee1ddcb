"""Sees clients off while a drain, a handover or a stop is on, until nothing more can come."""

from __future__ import annotations

from collections.abc import Callable

from lupinlink.net.components import Components

CHECK_MS = 20.0  # how often connections are looked through while they are to go


class ClientDrain:
    """The lifecycle says who goes when; ``leave`` is called once the process may end."""

    def __init__(self, parts: Components, leave: Callable[[], None]) -> None:
        self._clock, self._lifecycle = parts.clock, parts.lifecycle
        self._proxy, self._clients = parts.proxy, parts.clients
        self._leave = leave
        self._checking = False

    def watch(self) -> None:
        """Begin, unless it is on already."""
        if not self._checking:
            self._checking = True
            self._check()

    def _check(self) -> None:
        """While clients are to go: see them off, and leave once nothing more can come."""
        now, state = self._clock.now(), self._lifecycle
        if state.keeps_connections():
            self._checking = False
            return
        if state.must_answer_now(now):
            self._proxy.end_all()
        if now >= state.close_idle_from():
            self._clients.close_idle(include_new=state.stopping)
        # Danger: who waits in the kernel's queue is taken already, as clients see it, and a close resets it.
        left = len(self._clients.connections) + self._proxy.open + self._clients.queued
        if state.may_exit(now, left):
            self._leave()
        else:
            self._clock.after(CHECK_MS, self._check)
