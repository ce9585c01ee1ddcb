"""Migrations as a component of the fleet extension: their view of this proxy, and the shared leadership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinlink.migration.agent import Base, Migrations
from lupinlink.migration.model import Figures
from lupinlink.release.settings import ReleaseSettings

if TYPE_CHECKING:
    from lupinlink.migration.settings import MigrationSettings
    from lupinlink.net.fleet import FleetContext
DRAIN_REASON = "migration"


class MigrationHost:
    """Implements ``lupinlink.migration.host.Host`` over the service."""

    def __init__(self, context: FleetContext) -> None:
        self._context, self._host = context, context.host

    @property
    def ready(self) -> bool:
        return self._host.ready and not self._host.ends_soon

    def figures(self) -> Figures:
        """The present state; a server is warm once it is older than the settings' cold time."""
        here, now, cold_ms = self._host.gauges(), self._context.clock.now(), self._host.settings.cold_ms
        warm = [one for one in self._host.servers() if one.state == "ready"]
        warm = [one for one in warm if one.started_ms <= 0.0 or now - one.started_ms >= cold_ms]
        return Figures(
            live=here.connections, idle=here.idle, closing=here.closing, requests=here.requests,
            oldest_ms=here.oldest_ms, bytes_to_go=here.bytes_to_go, untold=here.untold, unread=here.unread,
            capacity=here.capacity, servers=here.servers_ready, warm=min(len(warm), here.servers_ready),
        )  # fmt: skip

    def drain(self) -> None:
        self._context.drain_reasons.want(DRAIN_REASON, out=True)

    def in_service(self) -> None:
        self._context.drain_reasons.want(DRAIN_REASON, out=False)

    def end_last(self) -> int:
        return self._host.answer_all_and_close_idle()

    def remember(self, text: bytes) -> None:
        """Does nothing: the platform empties a process's folder at each start, so no file would survive."""

    def recall(self) -> bytes:
        return b""


def make(context: FleetContext, settings: MigrationSettings) -> Migrations:
    """Make the component; gates and bounds come from the release table, or its defaults if there is none."""
    release = context.settings_by_table.get("release") or ReleaseSettings()
    base = Base(context.agreement, context.clock, context.draw, "", context.run_id)
    return Migrations(
        base, context.member, lambda: MigrationHost(context), context.leader_election(), settings, release
    )
