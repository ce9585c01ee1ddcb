"""The farm: places, their machines and processes, how they come and go, what the roster hears of it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from lupinlink.clock import Clock
from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.lab.model.referee import Referee
from lupinlink.lab.model.roster import Roster
from lupinlink.lab.model.scenario import Kind, Scenario
from lupinlink.lab.model.servers import Fall, Machine, Server
from lupinlink.lab.model.streams import Draws, Streams

LEAVE_MS = 4000.0  # a server that drains has so long before its process ends


@dataclass(slots=True, eq=False)
class Place:
    """A server's name with all that stays the same when its process is restarted."""

    name: str
    zone: int
    kind: int
    cell: int
    machine: Machine
    server: Server


def machine(kind: Kind, scenario: Scenario, draws: Draws) -> Machine:
    """One machine of a kind, its speed drawn; the order of draws is part of a seed's meaning."""
    speed = kind.speed * math.exp(kind.speed_cv * draws.normal()) if kind.speed_cv > 0.0 else kind.speed
    rules = scenario.rules
    return Machine(
        cores=kind.cores, speed=speed, slots=kind.slots, room=kind.room, crowd_from=kind.crowd_from,
        crowd_loss=kind.crowd_loss, cold_share=kind.cold_share, cold_ms=kind.cold_ms,
        warm_by_work=kind.warm_by_work, key_gain=kind.key_gain, key_ms=kind.key_ms, key_count=kind.key_count,
        connections=kind.connections, connection_work_ms=kind.connection_work_ms,
        probe_work_ms=kind.probe_work_ms, error_rate=kind.error_rate, drops_cancelled=kind.drops_cancelled,
        drops_overdue=kind.drops_overdue, report_period_ms=kind.report_period_ms,
        report_delay_ms=kind.report_delay_ms, report_noise=kind.report_noise,
        fall_multiple=rules.fall_multiple, fall_ms=rules.fall_ms,
    )  # fmt: skip


