"""The farm: discovery's list of application servers, and the watch that keeps it fresh."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.lists import ListError as ListError
from lupinlink.net.lists import read_list
from lupinlink.net.typed import Reactor
from lupinlink.net.watch import SILENCE, SILENCE_MS, Watch
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Settings

log = logging.getLogger(__name__)
# Where lists are pushed, what discovery's agent has counts at once, and a server has to be left alone 250 ms
# after that: an agent that is back has to be met well within.
AGENT_AGAIN_MS = 100.0
LOOKS = 4  # at most, for what waits unread: what is read takes time in which more may come


class Farm:
    """Keeps the list; a change goes to the pools and to the module at once."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clockwork,
        discovery: tuple[str, int],
        settings: Settings,
        servers: ApplicationServers,
        counters: Counters,
    ) -> None:
        self._reactor, self.clock, self._settings = reactor, clock, settings
        self._servers, self._counters = servers, counters
        self._discovery = discovery
        self.version = 0
        self.ready = 0  # application servers that take work
        self.news: Callable[[MembershipKind, list[Endpoint]], None] = lambda kind, rows: None
        self._states: dict[str, EndpointState] = {}
        self._raw: dict[str, Any] = {}  # the entries as discovery wrote them, for a successor
        self._live: Watch | None = None  # the watch that has told last
        self._asked: Watch | None = None  # a watch that has told nothing yet
        self._foreign = False  # the list is still that of another discovery
        self._failed = False  # the module was told so and has not asked again
        self._pushed = not settings.subscribe  # the module never asks: a watch has to stand at all times
        self._withheld: frozenset[str] = frozenset()  # taken out of use here, whatever discovery says
        self._stopped = False

    def __len__(self) -> int:
        return len(self._states)

    def start(self, known: Mapping[str, Any]) -> None:
        """The list as this proxy last had it; it may be out of date.

        Danger: where lists are pushed, what the agent has counts from this process's first moment on.
        """
        if not known:
            known = {"rev": 0, "all": True, "targets": []}
        self._apply(known, MembershipKind.CACHED)
        if self._pushed:
            self.watch()

    def snapshot(self) -> dict[str, Any]:
        """The list as it stands, in discovery's form."""
        return {"rev": self.version, "all": True, "targets": list(self._raw.values())}

    def watch(self) -> None:
        """The module asks for changes from now on; it is told when that ends."""
        self._failed = False
        self._open()

    def _open(self) -> None:
        """One call at a time. The module still asks when its own wait is over: else calls would add up."""
        if self._asked is None and (self._live is None or self._foreign) and not self._stopped:
            self._counters["watches"] += 1
            watch = self._asked = Watch(self, self.clock, self._discovery, self._foreign)
            watch.ended.addCallback(self._ended, watch)
            watch.dial(self._reactor)

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address from now on.

        The old watch goes on until the new one has told: without one, a drain could pass unheard.
        """
        if discovery == self._discovery:
            return
        self._discovery, self._foreign = discovery, True
        asked, self._asked = self._asked, None
        if self._live is None:
            self._live = asked
        elif asked is not None:
            asked.end("moved")
        self._open()

    def take(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """One object of a watch. The first one of a new watch ends the old one, and nothing sooner."""
        if watch is not self._asked and watch is not self._live:
            return
        full = full or (isinstance(raw, dict) and raw.get("all") is True)
        self._apply(raw, MembershipKind.FULL if full else MembershipKind.DELTA)
        if watch is self._asked:
            old, self._live, self._asked, self._foreign = self._live, watch, None, False
            if old is not None:
                old.end("another watch has told")

    def answers(self, watch: Watch) -> None:
        """Discovery is there, and tells what has changed: the module need not hold back for it."""
        if watch is self._asked:
            self.news(MembershipKind.DELTA, [])

    def read_waiting_news(self) -> None:
        """Read what discovery has written already, until a look at each watch finds nothing."""
        for _ in range(LOOKS):
            watches = [watch for watch in (self._live, self._asked) if watch is not None]
            were_read = [watch.read_waiting() for watch in watches]
            if not any(were_read):
                return

    def stop(self) -> None:
        """Watch no longer, and tell nobody."""
        self.news = lambda kind, rows: None
        self._stopped = True
        for watch in (self._live, self._asked):
            if watch is not None:
                watch.end("stopping")

    def withhold(self, names: frozenset[str]) -> None:
        """Take these out of use here, whatever discovery says of them: it only narrows what is sent to."""
        changed = [self._raw[name] for name in self._withheld ^ names if name in self._raw]
        self._withheld = names
        if changed:
            rows = {"rev": self.version, "all": False, "targets": changed}
            self._apply(rows, MembershipKind.DELTA)

    def _apply(self, raw: Any, kind: MembershipKind) -> None:
        version, _, rows = read_list(raw, self._settings)
        if self._withheld:
            rows = [(self._narrowed(row), host, port) for row, host, port in rows]
        full = kind != MembershipKind.DELTA
        self.version = version
        if full:
            self._states.clear()
            self._raw.clear()
        self._states.update((row.name, row.state) for row, _, _ in rows)
        self._raw.update((str(item["uid"]), item) for item in raw["targets"])
        for name in [n for n, state in self._states.items() if state == EndpointState.GONE]:
            del self._states[name], self._raw[name]
        self.ready = sum(state == EndpointState.READY for state in self._states.values())
        self._counters["lists"] += 1
        self._servers.learn(rows, full)
        self.news(kind, [row for row, _, _ in rows])

    def _narrowed(self, row: Endpoint) -> Endpoint:
        if row.name in self._withheld and row.state == EndpointState.READY:
            return replace(row, state=EndpointState.DRAINING)
        return row

    def _ended(self, why: str, watch: Watch) -> None:
        kv = {"why": why, "rev": self.version, "at": watch.address[0]}
        if why == SILENCE:
            # An operator has to see it: from here on this proxy may not know what everybody else knows.
            self._counters["watches_silent"] += 1
            log.warning("watch fell silent, asked anew", extra={"kv": {**kv, "for_ms": int(SILENCE_MS)}})
        else:
            log.info("watch ended", extra={"kv": kv})
        self._counters["watches_ended"] += 1
        if watch is self._asked:
            self._asked = None
        elif watch is self._live:
            self._live = None
        else:
            return  # replaced
        if self._pushed or (why == SILENCE and watch.answered):
            # Danger: much of the time after which news counts as told went by in silence. A wait that keeps
            # proxies apart is not needed either: each had its own beat. A call that got no answer waits.
            self.clock.after(0.0 if why == SILENCE else AGENT_AGAIN_MS, self._open)
        elif self._asked is None and not self._failed:
            self._failed = True
            self.news(MembershipKind.FAILED, [])
