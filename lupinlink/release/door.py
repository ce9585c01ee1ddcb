"""The release's calls at the operators' door. Each answers at once, from what is known in this process.

202: asked for; the state call tells what became of it. 409 and others: no, with the reason's code and what to
do. Every order is judged again on the newest records when it is written.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from lupinlink.coordination.component import AdminHandler, AdminRequest, AdminResponse, AdminRoutes
from lupinlink.coordination.contract import Step, View
from lupinlink.release import orders, tables
from lupinlink.release.errors import AskError, NoReleaseError, NoWordError, ReleaseError, UnknownNameError
from lupinlink.release.known import Known, known, members
from lupinlink.release.ordering import Make, Ordering
from lupinlink.release.records import MEMBERS, RELEASE, Order

SILENT_MS = tables.UNHEARD_S * 1000.0  # unheard for so long, nothing but a halt is promised here
FIELDS = {
    "start": {"version", "kind", "restart", "pool", "zone", "name", "by"},
    "halt": {"why", "by"},
    "go-on": {"accept", "halt", "by"},
    "back": {"halt", "by"},
    "server": {"server", "by"},
    "forget": {"name", "by"},
    "wanted": {"name"},
    "drain": {"now", "by"},
    "none": set[str](),
}


class Side(Protocol):
    """What the door needs of the agent."""

    name: str
    ordering: Ordering

    @property
    def known(self) -> Known: ...
    def servers(self) -> Iterable[str]: ...
    def silent_ms(self) -> float: ...
    def out_of_service(self, now: bool, why: str) -> AdminResponse: ...
    def in_service(self) -> AdminResponse: ...


class Door:
    """The calls."""

    def __init__(self, side: Side, prefix: str) -> None:
        self._side, self._prefix = side, prefix

    def admin_routes(self) -> AdminRoutes:
        """Paths of its own."""
        return {
            "/control/release": {"GET": _told("none", self._state)},
            "/control/release/start": {"PUT": _told("start", self._start)},
            "/control/release/halt": {"PUT": _told("halt", self._halt)},
            "/control/release/go-on": {"PUT": _told("go-on", self._go_on)},
            "/control/release/back": {"PUT": _told("back", self._back)},
            "/control/release/wanted": {"GET": _told("wanted", self._wanted)},
            "/control/permit": {"GET": _told("none", self._permits)},
            "/control/permit/out": {"PUT": _told("server", self._server_out)},
            "/control/permit/in": {"PUT": _told("server", self._server_in)},
            "/control/permit/forget": {"PUT": _told("forget", self._forget)},
        }

    def drains(self) -> AdminRoutes:
        """The service's own two calls, as they are with a fleet file."""
        return {
            "/control/out-of-service": {"PUT": _told("drain", self._out_of_service)},
            "/control/in-service": {"PUT": _told("none", lambda ask: self._side.in_service())},
        }

    def _notes(self) -> list[str]:
        return [f"{note.what}: {note.outcome}" for note in self._side.ordering.notes]

    def _state(self, ask: AdminRequest) -> AdminResponse:
        silent_s = self._side.silent_ms() / 1000.0
        return AdminResponse(200, tables.state(self._side.known, silent_s, self._notes(), self._side.name))

    def _permits(self, ask: AdminRequest) -> AdminResponse:
        return AdminResponse(200, tables.permits(self._side.known, self._notes()))

    def _order(self, what: str, make: Callable[[Known], Sequence[Step]], halt: bool = False) -> AdminResponse:
        """Judge by what is known here, and ask for it. Fails: what ``make`` raises, NoWordError."""
        silent = self._side.silent_ms()
        if silent > SILENT_MS and not halt:
            raise NoWordError(f"nothing was heard for {silent / 1000.0:.0f} s")
        make(self._side.known)
        return self._give(what, lambda view: make(known(view, self._prefix)), halt)

    def _give(self, what: str, make: Make, halt: bool = False, below: str = RELEASE) -> AdminResponse:
        self._side.ordering.give(what, make, halt, below)
        return AdminResponse(202, f"asked for: {what}; GET /control/release tells what became of it\n")

    def _start(self, ask: AdminRequest) -> AdminResponse:
        query = ask.query
        kind, restart = query.get("kind", "proxies"), _yes(ask, "restart")
        if kind not in ("proxies", "servers"):
            raise AskError(f"kind={kind}; allowed: proxies, servers")
        version = query.get("version", "")
        if kind == "proxies" and bool(version) == restart:
            raise AskError("a release of proxies needs either version= or restart=1")
        wished = Order(
            0, query.get("name", ""), version, kind, restart, False,
            query.get("pool", ""), query.get("zone", ""), self._by(ask),
        )  # fmt: skip
        return self._order(f"start {version or kind}", lambda state: orders.start(state, wished))

    def _by(self, ask: AdminRequest) -> str:
        return ask.query.get("by", "") or f"an operator at {self._side.name}"

    def _halt(self, ask: AdminRequest) -> AdminResponse:
        by, why = self._by(ask), ask.query.get("why", "") or "asked for"
        return self._order("halt", lambda state: orders.halt(state, by, why), halt=True)

    def _number(self, ask: AdminRequest) -> int:
        """The halt that the operator means: the one named, or the one shown here."""
        named = ask.query.get("halt", str(self._side.known.halt.number))
        if not named.isdecimal():
            raise AskError(f"halt={named}; allowed: the number of a halt")
        return int(named)

    def _go_on(self, ask: AdminRequest) -> AdminResponse:
        number, by, accept = self._number(ask), self._by(ask), _yes(ask, "accept")
        return self._order(
            f"go on after halt {number}", lambda state: orders.go_on(state, number, by, accept)
        )

    def _back(self, ask: AdminRequest) -> AdminResponse:
        number, by = self._number(ask), self._by(ask)
        return self._order("back", lambda state: orders.back(state, number, by))

    def _wanted(self, ask: AdminRequest) -> AdminResponse:
        """The version to start a member with; for what starts the processes."""
        name, state = _needed(ask, "name"), self._side.known
        permit = state.permits.proxies.held.get(name)
        if permit is not None and permit.version:
            return AdminResponse(200, permit.version + "\n")
        if state.plan is not None and name in state.plan.members:
            placed = state.plan.members[name]
            going = placed.trips > 0 or state.plan.ended or state.plan.back
            return AdminResponse(200, (state.plan.wants(name) if going else placed.old) + "\n")
        raise NoReleaseError(f"no release says what {name} is to be: start it as it was")

    def _server_out(self, ask: AdminRequest) -> AdminResponse:
        name, by = _needed(ask, "server"), self._by(ask)
        state = self._side.known
        if not any(server == name for server in self._side.servers()):
            raise UnknownNameError(f"no server {name} is in the list")
        plan = state.plan
        if plan is not None and plan.kind == "servers" and not plan.ended and plan.away(name):
            raise NoReleaseError(f"{name} is out for release {plan.id}; it is done when that is")
        return self._order(f"take server {name} out", lambda now: orders.server_out(now, name, by))

    def _server_in(self, ask: AdminRequest) -> AdminResponse:
        name = _needed(ask, "server")
        return self._order(f"take server {name} in", lambda state: orders.server_in(state, name))

    def _forget(self, ask: AdminRequest) -> AdminResponse:
        name = _needed(ask, "name")

        def make(view: View) -> Sequence[Step]:
            return orders.forget(members(view, self._prefix), name)

        return self._give(f"forget {name}", make, below=MEMBERS + name)

    def _out_of_service(self, ask: AdminRequest) -> AdminResponse:
        return self._side.out_of_service(_yes(ask, "now"), f"drain, {self._by(ask)}")


def _told(name: str, call: AdminHandler) -> AdminHandler:
    """A call whose no is told in one line: the reason's code, what happened, what to do."""

    def made(ask: AdminRequest) -> AdminResponse:
        try:
            unknown = set(ask.query) - FIELDS[name]
            if unknown:
                allowed = ", ".join(sorted(FIELDS[name])) or "nothing"
                raise AskError(f"{min(unknown)}= is not known here; allowed: {allowed}")
            return call(ask)
        except ReleaseError as exc:
            return AdminResponse(exc.status, exc.line() + "\n")

    return made


def _needed(ask: AdminRequest, field: str) -> str:
    value = ask.query.get(field, "")
    if not value:
        raise AskError(f"{field}= is needed")
    return value


def _yes(ask: AdminRequest, field: str) -> bool:
    value = ask.query.get(field, "0")
    if value not in ("0", "1"):
        raise AskError(f"{field}={value}; allowed: 0, 1")
    return value == "1"
