"""The service's side of the seam: carries a fleet's wishes to its parts. Loaded only with a fleet file."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl

from lupinlink.coordination.part import Ask, DoorCall
from lupinlink.interface import NEVER_RAN, Status
from lupinlink.net.clients import Phase
from lupinlink.net.components import Components
from lupinlink.net.fleet_extension import FleetExtension, Gauges, Listed, Outcomes
from lupinlink.net.lifecycle import LifecycleState
from lupinlink.net.list_format import STATE_BY_NAME
from lupinlink.net.management import Call as ManagementCall
from lupinlink.net.management import WrongAskError
from lupinlink.net.request_types import ClientRequest
from lupinlink.settings import Config

log = logging.getLogger(__name__)
REPORT_MS = 10000.0  # so long does a server's report of its use count
MOST_FIELDS = 32  # of a call's query
# With a release who wants out asks for a permit first, so the service's own two calls are the fleet's then.
REPLACEABLE = frozenset({"/control/out-of-service", "/control/in-service"})
DoorCallTable = dict[str, dict[str, ManagementCall]]


class Acts(NamedTuple):
    """What the service does for a fleet; a call of the door does no other."""

    drain: Callable[[], bool]
    in_service: Callable[[], bool]
    end: Callable[[], None]


class Reports:
    """The use that each application server last reported; what is old is forgotten."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[float, float]] = {}

    def heard(self, server: str, report: Mapping[str, float], now: float) -> None:
        """A report that came with an answer or a probe."""
        use = report.get("utilization")
        if use is not None:
            self._last[server] = use, now

    def use(self, now: float) -> dict[str, float]:
        """By server, of the last 10 s."""
        self._last = {name: seen for name, seen in self._last.items() if now - seen[1] <= REPORT_MS}
        return {name: use for name, (use, _) in self._last.items()}


class Tally:
    """How attempts ended, by application server."""

    def __init__(self) -> None:
        self._by: dict[str, Outcomes] = {}

    def ended(self, server: str, status: Status) -> None:
        """One attempt."""
        was = self._by.get(server, Outcomes())
        ok, away, off = status == Status.OK, status in NEVER_RAN, status == Status.CANCELLED
        failed = not (ok or away or off)
        self._by[server] = Outcomes(was[0] + 1, was[1] + ok, was[2] + away, was[3] + failed)

    def of(self, listed: Iterable[str]) -> dict[str, Outcomes]:
        """Of these; the others are forgotten."""
        self._by = {name: self._by[name] for name in listed if name in self._by}
        return dict(self._by)


def asked(call: DoorCall) -> ManagementCall:
    """A fleet's call as the door makes it: reads the query; what cannot be read is told in one line."""

    def made(query: str, body: bytes) -> tuple[int, str]:
        try:
            pairs = parse_qsl(
                query,
                keep_blank_values=True,
                strict_parsing=True,
                errors="strict",
                max_num_fields=MOST_FIELDS,
            )
        except ValueError as exc:
            raise WrongAskError(400, f"query: {exc}") from exc
        fields = dict(pairs)
        if len(fields) < len(pairs):
            twice = next(name for i, (name, _) in enumerate(pairs) if name in dict(pairs[:i]))
            raise WrongAskError(400, f"query: {twice!r} is given twice")
        answer = call(Ask(fields, body))
        return answer.status, answer.text

    return made


