"""Migrations in one process: its proxy's part, the lead's if it leads, and the operators' calls.

Implements ``lupinlink.coordination.component.Component``.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.component import AdminRequest, AdminResponse, AdminRoutes, Member
from lupinlink.coordination.contract import Agreement, View
from lupinlink.migration import asked
from lupinlink.migration.follower import Follower
from lupinlink.migration.host import Host
from lupinlink.migration.leading import Conductor, Leadership
from lupinlink.migration.model import PROGRESS, Listener
from lupinlink.migration.ordering import Decide, Orders
from lupinlink.migration.progress import Progress, read_progress
from lupinlink.migration.records import Records
from lupinlink.migration.reporter import Reporter
from lupinlink.migration.settings import MigrationSettings
from lupinlink.migration.tables import Told, page
from lupinlink.release.settings import ReleaseSettings

log = logging.getLogger(__name__)
ASKED_MS = 60000.0  # so long after an operator's look is the lead's word read on


class Base(NamedTuple):
    """What every part of the fleet's agreement is given."""

    agreement: Agreement
    clock: Clock
    draw: Callable[[], float]  # from [0, 1), of this process alone
    prefix: str = ""  # of all keys
    run: str = ""  # drawn for this process


class Migrations:
    """The part."""

    def __init__(
        self,
        base: Base,
        me: Member,
        host: Callable[[], Host],
        lead: Leadership,
        settings: MigrationSettings,
        release: ReleaseSettings,
    ) -> None:
        """``host`` is asked for at the start, when the process has one."""
        self._host = host
        agreement, clock, draw, prefix, run = base
        self._base, self._settings, self._lead = base, settings, lead
        self._follower = Follower(me.name, me.pool, run, settings, clock.now())
        self._records = Records(agreement, clock, draw, self._follower, prefix, self._changed)
        self._reporter = Reporter(agreement, clock, draw, self._follower, settings, prefix)
        self._orders = Orders(clock, draw, self._records)
        self._conductor = Conductor(
            agreement, clock, draw, self._records, lead, settings, release, prefix, me.name
        )
        self._read: dict[str, tuple[Progress, float]] = {}  # the lead's word, and when it was new here
        self._asked_at = -math.inf
        self._call = 0
        self._reading = False

    def start(self) -> None:
        host = self._host()
        self._follower.recall(host.recall(), self._base.clock.now())
        self._records.start()
        self._reporter.start(host)
        self._conductor.start()

    def stop(self) -> None:
        self._records.stop()
        self._reporter.stop()
        self._conductor.stop()
        self._orders.stop()
        self._base.clock.drop(self._call)

    def admin_routes(self) -> AdminRoutes:
        path = "/control/migration"
        return {
            path: {"GET": self._show},
            f"{path}/start": {"PUT": self._start},
            f"{path}/halt": {"PUT": self._halt},
            f"{path}/go-on": {"PUT": self._go_on},
            f"{path}/back": {"PUT": self._back},
        }

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """As obeyed here, by name."""
        return self._records.listeners

    @property
    def standby(self) -> bool:
        """Whether no listener wants this proxy, and nobody is left here: it is neither out nor in use."""
        return self._follower.standby(self._base.clock.now())

    def _changed(self) -> None:
        self._reporter.obey()

    def _show(self, ask: AdminRequest) -> AdminResponse:
        now = self._base.clock.now()
        self._asked_at = now
        if not self._reading:
            self._ask_lead()
        if self._lead.is_leader:
            told = {name: Told(word, 0.0) for name, word in self._conductor.progress.items()}
        else:
            ages = {name: (word, now - since) for name, (word, since) in self._read.items()}
            told = {name: Told(word, age) for name, (word, age) in ages.items() if age <= ASKED_MS}
        silent = self._records.silent or ("" if self._records.heard_at is not None else "not heard of yet")
        text = page(self._records.listeners, told, self._settings, silent, self._orders.lines())
        return AdminResponse(200, text)

    def _ask_lead(self) -> None:
        """Read the lead's word, and go on while an operator looks."""
        now = self._base.clock.now()
        self._reading = now - self._asked_at <= ASKED_MS and not self._lead.is_leader
        if self._reading:
            self._call = self._base.clock.at(now + self._settings.look_ms, self._ask_lead)
            read = self._base.agreement.read(self._base.prefix + PROGRESS)
            read.addCallbacks(self._told, self._not_told)

    def _told(self, view: View) -> None:
        for key, record in view.records.items():
            name = key.removeprefix(self._base.prefix + PROGRESS)
            try:
                word = read_progress(record.value)
            except (msgspec.DecodeError, UnicodeDecodeError):
                continue  # a newer program's; the state itself is shown
            known = self._read.get(name)
            if known is None or known[0] != word:
                self._read[name] = word, self._base.clock.now()

    def _not_told(self, failure: Failure) -> None:
        """What was read before stays, with its age."""

    def _order(self, what: str, ask: AdminRequest, known: set[str], decide: Decide) -> AdminResponse:
        if unknown := sorted(set(ask.query) - known):
            return AdminResponse(
                400, f"unknown: {', '.join(unknown)}; known are {', '.join(sorted(known))}\n"
            )
        words = " ".join(f"{name}={value}" for name, value in sorted(ask.query.items()))
        return self._orders.give(f"{what} {words}".strip(), decide)

    def _start(self, ask: AdminRequest) -> AdminResponse:
        name, target = ask.query.get("listener", ""), ask.query.get("to", "")
        if not target:
            return AdminResponse(400, "to=POOL is missing\n")

        def decide(listeners: Mapping[str, Listener]) -> Listener:
            return asked.start(listeners, asked.meant(listeners, name).name, target)

        return self._order("start", ask, {"listener", "to"}, decide)

    def _halt(self, ask: AdminRequest) -> AdminResponse:
        name = ask.query.get("listener", "")
        return self._order("halt", ask, {"listener"}, lambda all_: asked.halt(asked.meant(all_, name)))

    def _go_on(self, ask: AdminRequest) -> AdminResponse:
        name, accept = ask.query.get("listener", ""), ask.query.get("gate", "")
        without = [one for one in ask.query.get("without", "").split(",") if one]
        if accept not in ("", "accept"):
            return AdminResponse(400, "gate=accept is all that may be said of a gate\n")
        return self._order(
            "go-on",
            ask,
            {"listener", "without", "gate"},
            lambda all_: asked.go_on(asked.meant(all_, name), without, bool(accept)),
        )

    def _back(self, ask: AdminRequest) -> AdminResponse:
        name = ask.query.get("listener", "")
        return self._order("back", ask, {"listener"}, lambda all_: asked.back(asked.meant(all_, name)))
