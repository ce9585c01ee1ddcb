"""The farm: discovery's list of application servers, and the watch that keeps it fresh."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.backend_list import OLDER_LIST_MS, BackendList
from lupinlink.net.counters import Counters
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.lists import ListError as ListError
from lupinlink.net.lists import ListObject, read_list
from lupinlink.net.typed import Reactor
from lupinlink.net.watch import SILENCE, SILENCE_MS, Watch
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Settings

log = logging.getLogger(__name__)
# Where lists are pushed, what discovery's agent has counts at once, and a server has to be left alone 250 ms
# after that: an agent that is back has to be met well within.
AGENT_AGAIN_MS = 100.0


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
        self._list = BackendList()  # as discovery has it: what is withheld here is ready there
        self._looking = False  # whether older objects leave the list behind is looked at soon
        self._live: Watch | None = None  # the watch that has told last
        self._asked: Watch | None = None  # a watch that has told nothing yet
        self._foreign = False  # the whole list has to be asked for first
        self._renumbered = False  # the list is still that of another discovery, with its own versions
        self._failed = False  # the module was told so and has not asked again
        self._pushed = not settings.subscribe  # the module never asks: a watch has to stand at all times
        self._withheld: frozenset[str] = frozenset()  # taken out of use here, whatever discovery says
        self._stopped = False

    def __len__(self) -> int:
        return len(self._list)

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
        targets = [entry.written() for entry in self._list.entries() if entry.host]
        return {"rev": self.version, "all": True, "targets": targets}

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
        self._discovery, self._foreign, self._renumbered = discovery, True, True
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
        fresh = self._renumbered and watch is self._asked
        self._apply(raw, MembershipKind.FULL if full else MembershipKind.DELTA, fresh)
        if watch is self._asked:
            self._renumbered = False
            old, self._live, self._asked, self._foreign = self._live, watch, None, False
            if old is not None:
                old.end("another watch has told")

    def answers(self, watch: Watch) -> None:
        """Discovery is there, and tells what has changed: the module need not hold back for it."""
        if watch is self._asked:
            self.news(MembershipKind.DELTA, [])

    def stop(self) -> None:
        """Watch no longer, and tell nobody."""
        self.news = lambda kind, rows: None
        self._stopped = True
        for watch in (self._live, self._asked):
            if watch is not None:
                watch.end("stopping")

    def withhold(self, names: frozenset[str]) -> None:
        """Take these out of use here, whatever discovery says of them: it only narrows what is sent to."""
        changed = self._list.entries(self._withheld ^ names)
        self._withheld = names
        if changed:
            self._tell(MembershipKind.DELTA, changed)

    def _apply(self, raw: Any, kind: MembershipKind, fresh: bool = False) -> None:
        told = read_list(raw, self._settings)
        if told.rejected:
            self._warn(told, kind)
        now = self.clock.now()
        change = self._list.apply(told, kind, now, fresh)
        self.version = self._list.version
        self._tell(change.kind, change.entries)
        if self._list.behind and not self._looking:
            self._looking = True
            self.clock.after(OLDER_LIST_MS + 1.0, self._ask_whole)

    def _warn(self, told: ListObject, kind: MembershipKind) -> None:
        self._counters["list_entries_rejected"] += told.rejected
        kv = {"count": told.rejected, "first": told.fault, "rev": told.version, "list": kind.name.lower()}
        log.warning("entries of a list can't be read", extra={"kv": kv})

    def _tell(self, kind: MembershipKind, entries: Iterable[ListEntry]) -> None:
        """The pools and the module, at once."""
        rows = [(self._narrowed(entry.endpoint), entry.host, entry.port) for entry in entries]
        listed = self._list.entries()
        self.ready = sum(entry.ready and entry.endpoint.name not in self._withheld for entry in listed)
        self._counters["lists"] += 1
        self._servers.learn(rows, kind != MembershipKind.DELTA)
        self.news(kind, [row for row, _, _ in rows])

    def _ask_whole(self) -> None:
        """Older objects left the list behind: ask for the whole one; the old watch is heard until then."""
        self._looking = False
        if self._list.behind and not self._foreign and not self._stopped:
            log.warning("older lists came, the whole one is asked for", extra={"kv": {"rev": self.version}})
            self._foreign = True
            self._open()

    def _narrowed(self, row: Endpoint) -> Endpoint:
        """A copy for the module, which writes in its rows; not ready if it is withheld here."""
        withheld = row.name in self._withheld and row.state == EndpointState.READY
        return replace(row, state=EndpointState.DRAINING if withheld else row.state)

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
