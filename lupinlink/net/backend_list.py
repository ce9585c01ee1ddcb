"""The list of backends as this process has it, and what each object of discovery changes in it.

Versions decide: an object older than the list was computed before it, so it may take backends out of
service but bring none in. Pure: times are handed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lupinlink.interface import EndpointState, MembershipKind
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_format import ListObject

# Only older objects for longer than this: discovery has lost its versions and numbers anew. It is the time
# after which everything that discovery has counts as told.
VERSION_RESET_MS = 6000.0
MAX_REMOVED = 4096  # names of removed backends whose last start is remembered


@dataclass(frozen=True, slots=True)
class ListChange:
    """What the pools and the module have to learn."""

    kind: MembershipKind
    entries: tuple[ListEntry, ...]


class BackendList:
    """Backends by name, and the version that they were told with."""

    def __init__(self) -> None:
        self.version = 0
        self.ready = 0  # backends that take new requests
        self._entries: dict[str, ListEntry] = {}
        self._removed: dict[str, float] = {}  # the last start of a removed backend, oldest removal first
        self._older_since: float | None = None  # when the first of only older objects came
        self._narrowed = False  # by an older object, since the last whole list

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self, names: Iterable[str] | None = None) -> list[ListEntry]:
        """The backends of these names that are listed; all by default."""
        if names is None:
            return list(self._entries.values())
        return [self._entries[name] for name in names if name in self._entries]

    @property
    def older_only(self) -> bool:
        """Whether what came last was older than the list, and so no sign that the list is current."""
        return self._older_since is not None

    @property
    def behind(self) -> bool:
        """Whether older objects were not, or not in full, taken: only a whole list can set that right."""
        return self._narrowed or self._older_since is not None

    def apply(self, told: ListObject, kind: MembershipKind, now: float, fresh: bool = False) -> ListChange:
        """Take one object; ``fresh``: the first whole list of another discovery, with versions of its own."""
        whole = kind != MembershipKind.DELTA
        if whole and (fresh or kind == MembershipKind.CACHED):
            return self._replace(told, kind)
        if told.version is not None and told.version < self.version:
            if self._older_since is None:
                self._older_since = now
            if not (whole and self._numbered_anew(now)):
                return self._narrow(told, whole)
            return self._replace(told, kind)
        if told.version is not None:
            self.version = told.version
            self._older_since = None
        return self._change(kind, self._take(told, whole))

    def _change(self, kind: MembershipKind, changed: tuple[ListEntry, ...]) -> ListChange:
        """Of a whole list only what differs from the one before has to be learnt, but of a known one all."""
        if kind == MembershipKind.CACHED:
            return ListChange(kind, tuple(self._entries.values()))
        return ListChange(MembershipKind.DELTA, changed)

    def _numbered_anew(self, now: float) -> bool:
        return self._older_since is not None and now - self._older_since > VERSION_RESET_MS

    def _replace(self, told: ListObject, kind: MembershipKind) -> ListChange:
        """Take a whole list as it is, whatever its version."""
        self.version = told.version or 0
        self._older_since = None
        changed = self._take(told, True)
        self._removed.clear()
        return self._change(kind, changed)

    def _take(self, told: ListObject, whole: bool) -> tuple[ListEntry, ...]:
        """Those that have changed; who is left out of a whole list is gone."""
        changed = [self._readable(entry) for entry in told.entries if not self._is_held(entry)]
        if whole:
            self._narrowed = False
            named = {entry.endpoint.name for entry in told.entries}
            left_out = [entry for name, entry in self._entries.items() if name not in named]
            changed += [entry.with_state(EndpointState.GONE) for entry in left_out]
        for entry in changed:
            self._set(entry)
        return tuple(changed)

    def _is_held(self, entry: ListEntry) -> bool:
        """Whether it is on the list just as it was read."""
        return self._entries.get(entry.endpoint.name) is entry

    def _narrow(self, told: ListObject, whole: bool) -> ListChange:
        """Of an older object only what takes backends out of service, or tells of a later start of theirs."""
        changed = []
        for entry in map(self._readable, told.entries):
            held = self._entries.get(entry.endpoint.name)
            if self._started_later(entry) or (held is not None and held.ready and not entry.ready):
                changed.append(entry)
        if whole:
            named = {entry.endpoint.name for entry in told.entries}
            left_out = [entry for name, entry in self._entries.items() if name not in named]
            changed += [entry.with_state(EndpointState.GONE) for entry in left_out]
        for entry in changed:
            self._set(entry)
            self._narrowed = self._narrowed or not entry.ready
        return ListChange(MembershipKind.DELTA, tuple(changed))

    def _started_later(self, entry: ListEntry) -> bool:
        """Whether it is a later process of a backend than the one known here."""
        name = entry.endpoint.name
        held = self._entries.get(name)
        known = held.endpoint.started_ms if held is not None else self._removed.get(name)
        return not entry.fault and known is not None and entry.endpoint.started_ms > known

    def _readable(self, entry: ListEntry) -> ListEntry:
        """An entry that can't be read changes only the state of a backend that is known."""
        name = entry.endpoint.name
        if not entry.fault:
            return entry
        if name in self._entries:
            return self._entries[name].with_state(entry.endpoint.state)
        started_ms = max(entry.endpoint.started_ms, self._removed.get(name, 0.0))
        return replace(entry, endpoint=replace(entry.endpoint, started_ms=started_ms))

    def _set(self, entry: ListEntry) -> None:
        name = entry.endpoint.name
        if entry.endpoint.state == EndpointState.GONE:
            self._remove(name, entry.endpoint.started_ms)
            return
        held = self._entries.get(name)
        self.ready += entry.ready - (held is not None and held.ready)
        self._entries[name] = entry
        self._removed.pop(name, None)

    def _remove(self, name: str, started_ms: float = 0.0) -> None:
        held = self._entries.pop(name, None)
        self.ready -= held is not None and held.ready
        before = self._removed.pop(name, 0.0)
        self._removed[name] = max(started_ms, before, held.endpoint.started_ms if held is not None else 0.0)
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
