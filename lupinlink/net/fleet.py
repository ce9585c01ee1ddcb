"""The fleet extension of one proxy; loaded only when a fleet file is given.

It consists of components (quota, release, migration), one for each table of the fleet file. All are made
before the service, which then asks for their management calls; they start to act in ``started``. Each has a
module (``COMPONENT_MODULES``) whose ``make`` takes the ``FleetContext`` and the table's settings and returns
a ``Component``, which may implement ``AdmissionControl`` as well.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from importlib import import_module
from typing import TYPE_CHECKING, Any, Protocol, cast, runtime_checkable

from lupinlink.config.errors import FleetComponentError
from lupinlink.config.fleet import AgreementSettings, FleetFile
from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.component import AdminRequest, AdminResponse, AdminRoutes, Component, Member
from lupinlink.coordination.contract import Agreement
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.presence import Presence
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.coordination.rate_limit import CallTiming
from lupinlink.coordination.transport import Transport
from lupinlink.errors import LupinError
from lupinlink.net.drain_reasons import DrainReasons
from lupinlink.net.fleet_extension import ExtensionHost, Refusal
from lupinlink.net.timer_wheel import ReactorClock

if TYPE_CHECKING:
    from lupinlink.net.request_types import ClientRequest
    from lupinlink.net.twisted_types import Reactor
    from lupinlink.settings import Config

log = logging.getLogger(__name__)
COMPONENT_MODULES = {  # by table of the fleet file
    "release": "lupinlink.net.fleet_release",
    "quota": "lupinlink.net.fleet_quota",
    "migration": "lupinlink.net.fleet_migration",
}


@runtime_checkable
class AdmissionControl(Protocol):
    """A component that may refuse calls; at most one does."""

    def admits(self, call: ClientRequest) -> Refusal | None:
        """As ``FleetExtension.admits``."""
        ...

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """As ``FleetExtension.settled``."""
        ...


@dataclass(slots=True)
class FleetContext:
    """What the components of the extension share."""

    agreement: Agreement
    clock: ReactorClock
    process_lease: ProcessLease  # shared: a lease per component would cost a call every 3 s each
    draw: Callable[[], float]
    member: Member
    settings: AgreementSettings
    folder: str  # the folder of the fleet file
    settings_by_table: Mapping[str, Any] = field(default_factory=dict)  # the settings of the components
    components: dict[str, Component] = field(default_factory=dict)  # those made so far, by table
    run_id: str = ""  # random, identifies this process
    _host: ExtensionHost | None = None
    _leader_election: LeaderElection | None = None
    _election_managed_by_component: bool = False  # a component starts and stops it
    _drain_reasons: DrainReasons | None = None

    @property
    def host(self) -> ExtensionHost:
        """The service; available from ``Component.start`` on."""
        assert self._host is not None, "the service has not started"
        return self._host

    @property
    def drain_reasons(self) -> DrainReasons:
        """The reasons to keep this proxy out of service; components drain it, or end a drain, by these."""
        if self._drain_reasons is None:
            self._drain_reasons = DrainReasons(self.host.drain, self.host.in_service)
        return self._drain_reasons

    def leader_election(self) -> LeaderElection:
        """The leadership that all components share: its holder advances all plans of the fleet."""
        if self._leader_election is None:
            self._leader_election = LeaderElection(
                self.agreement, self.clock, self.process_lease, "lead", self.member.name, self.draw,
                lambda fence: log.info("leads", extra={"kv": {"fence": fence}}),
                lambda error: log.warning("leads no more", extra={"kv": {"why": error.line()}}),
                lock_delay_ms=self.settings.lock_delay_s * 1000.0,
            )  # fmt: skip
        return self._leader_election

    def use_leader_election(self, leader_election: LeaderElection) -> None:
        """Share the leadership of a component, which starts and stops it."""
        self._leader_election, self._election_managed_by_component = leader_election, True

    def begin(self, host: ExtensionHost) -> None:
        """The service has started: set the host, and start the election unless a component does."""
        self._host = host
        if self._leader_election is not None and not self._election_managed_by_component:
            self._leader_election.start()

    def stop(self) -> None:
        """The service is stopping."""
        if self._leader_election is not None and not self._election_managed_by_component:
            self._leader_election.stop()


class Fleet:
    """Implements ``FleetExtension`` for one process."""

    def __init__(self, file: FleetFile, config: Config, reactor: Reactor, version: str) -> None:
        """Raises FleetComponentError, and the errors that a component's ``make`` raises."""
        agreement, member = file.agreement, file.member
        zones, zone = config.settings.zones, config.settings.zone
        own_zone = zones[zone] if zone < len(zones) else str(zone)
        draw = random.SystemRandom().random  # equal seeds would make all proxies act at the same times
        clock = ReactorClock(reactor)
        self._started_at = time.monotonic()
        self._transport = self._connect_agreement(agreement, reactor, clock, config.name)
        pacing = CallTiming(agreement.ask_ms, agreement.wait_s * 1000.0)
        self._agreement = AgreementClient(self._transport, clock, draw, pacing)
        self._process_lease = ProcessLease(self._agreement, clock, agreement.lease_s * 1000.0, draw)
        self._file = file
        self._context = FleetContext(
            self._agreement, clock, self._process_lease, draw,
            Member(config.name, member.zone or own_zone, member.version or version, member.pool),
            agreement, file.folder, file.parts, run_id=f"{config.name}-{draw():.16f}",
        )  # fmt: skip
        self._presence = Presence(self._agreement, clock, self._process_lease, self._context.member, draw)
        for table, settings in file.parts.items():
            self._context.components[table] = self._make_component(table, settings)
        controls = [
            component
            for component in self._context.components.values()
            if isinstance(component, AdmissionControl)
        ]
        self._admission = controls[0] if controls else None

    @staticmethod
    def _connect_agreement(
        agreement: AgreementSettings, reactor: Reactor, clock: ReactorClock, name: str
    ) -> Transport:
        if agreement.form == "memory":
            return MemoryService(clock, agreement.lock_delay_s * 1000.0).transport()
        from lupinlink.coordination.consul import ConsulSettings, ConsulTransport

        host, port = agreement.host_and_port
        lock_delay_ms = agreement.lock_delay_s * 1000.0
        place = ConsulSettings(
            host, port, agreement.prefix, agreement.token, agreement.call_ms, lock_delay_ms, name
        )
        return ConsulTransport(reactor, place)

    def _make_component(self, table: str, settings: Any) -> Component:
        try:
            component = import_module(COMPONENT_MODULES[table]).make(self._context, settings)
        except ModuleNotFoundError as exc:
            raise FleetComponentError(f"{table}: {exc}") from exc
        return cast(Component, component)

    def started(self, host: ExtensionHost) -> None:
        """The reactor runs."""
        self._context.begin(host)
        self._process_lease.subscribe(lambda lease: None, self._on_lease_lost)
        self._process_lease.start()
        self._presence.start()
        for component in self._context.components.values():
            component.start()
        where = self._file.agreement.address if self._file.agreement.form == "consul" else "memory"
        log.info(
            "fleet", extra={"kv": {"agreement": where, "parts": ",".join(self._context.components) or "none"}}
        )

    def stopping(self) -> None:
        """This process is stopping. Last calls to the agreement service may be lost, but leases expire."""
        for component in self._context.components.values():
            try:
                component.stop()
            except Exception:
                log.exception("a part failed to stop")
        self._context.stop()
        self._presence.stop()
        self._process_lease.stop()

    def admin_routes(self) -> AdminRoutes:
        """The calls of the components, and one that shows this process's state at the agreement service."""
        table: dict[str, Mapping[str, Callable[[AdminRequest], AdminResponse]]] = {
            "/control/fleet": {"GET": self._show_state}
        }
        for name, component in self._context.components.items():
            for path, methods in component.admin_routes().items():
                if path in table:
                    raise FleetComponentError(f"{name}: {path} is a call of another part")
                table[path] = methods
        return table

    def admits(self, call: ClientRequest) -> Refusal | None:
        """As decided by the component that controls admission, if there is one."""
        return self._admission.admits(call) if self._admission is not None else None

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """As needed by the component that controls admission, if there is one."""
        return self._admission.settled if self._admission is not None else None

    def _on_lease_lost(self, error: LupinError) -> None:
        log.warning("lease lost", extra={"kv": {"why": error.line()}})

    def _show_state(self, ask: AdminRequest) -> AdminResponse:
        lease, now = self._process_lease.lease, self._context.clock.now()
        member, agreement = self._context.member, self._file.agreement
        seconds = max(1e-3, time.monotonic() - self._started_at)
        kinds = ", ".join(f"{kind} {n}" for kind, n in sorted(self._agreement.calls_by_kind.items()))
        held = f"held, believed for {(lease.until_ms() - now) / 1000.0:.1f} s more" if lease else "none"
        where = f"{agreement.address}, below {agreement.prefix}" if agreement.form == "consul" else "memory"
        rows = {
            "member": f"{member.name}, zone {member.zone}, version {member.version}"
            + (f", pool {member.pool}" if member.pool else ""),
            "agreement": where,
            "lease": held
            if lease or not self._process_lease.failures
            else f"none: {self._process_lease.last_failure}",
            "joined": "yes" if self._presence.registered else "no",
            "calls": f"{self._agreement.calls} in {seconds:.0f} s, "
            f"{self._agreement.calls / seconds:.2f} a second ({kinds or 'none'})",
            "parts": ", ".join(self._context.components) or "none",
        }
        return AdminResponse(200, "".join(f"{name:<10} {text}\n" for name, text in rows.items()))
