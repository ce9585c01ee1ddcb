"""The shell that wires the fleet's parts into one proxy; loaded only when a fleet file is given.

It is the service's ``FleetSide``. Everything is put together before the service is, which asks for the door's
calls then, and begins to act in ``started``. A part is wired by a module of its own (``WIRED``): its ``make``
gets the ``Kit`` and its table's settings and gives a ``Part``, which may be a ``Gate`` as well.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from importlib import import_module
from typing import TYPE_CHECKING, Any, Protocol, cast, runtime_checkable

from lupinlink.config.errors import FleetPartError
from lupinlink.config.fleet import AgreementSettings, FleetFile
from lupinlink.coordination.client import Client
from lupinlink.coordination.contract import Agreement
from lupinlink.coordination.lead import Lead
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.pace import Pacing
from lupinlink.coordination.part import Answer, Ask, DoorCalls, Member, Part
from lupinlink.coordination.presence import Presence
from lupinlink.coordination.tenure import Tenure
from lupinlink.coordination.wire import Wire
from lupinlink.errors import LupinError
from lupinlink.net.drain_reasons import DrainReasons
from lupinlink.net.fleet_extension import ExtensionHost, Refusal
from lupinlink.net.timer_wheel import ReactorClock

if TYPE_CHECKING:
    from lupinlink.net.request_types import ClientRequest
    from lupinlink.net.twisted_types import Reactor
    from lupinlink.settings import Config

log = logging.getLogger(__name__)
WIRED = {  # by table of the fleet file: the module whose ``make`` wires the part
    "release": "lupinlink.net.fleet_release",
    "quota": "lupinlink.net.fleet_quota",
    "migration": "lupinlink.net.fleet_migration",
}


@runtime_checkable
class Gate(Protocol):
    """A part that may refuse calls; there is one at most."""

    def admits(self, call: ClientRequest) -> Refusal | None:
        """As ``FleetSide.admits``."""
        ...

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """As ``FleetSide.settled``."""
        ...


@dataclass(slots=True)
class FleetContext:
    """What a part is made of."""

    agreement: Agreement
    clock: ReactorClock
    tenure: Tenure  # the process's one lease: a lease of its own would cost a part a call each 3 s
    draw: Callable[[], float]
    member: Member
    settings: AgreementSettings
    folder: str  # of the fleet file
    tables: Mapping[str, Any] = field(default_factory=dict)  # the parts' settings, by table
    made: dict[str, Part] = field(default_factory=dict)  # the parts before this one, by table
    run: str = ""  # drawn for this process
    _host: ExtensionHost | None = None
    _lead: Lead | None = None
    _led: bool = False  # by a part that starts and stops it itself
    _wishes: DrainReasons | None = None

    @property
    def host(self) -> ExtensionHost:
        """The service; there from ``Part.start`` on."""
        assert self._host is not None, "the service has not started"
        return self._host

    @property
    def wishes(self) -> DrainReasons:
        """Who wants this proxy out of service; a part takes it out and back through this alone."""
        if self._wishes is None:
            self._wishes = DrainReasons(self.host.drain, self.host.in_service)
        return self._wishes

    def lead(self) -> Lead:
        """The one lead that all parts share: whoever has it advances all that is planned."""
        if self._lead is None:
            self._lead = Lead(
                self.agreement, self.clock, self.tenure, "lead", self.member.name, self.draw,
                lambda fence: log.info("leads", extra={"kv": {"fence": fence}}),
                lambda error: log.warning("leads no more", extra={"kv": {"why": error.line()}}),
                lock_delay_ms=self.settings.lock_delay_s * 1000.0,
            )  # fmt: skip
        return self._lead

    def lead_by(self, lead: Lead) -> None:
        """A part brings the lead, and starts and stops it."""
        self._lead, self._led = lead, True

    def begin(self, host: ExtensionHost) -> None:
        """The service has started."""
        self._host = host
        if self._lead is not None and not self._led:
            self._lead.start()

    def stop(self) -> None:
        """The service ends."""
        if self._lead is not None and not self._led:
            self._lead.stop()


class Fleet:
    """The fleet's side of one process."""

    def __init__(self, file: FleetFile, config: Config, reactor: Reactor, version: str) -> None:
        """Raises FleetPartError, and what a part's own making raises."""
        agreement, member = file.agreement, file.member
        zones, zone = config.settings.zones, config.settings.zone
        own_zone = zones[zone] if zone < len(zones) else str(zone)
        draw = random.SystemRandom().random  # Danger: equal seeds would make a fleet act in step
        clock = ReactorClock(reactor)
        self._began = time.monotonic()
        self._wire = self._service(agreement, reactor, clock, config.name)
        pacing = Pacing(agreement.ask_ms, agreement.wait_s * 1000.0)
        self._client = Client(self._wire, clock, draw, pacing)
        self._tenure = Tenure(self._client, clock, agreement.lease_s * 1000.0, draw)
        self._file = file
        self._context = FleetContext(
            self._client, clock, self._tenure, draw,
            Member(config.name, member.zone or own_zone, member.version or version, member.pool),
            agreement, file.folder, file.parts, run=f"{config.name}-{draw():.16f}",
        )  # fmt: skip
        self._presence = Presence(self._client, clock, self._tenure, self._context.member, draw)
        for table, settings in file.parts.items():
            self._context.made[table] = self._make(table, settings)
        gates = [part for part in self._context.made.values() if isinstance(part, Gate)]
        self._gate = gates[0] if gates else None

    @staticmethod
    def _service(agreement: AgreementSettings, reactor: Reactor, clock: ReactorClock, name: str) -> Wire:
        if agreement.form == "memory":
            return MemoryService(clock, agreement.lock_delay_s * 1000.0).wire()
        from lupinlink.coordination.consul import ConsulWire, Place

        host, port = agreement.place
        lock_delay_ms = agreement.lock_delay_s * 1000.0
        place = Place(host, port, agreement.prefix, agreement.token, agreement.call_ms, lock_delay_ms, name)
        return ConsulWire(reactor, place)

    def _make(self, table: str, settings: Any) -> Part:
        try:
            made = import_module(WIRED[table]).make(self._context, settings)
        except ModuleNotFoundError as exc:
            raise FleetPartError(f"{table}: {exc}") from exc
        return cast(Part, made)

    def started(self, host: ExtensionHost) -> None:
        """The reactor runs."""
        self._context.begin(host)
        self._tenure.listen(lambda lease: None, self._lost)
        self._tenure.start()
        self._presence.start()
        for part in self._context.made.values():
            part.start()
        where = self._file.agreement.address if self._file.agreement.form == "consul" else "memory"
        log.info("fleet", extra={"kv": {"agreement": where, "parts": ",".join(self._context.made) or "none"}})

    def stopping(self) -> None:
        """This process ends. What is told the service now may arrive or not; leases end by themselves."""
        for part in self._context.made.values():
            try:
                part.stop()
            except Exception:
                log.exception("a part failed to stop")
        self._context.stop()
        self._presence.stop()
        self._tenure.stop()

    def calls(self) -> DoorCalls:
        """The parts' calls, and one that tells how this process stands with the agreement service."""
        table: dict[str, Mapping[str, Callable[[Ask], Answer]]] = {"/control/fleet": {"GET": self._state}}
        for name, part in self._context.made.items():
            for path, methods in part.calls().items():
                if path in table:
                    raise FleetPartError(f"{name}: {path} is a call of another part")
                table[path] = methods
        return table

    def admits(self, call: ClientRequest) -> Refusal | None:
        """As the quota has it."""
        return self._gate.admits(call) if self._gate is not None else None

    @property
    def settled(self) -> Callable[[ClientRequest], None] | None:
        """As the quota has it."""
        return self._gate.settled if self._gate is not None else None

    def _lost(self, error: LupinError) -> None:
        log.warning("lease lost", extra={"kv": {"why": error.line()}})

    def _state(self, ask: Ask) -> Answer:
        lease, now = self._tenure.lease, self._context.clock.now()
        member, agreement = self._context.member, self._file.agreement
        seconds = max(1e-3, time.monotonic() - self._began)
        kinds = ", ".join(f"{kind} {n}" for kind, n in sorted(self._client.calls_by_kind.items()))
        held = f"held, believed for {(lease.until_ms() - now) / 1000.0:.1f} s more" if lease else "none"
        where = f"{agreement.address}, below {agreement.prefix}" if agreement.form == "consul" else "memory"
        rows = {
            "member": f"{member.name}, zone {member.zone}, version {member.version}"
            + (f", pool {member.pool}" if member.pool else ""),
            "agreement": where,
            "lease": held if lease or not self._tenure.failures else f"none: {self._tenure.why}",
            "joined": "yes" if self._presence.known else "no",
            "calls": f"{self._client.calls} in {seconds:.0f} s, {self._client.calls / seconds:.2f} a second "
            f"({kinds or 'none'})",
            "parts": ", ".join(self._context.made) or "none",
        }
        return Answer(200, "".join(f"{name:<10} {text}\n" for name, text in rows.items()))
