"""The service as the fleet extension sees it: implements ``ExtensionHost`` over the process's components.

Loaded only if there is a fleet file.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl

from lupinlink.coordination.component import AdminHandler, AdminRequest
from lupinlink.interface import NEVER_RAN, Status
from lupinlink.net.clients import Phase
from lupinlink.net.components import Components
from lupinlink.net.fleet_extension import FleetExtension, Gauges, ListedServer, Outcomes
from lupinlink.net.lifecycle import LifecycleState
from lupinlink.net.list_format import STATE_BY_NAME
from lupinlink.net.management import BadCallError, Handler
from lupinlink.net.request_types import ClientRequest
from lupinlink.settings import Config

log = logging.getLogger(__name__)
REPORT_LIFETIME_MS = 10000.0  # how long a backend's reported utilization is used
MAX_QUERY_FIELDS = 32  # in the query of a management call
# With releases, a proxy needs a permit before it drains, so the extension handles these calls of the service.
REPLACEABLE_PATHS = frozenset({"/control/out-of-service", "/control/in-service"})
RouteTable = dict[str, dict[str, Handler]]


class ServiceActions(NamedTuple):
    """Actions of the service that the extension may start; the management API's calls do the same."""

    drain: Callable[[], bool]
    in_service: Callable[[], bool]
    end: Callable[[], None]


