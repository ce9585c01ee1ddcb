"""Reads the objects of discovery; entries that are unchanged since the last object are not parsed again."""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass
from typing import Any

from lupinlink.interface import EndpointState
from lupinlink.net.list_entries import ListEntry, read_entry
from lupinlink.net.list_format import ListError, ListObject, version_of
from lupinlink.settings import Settings

SLICE_ENTRIES = 512  # new or changed entries that are read in one iteration of the event loop


@dataclass(slots=True, frozen=True)
class CachedEntry:
    """One entry as discovery wrote it, and what was read from it."""

    raw: dict[str, Any]
    types: tuple[type, ...]  # of the values, since True == 1 in Python
    entry: ListEntry


class ListReader:
    """Reads objects, and remembers their entries to compare with those of the next one."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._cached: dict[str, CachedEntry] = {}
        self._parsed_count = 0  # number of new or changed entries in all objects so far

    def read(self, raw: object) -> ListObject:
        """Read one object at once; see ``read_in_slices``."""
        slices = self.read_in_slices(raw)
        try:
            while True:
                next(slices)
        except StopIteration as end:
            parsed: ListObject = end.value
            return parsed

    def read_in_slices(self, raw: object) -> Generator[None, None, ListObject]:
        """Read one object in slices; raises ListError only if nothing of it can be used.

        For an unchanged entry the result holds the identical ``ListEntry`` as last time.
        """
        if not isinstance(raw, dict):
            raise ListError("the list is not a JSON object")
        items = raw.get("targets")
        if not isinstance(items, list):
            raise ListError("the list has no array of targets")
        entries, faults = yield from self._read_entries(items)
        full = raw.get("all") is True
        if full and items and not entries:
            raise ListError(f"a full list of {len(items)} entries, none of which names a backend")
        if full:
            self._cached = {name: self._cached[name] for name in entries if name in self._cached}
        fault = faults[0] if faults else ""
        return ListObject(version_of(raw.get("rev")), full, tuple(entries.values()), len(faults), fault)

    def forget(self, names: Iterable[str]) -> None:
        """Drop what is remembered of backends that have left the list."""
        for name in names:
            self._cached.pop(name, None)

    def _read_entries(
        self, items: list[object]
    ) -> Generator[None, None, tuple[dict[str, ListEntry], list[str]]]:
        """Return the entries by name, and the faults of entries."""
        entries: dict[str, ListEntry] = {}
        faults = []
        slice_end = self._parsed_count + SLICE_ENTRIES
        for item in items:
            if self._parsed_count >= slice_end:
                yield
                slice_end = self._parsed_count + SLICE_ENTRIES
            entry = self._read_entry(item)
            if entry is None:
                faults.append("uid: missing or not printable")
                continue
            name = entry.endpoint.name
            if entry.fault:
                faults.append(entry.fault)
            if name in entries:
                faults.append("uid: listed twice")
                if entry.ready and not entries[name].ready:
                    entry = entry.with_state(EndpointState.DRAINING)
            entries[name] = entry
        return entries, faults

    def _read_entry(self, item: object) -> ListEntry | None:
        uid = item.get("uid") if isinstance(item, dict) else None
        if not isinstance(item, dict) or not isinstance(uid, str):
            self._parsed_count += 1
            return read_entry(item, self._settings)
        cached = self._cached.get(uid)
        types = tuple(map(type, item.values()))
        if cached is not None and cached.raw == item and cached.types == types:
            return cached.entry
        self._parsed_count += 1
        entry = read_entry(item, self._settings)
        if entry is not None and not entry.fault:
            self._cached[uid] = CachedEntry(item, types, entry)
        else:
            self._cached.pop(uid, None)
        return entry
