"""The node roster: late, watched, one call after the other, and it knows only whether a process runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from lupinlink.clock import Clock
from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.lab.model.scenario import RosterSpec
from lupinlink.lab.model.streams import Draws

PATIENCE = 4.0  # after a failed call a proxy has so many times as long before it counts as told
LONG_GAP = 200  # changes behind which a watch gets the whole list


@dataclass(slots=True)
class Watcher:
    """One proxy's watch."""

    tell: Callable[[MembershipKind, list[Endpoint]], None]
    version: int  # what it holds
    asked_at: float
    live: bool = False
    failed: bool = False  # its last call


class Roster:
    """What it lists is what was noticed; what a proxy holds is what it was told."""

    def __init__(self, spec: RosterSpec, clock: Clock, draws: Draws, must_ask_ms: float) -> None:
        """``must_ask_ms``: who neither watches nor asks for so long counts as told what was listed then."""
        self._spec, self._clock, self._draws, self._must_ask_ms = spec, clock, draws, must_ask_ms
        self.deemed: list[Callable[[int, Endpoint], None]] = []  # told of proxies that count as told
        self.rows: dict[str, Endpoint] = {}
        self.version = 0
        self.calls, self.calls_failed = 0, 0
        self.down = self.stale = False
        self.slowness = 1.0  # times: how much longer it takes over a call while others crowd it
        self._log: list[Endpoint] = []  # change number i made version i + 1
        self._watchers: dict[int, Watcher] = {}
        self._free_at = 0.0  # when the queue of calls is empty
        self._held_back: list[Endpoint] = []  # noticed while it is stale

    def start(self, rows: list[Endpoint]) -> None:
        """What stands at the start, as everybody knows it."""
        self.rows = {row.name: row for row in rows}

    def notice(self, row: Endpoint, delay_ms: float) -> None:
        """A change happens now and is listed later."""
        self._clock.at(self._clock.now() + delay_ms, lambda: self._list(replace(row)))

    def _list(self, row: Endpoint) -> None:
        if self.stale:
            self._held_back.append(row)
            return
        listed = self.rows.get(row.name)
        if listed is not None and row.started_ms < listed.started_ms:
            return  # of a process that has been followed by another
        if row.state == EndpointState.GONE:
            self.rows.pop(row.name, None)
        else:
            self.rows[row.name] = row
        self._log.append(row)
        self.version += 1
        if row.state != EndpointState.READY:
            number, now = self.version, self._clock.now()
            for factor in (1.0, PATIENCE):
                due = now + factor * self._must_ask_ms
                self._clock.at(due, lambda factor=factor: self._deem(row, number, factor))  # type: ignore[misc]
        for proxy, watcher in self._watchers.items():
            if watcher.live:
                self._soon(proxy)

    def _deem(self, row: Endpoint, number: int, factor: float) -> None:
        now = self._clock.now()
        for proxy, watcher in self._watchers.items():
            due = PATIENCE if watcher.failed else 1.0
            missed = not watcher.live and watcher.version < number
            if missed and due <= factor and now - watcher.asked_at >= due * self._must_ask_ms:
                for call in self.deemed:
                    call(proxy, row)

    def go_stale(self, stale: bool) -> None:
        """It goes on answering with what it knows, and notices nothing new."""
        self.stale = stale
        if not stale:
            held, self._held_back = self._held_back, []
            for row in held:
                self._list(row)

    def go_down(self, down: bool) -> None:
        """Watches end, calls fail."""
        self.down = down
        if down:
            for watcher in list(self._watchers.values()):
                if watcher.live:
                    watcher.live, watcher.asked_at = False, self._clock.now()
                    watcher.tell(MembershipKind.FAILED, [])

    def hear(self, proxy: int, tell: Callable[[MembershipKind, list[Endpoint]], None]) -> None:
        """A proxy has started; it knows the list of this moment."""
        self._watchers[proxy] = Watcher(tell, self.version, self._clock.now())

    def forget(self, proxy: int) -> None:
        """A proxy has died."""
        self._watchers.pop(proxy, None)

    def watch(self, proxy: int) -> None:
        """A proxy asks for changes from now on."""
        watcher = self._watchers.get(proxy)
        if watcher is not None:
            watcher.asked_at = self._clock.now()
            self._queue(lambda: self._open(proxy, watcher), lambda: self._fail(proxy, watcher))

    def resume(self, proxy: int, version: int) -> None:
        """The watch that a proxy is about to ask for goes on from that version."""
        watcher = self._watchers.get(proxy)
        if watcher is not None:
            watcher.live, watcher.version = False, min(version, self.version)

    def unwatch(self, proxy: int) -> None:
        """A proxy has ended its watch."""
        watcher = self._watchers.get(proxy)
        if watcher is not None:
            watcher.live = False

    def fetch(self, give: Callable[[list[Endpoint] | None], None]) -> None:
        """Ask for the whole list, once; None: the call has failed."""

        def answer() -> None:
            give(None if self.down else [replace(row) for row in self.rows.values()])

        self._queue(answer, lambda: give(None))

    @property
    def watching(self) -> int:
        """How many proxies have a watch."""
        return sum(watcher.live for watcher in self._watchers.values())

    def _queue(self, call: Callable[[], None], fail: Callable[[], None]) -> None:
        """Calls are handled one after another; one that would wait too long fails."""
        self.calls += 1
        now = self._clock.now()
        begins = max(now, self._free_at)
        if self.down or begins - now > self._spec.timeout_ms:
            self.calls_failed += 1
            self._clock.at(now + (1.0 if self.down else self._spec.timeout_ms), fail)
            return
        self._free_at = begins + self.slowness * 1000.0 / self._spec.calls_per_s
        self._clock.at(self._free_at, call)

    def _fail(self, proxy: int, watcher: Watcher) -> None:
        if self._watchers.get(proxy) is watcher:
            watcher.failed = True
            watcher.tell(MembershipKind.FAILED, [])

    def _open(self, proxy: int, watcher: Watcher) -> None:
        if self._watchers.get(proxy) is not watcher:
            return
        if self.down:
            self.calls_failed += 1
            self._fail(proxy, watcher)
            return
        watcher.live, watcher.failed = True, False
        self._write(proxy, watcher, first=True)

    def _soon(self, proxy: int) -> None:
        watcher = self._watchers[proxy]
        delay = self._spec.spread_ms * self._draws.even()
        self._clock.at(self._clock.now() + delay, lambda: self._write(proxy, watcher))

    def _write(self, proxy: int, watcher: Watcher, first: bool = False) -> None:
        """Tell a watch all that it has missed; a new one is told something in any case."""
        if self._watchers.get(proxy) is not watcher or not watcher.live:
            return
        behind = self.version - watcher.version
        if behind <= 0 and not first:
            return
        if behind > LONG_GAP:
            kind, rows = MembershipKind.FULL, list(self.rows.values())
        else:
            kind = MembershipKind.DELTA
            rows = list({row.name: row for row in self._log[watcher.version :]}.values())
        watcher.version = self.version
        watcher.tell(kind, [replace(row) for row in rows])
