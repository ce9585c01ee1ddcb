"""Passes events to the decision module one after another, and hands out the actions that it returns."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from random import Random

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.clock import Clock
from lupinlink.interface import MembershipKind
from lupinlink.net.counters import Counters
from lupinlink.net.open_requests import OpenRequests
from lupinlink.net.request_types import FailureReason
from lupinlink.settings import Settings

log = logging.getLogger("lupinlink.net.proxy")  # shared with Proxy, which extends this class


class DecisionEvents(OpenRequests):
    """The queue of events. A defect of the module, or of an action, fails the request that it concerns."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, counters: Counters) -> None:
        super().__init__(settings, clock, counters)
        self._module = Balancer(settings, Random(seed))
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._action_handlers: dict[type, Callable[..., None]] = {}

    def membership_changed(self, kind: MembershipKind, endpoints: list[api.Endpoint]) -> None:
        """Pass on a change of the list of backends, or that asking for it failed."""
        self.handle(api.Membership(kind, endpoints))

    def handle_soon(self, event: api.Event) -> None:
        """As ``handle``, from the middle of a read: before any other event, at most a timer tick later.

        Handled at once, it would make the module send while the rest of what was read is still unparsed.
        """
        self._events.append(event)
        if not self._handling:
            self._clock.after(0.0, self._run)

    def handle(self, event: api.Event) -> None:
        """Pass an event to the module and carry out its actions; events that these cause are queued."""
        self._events.append(event)
        self._run()

    def _run(self) -> None:
        """Pass the queued events to the module."""
        if self._closed:
            self._events.clear()  # nothing is left to decide
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._handling = False

    def _handle_event(self, event: api.Event) -> None:
        broken = False
        try:
            actions = self._module.handle(self._clock.now(), event)
        except Exception:
            # The actions decided before the exception still hold: without its timers the module would stop.
            log.exception("decision failed", extra={"kv": {"event": type(event).__name__}})
            self.counters["internal_errors"] += 1
            actions, broken = self._module.actions, True
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("action failed", extra={"kv": {"action": type(action).__name__}})
                self.counters["internal_errors"] += 1
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self.end(int(action.request_id), FailureReason.INTERNAL)
        if broken and isinstance(event, api.Arrival | api.Outcome):
            self.end(int(event.request_id), FailureReason.INTERNAL)
