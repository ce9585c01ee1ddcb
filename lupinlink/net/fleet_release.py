"""Makes releases a component of the fleet extension: their view of this proxy, and the calls to drain it."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from lupinlink.coordination.component import AdminRoutes, Member
from lupinlink.net.lifecycle import LifecycleState
from lupinlink.release.agent import ReleaseAgent
from lupinlink.release.presence import Listed
from lupinlink.release.records import Figures, Report

if TYPE_CHECKING:
    from lupinlink.net.fleet import FleetContext
    from lupinlink.release.settings import ReleaseSettings
log = logging.getLogger(__name__)
DRAIN_REASON = "release"
CPU_WINDOW_S = 1.0  # least time over which the CPU share is measured


class ReleaseHost:
    """Implements ``lupinlink.release.host.Host`` over the service."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        self._cpu_checked_at, self._cpu_used_s, self._cpu_share = time.monotonic(), time.process_time(), 0.0

    @property
    def member(self) -> Member:
        return self._context.member

    def ready(self) -> bool:
        host = self._context.host
        return host.ready and not host.ends_soon

    def serving(self) -> bool:
        return self.ready() and self._context.host.state is LifecycleState.IN_SERVICE

    def standby(self) -> bool:
        """Whether only migrations keep it out, and none has it serve: it counts neither as out nor in use."""
        migration = self._context.components.get("migration")
        return self._context.drain_reasons.only("migration") and bool(getattr(migration, "standby", False))

    def left(self) -> int:
        here = self._context.host.gauges()
        return here.connections + here.requests

    def use(self) -> float:
        """The share of one core that this process uses, measured over a second or more; at most 1."""
        now, used = time.monotonic(), time.process_time()
        if now - self._cpu_checked_at >= CPU_WINDOW_S:
            self._cpu_share = min(1.0, (used - self._cpu_used_s) / (now - self._cpu_checked_at))
            self._cpu_checked_at, self._cpu_used_s = now, used
        return self._cpu_share

    def need(self) -> float:
        here = self._context.host.gauges()
        return here.use * here.servers_ready if here.use is not None else 0.0

    def figures(self) -> Figures:
        """Counts of clients' requests; ``served`` are in time, since late ones are answered as failed."""
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
        held = self._context.host.busy_servers()
        return [name for name in servers if name in held]

    def drain(self) -> None:
        self._context.drain_reasons.want(DRAIN_REASON, out=True)

    def in_service(self) -> bool:
        return self._context.drain_reasons.want(DRAIN_REASON, out=False)

    def end(self, version: str) -> None:
        """The starter of the next process of this name reads the version from the log or the API."""
        log.info("ends for a release", extra={"kv": {"version": version}})
        self._context.host.end()

    def withhold(self, servers: frozenset[str]) -> None:
        self._context.host.withhold(servers)


class Release(ReleaseAgent):
    """The release component, which makes the service's own two calls to drain ask for a permit first."""

    out_for_migration: Callable[[], bool]  # whether migrations keep this proxy out of service

    def _report(self) -> Report:
        # Otherwise the proxy would count as drained since before this process, and ask for a permit forever.
        self._served = self._served or self.out_for_migration()
        return super()._report()

    def admin_routes(self) -> AdminRoutes:
        return {**super().admin_routes(), **self.drains()}


def make(context: FleetContext, settings: ReleaseSettings) -> Release:
    """Make the component; migrations share its leadership."""
    lock_delay_ms = context.settings.lock_delay_s * 1000.0
    host = ReleaseHost(context)
    component = Release(
        context.agreement,
        context.clock,
        context.process_lease,
        host,
        settings,
        context.draw,
        "",
        lock_delay_ms,
        context.run_id,
    )
    component.out_for_migration = lambda: context.drain_reasons.wants("migration")
    context.use_leader_election(component.lead)
    return component