class FleetHost:
    """Host of the seam, over the service's parts."""

    def __init__(self, fleet: FleetExtension, config: Config, parts: Components, acts: Acts) -> None:
        self.name, self.settings = config.name, config.settings
        self.reactor, self.clock, self._acts = parts.reactor, parts.clock, acts
        self._fleet, self._lifecycle, self._counters = fleet, parts.lifecycle, parts.counters
        self._proxy, self._clients, self._discovery_client, self._servers = (
            parts.proxy, parts.clients, parts.discovery_client, parts.servers,
        )  # fmt: skip
        self._reports, self._tally = Reports(), Tally()
        self._started = self._stopped = False
        self._proxy.quota_check = self._admits
        self._proxy.on_settled = fleet.settled
        self._proxy.on_load_report, self._proxy.on_attempt_ended = self._reported, self._tally.ended

    def calls(self, own: DoorCallTable) -> DoorCallTable:
        """The door's calls: the service's ``own`` and the fleet's."""
        table = dict(own)
        for path, methods in self._fleet.calls().items():
            if path in own and path not in REPLACEABLE:
                raise ValueError(f"{path} is a call of the service itself")
            table[path] = {method: asked(call) for method, call in methods.items()}
        return table

    def start(self) -> None:
        """The reactor runs."""
        self._started = True
        try:
            self._fleet.started(self)
        except Exception:  # clients are served without it
            log.exception("fleet failed to start")

    def stop(self) -> None:
        """This process ends; a second call does nothing."""
        if self._started and not self._stopped:
            self._stopped = True
            try:
                self._fleet.stopping()
            except Exception:  # a stop goes on, whatever the fleet's shell makes of it
                log.exception("fleet failed to stop")

    def _admits(self, call: ClientRequest) -> float | None:
        refusal = self._fleet.admits(call)
        return refusal.retry_after_ms if refusal is not None else None

    def _reported(self, server: str, report: Mapping[str, float]) -> None:
        self._reports.heard(server, report, self.clock.now())

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
        """As the door's call."""
        self._acts.drain()

    def in_service(self) -> bool:
        """As the door's call."""
        return self._acts.in_service()

    def end(self) -> None:
        """As SIGTERM."""
        self._acts.end()

    def end_last(self) -> int:
        """Every request gets its answer; what is at rest is closed."""
        here = len(self._clients.connections)
        self._proxy.end_all()
        self._clients.close_idle(include_new=True)
        return here

    def gauges(self) -> Gauges:
        """What is here now."""
        phases, now = self._clients.phases, self.clock.now()
        counts = {phase: len(clients) for phase, clients in phases.items()}
        # Each phase is in order of time.
        oldest = [next(iter(phases[phase])).since for phase in (Phase.OPEN, Phase.BODY) if counts[phase]]
        long = {**phases[Phase.BODY], **self._clients.uploading, **self._clients.streaming}
        left = [client.bytes_to_go() for client in long]
        known = self.use()
        uses = [known[one.name] for one in self.servers() if one.state == "ready" and one.name in known]
        return Gauges(
            connections=len(self._clients.connections),
            idle=counts[Phase.SILENT] + counts[Phase.RESTING],
            busy=counts[Phase.HEAD] + counts[Phase.BODY] + counts[Phase.OPEN],
            closing=counts[Phase.CLOSING],
            requests=self._proxy.open,
            oldest_ms=now - min(oldest, default=now),
            bytes_to_go=sum(told for told, _ in left),
            untold=sum(untold for _, untold in left),
            unread=sum(client.not_reading for client in self._clients.streaming),
            servers_ready=self._discovery_client.ready,
            use=sum(uses) / len(uses) if uses else None,
            counters=dict(self._counters),
            capacity=self._clients.connections.capacity,
        )

    def servers(self) -> list[Listed]:
        """The list."""
        found = []
        for item in self._discovery_client.snapshot()["targets"]:
            name, state = str(item["uid"]), STATE_BY_NAME.get(item["state"])
            ready = "ready" if state is not None and state.name == "READY" else "draining"
            began = float(item.get("boot_ms") or 0.0)
            found.append(
                Listed(name, str(item.get("az") or ""), ready, self._servers.is_reachable(name), began)
            )
        return found

    def use(self) -> Mapping[str, float]:
        """Reported use by server."""
        return self._reports.use(self.clock.now())

    def outcomes(self) -> Mapping[str, Outcomes]:
        """How attempts ended, by server."""
        return self._tally.of([one.name for one in self.servers()])

    def busy(self) -> set[str]:
        """Servers with a request from here."""
        return self._servers.busy_servers()

    def withhold(self, names: frozenset[str]) -> None:
        """These are out of use, and no others."""
        self._discovery_client.withhold(names)
