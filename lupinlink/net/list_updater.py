"""Keeps discovery's list in this process: reads its objects, and tells pools and module what has changed."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from lupinlink import interface as api
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.backend_list import BackendList, ListChange
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_log import DiscoveryLog
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_reader import ListReader
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import Settings

SLICE_ENTRIES = 256  # entries that pools and module learn in one turn of the event loop


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One object as discovery told it."""

    raw: Any
    kind: api.MembershipKind
    fresh: bool = False  # its versions are not those of our list
    is_current: Callable[[], bool] = lambda: True  # whether it shows what discovery has now


class ListUpdater:
    """The list, and who has to learn of it."""

    def __init__(
        self,
        clock: ReactorClock,
        settings: Settings,
        servers: ApplicationServers,
        counters: Counters,
        log: DiscoveryLog,
        tell: Callable[[api.Membership], None],
    ) -> None:
        self._clock, self._servers, self._counters = clock, servers, counters
        self._log, self._tell = log, tell
        self._reader = ListReader(settings)
        self._list = BackendList()  # as discovery has it: what is withheld here is ready there
        self._withheld: frozenset[str] = frozenset()  # taken out of use here, whatever discovery says

    def __len__(self) -> int:
        return len(self._list)

    @property
    def version(self) -> int:
        """The version of the last object."""
        return self._list.version

    @property
    def ready(self) -> int:
        """Backends that take work."""
        return self._list.ready - sum(entry.ready for entry in self._list.entries(self._withheld))

    @property
    def behind(self) -> bool:
        """Whether only a whole list can set right what older objects left."""
        return self._list.behind

    def entries(self) -> list[ListEntry]:
        """All backends."""
        return self._list.entries()

    def snapshot(self) -> dict[str, Any]:
        """The list as it stands, in discovery's form."""
        targets = [entry.written() for entry in self._list.entries() if entry.host]
        return {"rev": self.version, "all": True, "targets": targets}

    def begin(self, known: Mapping[str, Any]) -> None:
        """The list as this proxy last had it, at once; raises ListError if it is none."""
        for _ in self.taking(ListUpdate(dict(known), api.MembershipKind.CACHED)):
            pass

    def taking(self, told: ListUpdate, taken: Callable[[], None] = lambda: None) -> Iterator[None]:
        """Take an object in slices; raises ListError if it is no list.

        ``taken``: the list has it, pools and module have yet to learn it.
        """
        read = yield from self._reader.reading(told.raw)
        if read.rejected:
            self._log.rejected(read, told.kind.name.lower())
        change = self._list.apply(read, told.kind, self._clock.now(), told.fresh)
        if told.kind != api.MembershipKind.CACHED:
            self._reader.forget(entry.endpoint.name for entry in change.entries if entry.is_gone)
            self._log.changed(self.version, told.kind.name.lower(), change.entries)
        taken()
        yield from self._teach(change, told)

    def _teach(self, change: ListChange, told: ListUpdate) -> Iterator[None]:
        """Pools and module learn it; the last slice says that the list is current."""
        self._counters["lists"] += 1
        if change.kind == api.MembershipKind.CACHED:
            self._learn(change.kind, change.entries, True)
            return
        entries = sorted(
            change.entries, key=lambda entry: entry.ready
        )  # what must not be used any more first
        while len(entries) > SLICE_ENTRIES:
            self._learn(change.kind, entries[:SLICE_ENTRIES], False)
            del entries[:SLICE_ENTRIES]
            yield
        self._learn(change.kind, entries, told.is_current() and not self._list.older_only)

    def withhold(self, names: frozenset[str]) -> None:
        """Take these out of use here, whatever discovery says of them: it only narrows what is sent to."""
        changed = self._list.entries(self._withheld ^ names)
        self._withheld = names
        if changed:
            self._counters["lists"] += 1
            self._learn(api.MembershipKind.DELTA, changed, False)

    def _learn(self, kind: api.MembershipKind, entries: Sequence[ListEntry], current: bool) -> None:
        """The pools and the module, at once."""
        rows = [(self._narrowed(entry.endpoint), entry.host, entry.port) for entry in entries]
        self._servers.update_list(rows, kind != api.MembershipKind.DELTA)
        self._tell(api.Membership(kind, [row for row, _, _ in rows], current))

    def _narrowed(self, row: api.Endpoint) -> api.Endpoint:
        """A copy for the module, which writes in its rows; not ready if it is withheld here."""
        withheld = row.name in self._withheld and row.state == api.EndpointState.READY
        return replace(row, state=api.EndpointState.DRAINING if withheld else row.state)
