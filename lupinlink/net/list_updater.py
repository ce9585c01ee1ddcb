"""Applies discovery's updates to the list, and publishes the changes to pools and decision module."""

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

SLICE_ENTRIES = 256  # entries that are published in one iteration of the event loop


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One update of the list as discovery sent it."""

    raw: Any
    kind: api.MembershipKind
    new_versions: bool = False  # its version is not comparable with that of the list
    is_current: Callable[[], bool] = lambda: True  # whether it still shows what discovery has now


class ListUpdater:
    """Owns the list of backends and publishes its changes."""

    def __init__(
        self,
        clock: ReactorClock,
        settings: Settings,
        servers: ApplicationServers,
        counters: Counters,
        log: DiscoveryLog,
        on_membership: Callable[[api.Membership], None],
    ) -> None:
        self._clock, self._servers, self._counters = clock, servers, counters
        self._log, self._on_membership = log, on_membership
        self._reader = ListReader(settings)
        self._list = BackendList()  # as discovery has it; withheld backends are ready in it
        self._withheld: frozenset[str] = frozenset()  # taken out of use by this proxy alone

    def __len__(self) -> int:
        return len(self._list)

    @property
    def version(self) -> int:
        """The version of the last update."""
        return self._list.version

    @property
    def ready(self) -> int:
        """Number of backends that take new requests."""
        return self._list.ready - sum(entry.ready for entry in self._list.entries(self._withheld))

    @property
    def is_incomplete(self) -> bool:
        """Whether only a full list can correct what older updates left."""
        return self._list.is_incomplete

    def entries(self) -> list[ListEntry]:
        """All backends."""
        return self._list.entries()

    def snapshot(self) -> dict[str, Any]:
        """Return the list in discovery's JSON format."""
        targets = [entry.as_json() for entry in self._list.entries() if entry.host]
        return {"rev": self.version, "all": True, "targets": targets}

    def load(self, known: Mapping[str, Any]) -> None:
        """Load the list that this proxy knew last, in one step; raises ListError if it is invalid."""
        for _ in self.apply_in_slices(ListUpdate(dict(known), api.MembershipKind.CACHED)):
            pass

    def apply_in_slices(
        self, update: ListUpdate, on_applied: Callable[[], None] = lambda: None
    ) -> Iterator[None]:
        """Apply an update in slices; raises ListError if it is not a list.

        ``on_applied`` is called once the list has the update, before it is published.
        """
        parsed = yield from self._reader.read_in_slices(update.raw)
        if parsed.rejected:
            self._log.rejected(parsed, update.kind.name.lower())
        change = self._list.apply(parsed, update.kind, self._clock.now(), update.new_versions)
        if update.kind != api.MembershipKind.CACHED:
            self._reader.forget(entry.endpoint.name for entry in change.entries if entry.is_gone)
            self._log.changed(self.version, update.kind.name.lower(), change.entries)
        on_applied()
        yield from self._publish_in_slices(change, update)

    def _publish_in_slices(self, change: ListChange, update: ListUpdate) -> Iterator[None]:
        """Publish a change in slices; the last one carries whether the list is current."""
        self._counters["lists"] += 1
        if change.kind == api.MembershipKind.CACHED:
            self._publish(change.kind, change.entries, True)
            return
        # Backends that must get no more requests come first.
        entries = sorted(change.entries, key=lambda entry: entry.ready)
        while len(entries) > SLICE_ENTRIES:
            self._publish(change.kind, entries[:SLICE_ENTRIES], False)
            del entries[:SLICE_ENTRIES]
            yield
        self._publish(change.kind, entries, update.is_current() and not self._list.only_older_updates)

    def withhold(self, names: frozenset[str]) -> None:
        """Send nothing to these backends, whatever discovery says of them; this replaces earlier names."""
        changed = self._list.entries(self._withheld ^ names)
        self._withheld = names
        if changed:
            self._counters["lists"] += 1
            self._publish(api.MembershipKind.DELTA, changed, False)

    def _publish(self, kind: api.MembershipKind, entries: Sequence[ListEntry], current: bool) -> None:
        """Publish to the connection pools and the decision module at once."""
        rows = [(self._effective(entry.endpoint), entry.host, entry.port) for entry in entries]
        self._servers.update_list(rows, kind != api.MembershipKind.DELTA)
        self._on_membership(api.Membership(kind, [row for row, _, _ in rows], current))

    def _effective(self, row: api.Endpoint) -> api.Endpoint:
        """Return a copy, since the decision module modifies its rows; draining if the backend is withheld."""
        withheld = row.name in self._withheld and row.state == api.EndpointState.READY
        return replace(row, state=api.EndpointState.DRAINING if withheld else row.state)
