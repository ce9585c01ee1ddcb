"""Wires drains and releases into the fleet's shell: their view of this proxy, and the door's two calls."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from lupinlink.coordination.part import DoorCalls, Member
from lupinlink.net.lifecycle import LifecycleState
from lupinlink.release.agent import ReleaseAgent
from lupinlink.release.presence import Listed
from lupinlink.release.records import Figures, Report

if TYPE_CHECKING:
    from lupinlink.net.fleet import FleetContext
    from lupinlink.release.settings import ReleaseSettings
log = logging.getLogger(__name__)
WHO = "release"
USE_S = 1.0  # the share of the core is looked at over so long at least


class ReleaseHost:
    """``lupinlink.release.host.Host`` over the service."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        self._looked, self._used, self._use = time.monotonic(), time.process_time(), 0.0

    @property
    def member(self) -> Member:
        return self._context.member

    def ready(self) -> bool:
        host = self._context.host
        return host.ready and not host.ends_soon

    def serving(self) -> bool:
        return self.ready() and self._context.host.state is LifecycleState.IN_SERVICE

    def standby(self) -> bool:
        """Only migrations want it out, and none has it serve: so it counts neither as out nor as in use."""
        migration = self._context.made.get("migration")
        return self._context.wishes.only("migration") and bool(getattr(migration, "standby", False))

    def left(self) -> int:
        here = self._context.host.gauges()
        return here.connections + here.requests

    def use(self) -> float:
        """This process's share of its one core, over a second at least; 1 at most."""
        now, used = time.monotonic(), time.process_time()
        if now - self._looked >= USE_S:
            self._use = min(1.0, (used - self._used) / (now - self._looked))
            self._looked, self._used = now, used
        return self._use

    def need(self) -> float:
        here = self._context.host.gauges()
        return here.use * here.servers_ready if here.use is not None else 0.0

    def figures(self) -> Figures:
        """Of the clients' requests; ``served`` is in time, for what is late is answered as failed."""
        count = self._context.host.gauges().counters.get
        return Figures(count("requests", 0), count("served", 0), count("refused", 0), count("failed", 0))

    def servers(self) -> Sequence[Listed]:
        return [
            Listed(one.name, one.zone, one.state == "ready", f"{one.started_ms:.0f}")
            for one in self._context.host.servers()
        ]

    def left_out(self) -> Sequence[str]:
        return [one.name for one in self._context.host.servers() if not one.reached]

    def served_by(self, servers: Iterable[str]) -> Mapping[str, Figures]:
        known = self._context.host.outcomes()
        return {name: Figures(*known[name]) for name in servers if name in known}

    def busy(self, servers: Iterable[str]) -> Sequence[str]:
        held = self._context.host.busy()
        return [name for name in servers if name in held]

    def drain(self) -> None:
        self._context.wishes.want(WHO, out=True)

    def in_service(self) -> bool:
        return self._context.wishes.want(WHO, out=False)

    def end(self, version: str) -> None:
        """What starts the next process of this name reads the version off the log or the door."""
        log.info("ends for a release", extra={"kv": {"version": version}})
        self._context.host.end()

    def withhold(self, servers: frozenset[str]) -> None:
        self._context.host.withhold(servers)


class Release(ReleaseAgent):
    """The part; the service's own two calls to drain ask for a permit first."""

    kept_out: Callable[[], bool]  # whether migrations want this proxy out

    def _report(self) -> Report:
        # Danger: else it is taken for drained before this process, and asks for a permit for good.
        self._served = self._served or self.kept_out()
        return super()._report()

    def calls(self) -> DoorCalls:
        return {**super().calls(), **self.drains()}


def make(context: FleetContext, settings: ReleaseSettings) -> Release:
    """The part. Its lead is that of the migrations as well."""
    lock_delay_ms = context.settings.lock_delay_s * 1000.0
    host = ReleaseHost(context)
    made = Release(
        context.agreement,
        context.clock,
        context.tenure,
        host,
        settings,
        context.draw,
        "",
        lock_delay_ms,
        context.run,
    )
    made.kept_out = lambda: context.wishes.wants("migration")
    context.lead_by(made.lead)
    return made