class UtilizationReports:
    """The utilization that each backend last reported; old reports expire."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[float, float]] = {}

    def record(self, server: str, report: Mapping[str, float], now: float) -> None:
        """Record a load report that came with an answer or a probe."""
        use = report.get("utilization")
        if use is not None:
            self._last[server] = use, now

    def recent(self, now: float) -> dict[str, float]:
        """Utilization by backend, from reports not older than REPORT_LIFETIME_MS."""
        self._last = {name: seen for name, seen in self._last.items() if now - seen[1] <= REPORT_LIFETIME_MS}
        return {name: use for name, (use, _) in self._last.items()}


class OutcomeCounts:
    """Counts how attempts ended, by backend."""

    def __init__(self) -> None:
        self._counts: dict[str, Outcomes] = {}

    def record(self, server: str, status: Status) -> None:
        """Record the end of one attempt."""
        previous = self._counts.get(server, Outcomes())
        served, refused, cancelled = status == Status.OK, status in NEVER_RAN, status == Status.CANCELLED
        failed = not (served or refused or cancelled)
        self._counts[server] = Outcomes(
            previous[0] + 1, previous[1] + served, previous[2] + refused, previous[3] + failed
        )

    def of(self, listed: Iterable[str]) -> dict[str, Outcomes]:
        """The counts of the listed backends; those of others are dropped."""
        self._counts = {name: self._counts[name] for name in listed if name in self._counts}
        return dict(self._counts)


def make_handler(call: AdminHandler) -> Handler:
    """A handler for the management API that parses the query for a call of the extension.

    It raises BadCallError with one line of text for a query that cannot be parsed.
    """

    def handle(query: str, body: bytes) -> tuple[int, str]:
        try:
            pairs = parse_qsl(
                query,
                keep_blank_values=True,
                strict_parsing=True,
                errors="strict",
                max_num_fields=MAX_QUERY_FIELDS,
            )
        except ValueError as exc:
            raise BadCallError(400, f"query: {exc}") from exc
        fields = dict(pairs)
        if len(fields) < len(pairs):
            duplicate = next(name for i, (name, _) in enumerate(pairs) if name in dict(pairs[:i]))
            raise BadCallError(400, f"query: {duplicate!r} is given twice")
        answer = call(AdminRequest(fields, body))
        return answer.status, answer.text

    return handle


class FleetHost:
    """Implements ``ExtensionHost`` over the components of the process."""

    def __init__(
        self, fleet: FleetExtension, config: Config, components: Components, actions: ServiceActions
    ) -> None:
        self.name, self.settings = config.name, config.settings
        self.reactor, self.clock, self._actions = components.reactor, components.clock, actions
        self._fleet, self._lifecycle, self._counters = fleet, components.lifecycle, components.counters
        self._proxy, self._clients, self._discovery_client, self._servers = (
            components.proxy, components.clients, components.discovery_client, components.servers,
        )  # fmt: skip
        self._reports, self._outcomes = UtilizationReports(), OutcomeCounts()
        self._started = self._stopped = False
        self._proxy.quota_check = self._check_quota
        self._proxy.on_settled = fleet.settled
        self._proxy.on_load_report, self._proxy.on_attempt_ended = self._on_load_report, self._outcomes.record

    def calls(self, own_routes: RouteTable) -> RouteTable:
        """The routes of the management API: those of the service and those of the extension."""
        table = dict(own_routes)
        for path, methods in self._fleet.admin_routes().items():
            if path in own_routes and path not in REPLACEABLE_PATHS:
                raise ValueError(f"{path} is a call of the service itself")
            table[path] = {method: make_handler(call) for method, call in methods.items()}
        return table

    def start(self) -> None:
        """Start the extension; the reactor runs."""
        self._started = True
        try:
            self._fleet.started(self)
        except Exception:  # clients are served without the extension
            log.exception("fleet failed to start")

    def stop(self) -> None:
        """Stop the extension; a second call has no effect."""
        if self._started and not self._stopped:
            self._stopped = True
            try:
                self._fleet.stopping()
            except Exception:  # the process stops even if the extension fails to
                log.exception("fleet failed to stop")

    def _check_quota(self, call: ClientRequest) -> float | None:
        refusal = self._fleet.admits(call)
        return refusal.retry_after_ms if refusal is not None else None

    def _on_load_report(self, server: str, report: Mapping[str, float]) -> None:
        self._reports.record(server, report, self.clock.now())

    @property
    def state(self) -> LifecycleState:
        return self._lifecycle.state

    @property
    def drained(self) -> bool:
        return self._lifecycle.drained

    @property
    def ready(self) -> bool:
        return self._lifecycle.ready(self._discovery_client.ready)

    @property
    def ends_soon(self) -> bool:
        return self._lifecycle.stopping or self._lifecycle.handed_over

    def drain(self) -> None:
        """As the call of the management API."""
        self._actions.drain()

    def in_service(self) -> bool:
        """As the call of the management API."""
        return self._actions.in_service()

    def end(self) -> None:
        """End the process as SIGTERM does."""
        self._actions.end()

    def answer_all_and_close_idle(self) -> int:
        """Answer every open request now and close idle connections; returns the number of connections."""
        connections = len(self._clients.connections)
        self._proxy.end_all()
        self._clients.close_idle(include_new=True)
        return connections

    def gauges(self) -> Gauges:
        """The present state of connections and requests."""
        phases, now = self._clients.phases, self.clock.now()
        counts = {phase: len(clients) for phase, clients in phases.items()}
        # The clients of each phase are ordered by the time they entered it.
        oldest = [next(iter(phases[phase])).since for phase in (Phase.OPEN, Phase.BODY) if counts[phase]]
        in_transfer = {**phases[Phase.BODY], **self._clients.uploading, **self._clients.streaming}
        remaining = [client.bytes_to_go() for client in in_transfer]
        utilization = self.utilization()
        uses = [
            utilization[one.name]
            for one in self.servers()
            if one.state == "ready" and one.name in utilization
        ]
        return Gauges(
            connections=len(self._clients.connections),
            idle=counts[Phase.SILENT] + counts[Phase.RESTING],
            busy=counts[Phase.HEAD] + counts[Phase.BODY] + counts[Phase.OPEN],
            closing=counts[Phase.CLOSING],
            requests=self._proxy.open,
            oldest_ms=now - min(oldest, default=now),
            bytes_to_go=sum(known_bytes for known_bytes, _ in remaining),
            untold=sum(untold for _, untold in remaining),
            unread=sum(client.not_reading for client in self._clients.streaming),
            servers_ready=self._discovery_client.ready,
            use=sum(uses) / len(uses) if uses else None,
            counters=dict(self._counters),
            capacity=self._clients.connections.capacity,
        )

    def servers(self) -> list[ListedServer]:
        """The backends on the list."""
        found = []
        for item in self._discovery_client.snapshot()["targets"]:
            name, listed = str(item["uid"]), STATE_BY_NAME.get(item["state"])
            state = "ready" if listed is not None and listed.name == "READY" else "draining"
            start = float(item.get("boot_ms") or 0.0)
            found.append(
                ListedServer(name, str(item.get("az") or ""), state, self._servers.is_reachable(name), start)
            )
        return found

    def utilization(self) -> Mapping[str, float]:
        """Recently reported utilization by backend."""
        return self._reports.recent(self.clock.now())

    def outcomes(self) -> Mapping[str, Outcomes]:
        """How attempts ended, by backend."""
        return self._outcomes.of([one.name for one in self.servers()])

    def busy_servers(self) -> set[str]:
        """Backends with an open request of this process."""
        return self._servers.busy_servers()

    def withhold(self, names: frozenset[str]) -> None:
        """Take these backends, and no others, out of use."""
        self._discovery_client.withhold(names)
