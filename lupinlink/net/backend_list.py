"""The list of backends as this process knows it, and how each update of discovery changes it.

An update with a lower version than the list was computed before it, so it may take backends out of service
but add none. Performs no I/O; the caller passes the current time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lupinlink.interface import EndpointState, MembershipKind
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_format import ListObject

# If only older updates arrive for longer than this, discovery has lost its versions and counts from a lower
# one. It is the time after which every change that discovery has counts as notified.
VERSION_RESET_MS = 6000.0
MAX_REMOVED = 4096  # removed backends whose last start time is remembered


@dataclass(frozen=True, slots=True)
class ListChange:
    """What the connection pools and the decision module have to apply."""

    kind: MembershipKind
    entries: tuple[ListEntry, ...]


class BackendList:
    """Backends by name, and the version of the last update."""

    def __init__(self) -> None:
        self.version = 0
        self.ready = 0  # number of backends that take new requests
        self._entries: dict[str, ListEntry] = {}
        self._last_starts: dict[str, float] = {}  # of removed backends, oldest removal first
        self._older_since: float | None = None  # when older updates began, if the last update was one
        self._out_by_older = False  # an older update took backends out since the last full list

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self, names: Iterable[str] | None = None) -> list[ListEntry]:
        """Return the listed backends with these names; all by default."""
        if names is None:
            return list(self._entries.values())
        return [self._entries[name] for name in names if name in self._entries]

    @property
    def only_older_updates(self) -> bool:
        """Whether the last update was older than the list, and so does not show that the list is current."""
        return self._older_since is not None

    @property
    def is_incomplete(self) -> bool:
        """Whether older updates were skipped or applied only in part, which only a full list can correct."""
        return self._out_by_older or self._older_since is not None

    def apply(
        self, update: ListObject, kind: MembershipKind, now: float, new_versions: bool = False
    ) -> ListChange:
        """Apply one update; ``new_versions``: it is the first full list of another discovery."""
        full = kind != MembershipKind.DELTA
        if full and (new_versions or kind == MembershipKind.CACHED):
            return self._replace(update, kind)
        if update.version is not None and update.version < self.version:
            if self._older_since is None:
                self._older_since = now
            if not (full and self._versions_were_reset(now)):
                return self._apply_older(update, full)
            return self._replace(update, kind)
        if update.version is not None:
            self.version = update.version
            self._older_since = None
        return self._published(kind, self._apply_entries(update, full))

    def _published(self, kind: MembershipKind, changed: tuple[ListEntry, ...]) -> ListChange:
        """Publish all of a cached list, and of any other one only what differs from the list before it."""
        if kind == MembershipKind.CACHED:
            return ListChange(kind, tuple(self._entries.values()))
        return ListChange(MembershipKind.DELTA, changed)

    def _versions_were_reset(self, now: float) -> bool:
        return self._older_since is not None and now - self._older_since > VERSION_RESET_MS

    def _replace(self, update: ListObject, kind: MembershipKind) -> ListChange:
        """Apply a full list, whatever its version."""
        self.version = update.version or 0
        self._older_since = None
        changed = self._apply_entries(update, True)
        self._last_starts.clear()
        return self._published(kind, changed)

    def _apply_entries(self, update: ListObject, full: bool) -> tuple[ListEntry, ...]:
        """Return the entries that have changed; a backend that is missing in a full list is gone."""
        changed = [self._sanitized(entry) for entry in update.entries if not self._is_unchanged(entry)]
        if full:
            self._out_by_older = False
            names = {entry.endpoint.name for entry in update.entries}
            missing = [entry for name, entry in self._entries.items() if name not in names]
            changed += [entry.with_state(EndpointState.GONE) for entry in missing]
        for entry in changed:
            self._set(entry)
        return tuple(changed)

    def _is_unchanged(self, entry: ListEntry) -> bool:
        """Whether the reader has returned the entry that is listed already."""
        return self._entries.get(entry.endpoint.name) is entry

    def _apply_older(self, update: ListObject, full: bool) -> ListChange:
        """Apply only entries of an older update that take a backend out of service or show its restart."""
        changed = []
        for entry in map(self._sanitized, update.entries):
            listed = self._entries.get(entry.endpoint.name)
            if self._is_restarted(entry) or (listed is not None and listed.ready and not entry.ready):
                changed.append(entry)
        if full:
            names = {entry.endpoint.name for entry in update.entries}
            missing = [entry for name, entry in self._entries.items() if name not in names]
            changed += [entry.with_state(EndpointState.GONE) for entry in missing]
        for entry in changed:
            self._set(entry)
            self._out_by_older = self._out_by_older or not entry.ready
        return ListChange(MembershipKind.DELTA, tuple(changed))

    def _is_restarted(self, entry: ListEntry) -> bool:
        """Whether the entry is of a later process of the backend than the one known here."""
        name = entry.endpoint.name
        listed = self._entries.get(name)
        known = listed.endpoint.started_ms if listed is not None else self._last_starts.get(name)
        return not entry.fault and known is not None and entry.endpoint.started_ms > known

    def _sanitized(self, entry: ListEntry) -> ListEntry:
        """An invalid entry changes only the state of a backend that is listed."""
        name = entry.endpoint.name
        if not entry.fault:
            return entry
        if name in self._entries:
            return self._entries[name].with_state(entry.endpoint.state)
        started_ms = max(entry.endpoint.started_ms, self._last_starts.get(name, 0.0))
        return replace(entry, endpoint=replace(entry.endpoint, started_ms=started_ms))

    def _set(self, entry: ListEntry) -> None:
        name = entry.endpoint.name
        if entry.endpoint.state == EndpointState.GONE:
            self._remove(name, entry.endpoint.started_ms)
            return
        listed = self._entries.get(name)
        self.ready += entry.ready - (listed is not None and listed.ready)
        self._entries[name] = entry
        self._last_starts.pop(name, None)

    def _remove(self, name: str, started_ms: float = 0.0) -> None:
        listed = self._entries.pop(name, None)
        self.ready -= listed is not None and listed.ready
        before = self._last_starts.pop(name, 0.0)
        self._last_starts[name] = max(
            started_ms, before, listed.endpoint.started_ms if listed is not None else 0.0
        )
        if len(self._last_starts) > MAX_REMOVED:
            del self._last_starts[next(iter(self._last_starts))]