class Farm:
    """Every server there is or was."""

    def __init__(
        self, scenario: Scenario, clock: Clock, streams: Streams, roster: Roster, referee: Referee
    ) -> None:
        self._scenario, self._clock, self._streams = scenario, clock, streams
        self._roster, self._referee = roster, referee
        self._kinds = list(scenario.kinds.values())
        self._draws = streams.draws("farm")
        self._number = 0
        self.places: dict[str, Place] = {}
        self.died: list[Callable[[Server], None]] = []  # told of each process that has ended
        self.started: list[Callable[[Server], None]] = []  # and of each that has started since
        self.silenced: list[Callable[[Server, bool], None]] = []  # and of machines cut off, or back
        cold = scenario.farm.cold
        for i in range(scenario.farm.servers):
            self._place(warm=i >= cold)
        roster.start([self.row(place) for place in self.places.values()])

    def row(self, place: Place, state: EndpointState = EndpointState.READY) -> Endpoint:
        """A place as the roster lists it."""
        server = place.server
        started = 0.0 if server.was_warm else server.started_at  # who was warm at the start started long ago
        return Endpoint(place.name, place.zone, place.kind, place.cell, state, 1.0, started)

    def get(self, name: str) -> Server | None:
        """The process that runs there now."""
        place = self.places.get(name)
        return place.server if place is not None else None

    def _place(self, warm: bool) -> Place:
        number, self._number = self._number, self._number + 1
        zones = len(self._scenario.network.zones)
        zone = number % zones
        kind = self._kind(number)
        cell = (number // zones // self._scenario.farm.cell_size) * zones + zone
        name = f"s-{number:04d}"
        spec = machine(self._kinds[kind], self._scenario, self._draws)
        server = self._process(name, spec, warm)
        place = self.places[name] = Place(name, zone, kind, cell, spec, server)
        return place

    def _kind(self, number: int) -> int:
        """Kinds in the measure of their shares, evenly spread."""
        total = sum(kind.share for kind in self._kinds)
        at, sums = (number * 0.6180339887498949) % 1.0 * total, 0.0
        for i, kind in enumerate(self._kinds):
            sums += kind.share
            if at < sums:
                return i
        return len(self._kinds) - 1

    def _process(self, name: str, spec: Machine, warm: bool) -> Server:
        now = self._clock.now()
        draws = self._streams.draws(f"server {name} {now:.3f}")
        return Server(name, spec, self._clock, draws, now, warm=warm, fell=self._fell)

    def _fell(self, fall: Fall) -> None:
        self._referee.fell(fall.server, fall.at, fall.by)
        self.fallen(fall.server)

    def fallen(self, name: str) -> None:
        """A server has fallen over: its process says no more."""
        place = self.places.get(name)
        if place is not None:
            if not place.server.fallen:  # seen by a replica of this farm
                place.server.crash()
                place.server.alive = place.server.fallen = True
            self._end(place.server)

    def _end(self, server: Server) -> None:
        for call in self.died:
            call(server)

    # What faults do

    def crash(self, name: str) -> None:
        """The process dies; its machine says so to whoever asks, and the roster hears of it."""
        place = self.places.get(name)
        if place is None or not place.server.alive:
            return
        place.server.crash()
        self._end(place.server)
        self._roster.notice(self.row(place, EndpointState.GONE), self._scenario.roster.notice_ms)

    def restart(self, name: str) -> None:
        """A new process under the old name, cold."""
        place = self.places.get(name)
        if place is None:
            return
        if place.server.alive:
            place.server.crash()
            self._end(place.server)
        place.server = self._process(name, place.machine, warm=False)
        for call in self.started:
            call(place.server)
        self._roster.notice(self.row(place), self._scenario.roster.add_ms)

    def grow(self) -> str:
        """One more server, cold."""
        place = self._place(warm=False)
        for call in self.started:
            call(place.server)
        self._roster.notice(self.row(place), self._scenario.roster.add_ms)
        return place.name

    def drain(self, name: str) -> None:
        """Planned leave: nothing new, then the end."""
        place = self.places.get(name)
        if place is None or not place.server.alive or place.server.draining:
            return
        place.server.draining = True
        self._roster.notice(self.row(place, EndpointState.DRAINING), self._scenario.roster.notice_ms)
        server = place.server
        self._clock.at(self._clock.now() + LEAVE_MS, lambda: self._leave(place, server))

    def _leave(self, place: Place, server: Server) -> None:
        if place.server is server and server.alive:
            server.crash()
            self._end(server)
            self._roster.notice(self.row(place, EndpointState.GONE), self._scenario.roster.notice_ms)

    def vanish(self, name: str, gone: bool) -> None:
        """The machine is cut off, or back: nobody is told anything."""
        place = self.places.get(name)
        if place is None or place.server.troubles.silent == gone:
            return
        place.server.troubles.silent = gone
        if place.server.alive:
            for call in self.silenced:
                call(place.server, gone)
        server, spec = place.server, self._scenario.roster
        if gone:
            self._clock.at(self._clock.now() + spec.silent_notice_ms, lambda: self._missed(place, server))
        elif server.alive:
            self._roster.notice(self.row(place), spec.add_ms)

    def _missed(self, place: Place, server: Server) -> None:
        if place.server is server and server.troubles.silent:
            self._roster.notice(self.row(place, EndpointState.GONE), 0.0)

    def standing(self) -> list[str]:
        """The names of servers that run, in order."""
        return [p.name for p in self.places.values() if p.server.alive]

    def ready(self) -> list[str]:
        """The names of servers that run and do not drain, in order."""
        return [
            p.name
            for p in self.places.values()
            if p.server.alive and not p.server.draining and not p.server.fallen
        ]


class Told:
    """What each proxy was told by the roster, as the referee must know it."""

    def __init__(self, referee: Referee, clock: Clock) -> None:
        self._referee, self._clock = referee, clock
        self._listed: dict[int, set[str]] = {}

    def start(self, proxy: int, rows: list[Endpoint]) -> None:
        """What it knows at its start."""
        self._listed[proxy] = set()
        self.rows(proxy, MembershipKind.CACHED, rows)

    def rows(self, proxy: int, kind: MembershipKind, rows: list[Endpoint]) -> None:
        """The roster has written to a proxy."""
        now, listed = self._clock.now(), self._listed.setdefault(proxy, set())
        if kind is MembershipKind.FAILED:
            return
        if kind is not MembershipKind.DELTA:
            named = {row.name for row in rows}
            for name in listed - named:
                self._referee.told(proxy, name, False, now)
            listed &= named
        for row in rows:
            self._referee.told(proxy, row.name, row.state == EndpointState.READY, now)
            if row.started_ms > 0.0:
                self._referee.told_start(proxy, row.name, now)
            if row.state == EndpointState.GONE:
                listed.discard(row.name)
            else:
                listed.add(row.name)

    def forget(self, proxy: int) -> None:
        """A proxy has died."""
        self._listed.pop(proxy, None)
