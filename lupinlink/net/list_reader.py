"""Reads discovery's objects; an entry that is as it was last time costs next to nothing."""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass
from typing import Any

from lupinlink.interface import EndpointState
from lupinlink.net.list_entries import ListEntry, read_entry
from lupinlink.net.list_format import ListError, ListObject, version_of
from lupinlink.settings import Settings

SLICE_ENTRIES = 512  # entries that are read anew in one turn of the event loop


@dataclass(slots=True, frozen=True)
class KnownEntry:
    """One entry as discovery wrote it, and as it was read."""

    written: dict[str, Any]
    types: tuple[type, ...]  # of its values: JSON's true equals its 1
    entry: ListEntry


class ListReader:
    """Reads one object after another."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._known: dict[str, KnownEntry] = {}
        self._entries_read = 0  # of all objects, but for those that were as they had been

    def read(self, raw: object) -> ListObject:
        """As ``reading``, at once."""
        slices = self.reading(raw)
        try:
            while True:
                next(slices)
        except StopIteration as end:
            read: ListObject = end.value
            return read

    def reading(self, raw: object) -> Generator[None, None, ListObject]:
        """Read one object in slices; raises ListError only if nothing of it can be used.

        An entry that is as it was comes back as the very same ``ListEntry``.
        """
        if not isinstance(raw, dict):
            raise ListError("no object")
        items = raw.get("targets")
        if not isinstance(items, list):
            raise ListError("no list of targets")
        entries, faults = yield from self._read_entries(items)
        full = raw.get("all") is True
        if full and items and not entries:
            raise ListError(f"a whole list of {len(items)} entries that names no backend")
        if full:
            self._known = {name: self._known[name] for name in entries if name in self._known}
        fault = faults[0] if faults else ""
        return ListObject(version_of(raw.get("rev")), full, tuple(entries.values()), len(faults), fault)

    def forget(self, names: Iterable[str]) -> None:
        """These are on the list no longer."""
        for name in names:
            self._known.pop(name, None)

    def _read_entries(
        self, items: list[object]
    ) -> Generator[None, None, tuple[dict[str, ListEntry], list[str]]]:
        """The entries by name, and what could not be read."""
        entries: dict[str, ListEntry] = {}
        faults = []
        slice_end = self._entries_read + SLICE_ENTRIES
        for item in items:
            if self._entries_read >= slice_end:
                yield
                slice_end = self._entries_read + SLICE_ENTRIES
            entry = self._read_entry(item)
            if entry is None:
                faults.append("uid: no name")
                continue
            name = entry.endpoint.name
            if entry.fault:
                faults.append(entry.fault)
            if name in entries:
                faults.append("uid: named twice")
                if entry.ready and not entries[name].ready:
                    entry = entry.with_state(EndpointState.DRAINING)
            entries[name] = entry
        return entries, faults

    def _read_entry(self, item: object) -> ListEntry | None:
        uid = item.get("uid") if isinstance(item, dict) else None
        if not isinstance(item, dict) or not isinstance(uid, str):
            self._entries_read += 1
            return read_entry(item, self._settings)
        known = self._known.get(uid)
        types = tuple(map(type, item.values()))
        if known is not None and known.written == item and known.types == types:
            return known.entry
        self._entries_read += 1
        entry = read_entry(item, self._settings)
        if entry is not None and not entry.fault:
            self._known[uid] = KnownEntry(item, types, entry)
        else:
            self._known.pop(uid, None)
        return entry
