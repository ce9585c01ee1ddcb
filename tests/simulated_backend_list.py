"""The list of backends that a simulated discovery has, with its versions."""

from __future__ import annotations

import json
from typing import Any

from tests.drain_script import Change, Departure, Script

NUMBERED_FROM = (41, 5041)  # each address of discovery has its own version numbers
READY = "in_service"
SPARE = 2  # backends that never leave
Entry = dict[str, Any]


def backend(number: int) -> Entry:
    """Return the entry of a backend."""
    return {"uid": f"s-{number}", "endpoint": f"10.1.0.{number}:7070", "az": "a", "model": "m",
            "pod_group": number, "state": READY, "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip


def rarely_used(number: int) -> Entry:
    """Return an entry that makes the list long, of a backend so small that it gets hardly any request."""
    where = {"uid": f"many-{number}", "endpoint": f"10.2.{number // 250}.{number % 250 + 1}:7070"}
    return {**backend(0), **where, "capacity_hint": 1e-9}


class SimulatedBackendList:
    """The list; backend number n departs with the n-th change."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._truth = {f"s-{i}": backend(i) for i in range(1, len(script.changes) + SPARE + 1)}
        self._departing = set(list(self._truth)[: len(script.changes)])
        self._truth |= {row["uid"]: row for row in map(rarely_used, range(script.more_backends))}
        self._changed = dict.fromkeys(self._truth, 0)  # the revision in which each last changed
        self._left: dict[str, Entry] = {}  # entries of removed backends
        self.revision = 0

    def text(self, update: Entry) -> bytes:
        """Encode one object."""
        return (json.dumps(update, indent=2 if self._script.indented else None) + "\n").encode()

    def full_list(self, where: int) -> Entry:
        """Return the full list, with the version numbers of that address."""
        rows = [e for e in self._truth.values() if e["state"] == READY or not self._script.leaves_out]
        return {"rev": NUMBERED_FROM[where] + self.revision, "all": True, "targets": rows}

    def since(self, where: int, version: int, full: bool = False) -> Entry:
        """Return what has changed since a version; the full list if that version is unknown."""
        revision = version - NUMBERED_FROM[where]
        if full or not 0 <= revision <= self.revision:
            return self.full_list(where)
        names = [name for name, changed in self._changed.items() if changed > revision]
        rows = [self._truth.get(name) or self._left[name] for name in names]
        return {"rev": NUMBERED_FROM[where] + self.revision, "all": False, "targets": rows}

    def last(self, where: int) -> Entry:
        """Return the last change."""
        return self.since(where, NUMBERED_FROM[where] + self.revision - 1)

    def change(self, number: int, change: Change) -> str:
        """Apply the change; return the name of the backend that departs."""
        name = f"s-{number}"
        self.revision += 1
        self._changed[name] = self.revision
        if change.going is Departure.DRAIN:
            self._truth[name] = {**self._truth[name], "state": "terminating"}
        else:
            self._left[name] = {**self._truth.pop(name), "state": "terminated"}
        if change.going is Departure.REPLACEMENT:
            fresh = backend(100 + number)
            self._truth[fresh["uid"]], self._changed[fresh["uid"]] = fresh, self.revision
        return name

    def departures(self, update: Entry) -> set[str]:
        """Return the backends that are draining or gone according to this object."""
        departed = {entry["uid"] for entry in update["targets"] if entry["state"] != READY}
        if update["all"]:
            departed |= self._departing - {entry["uid"] for entry in update["targets"]}
        return departed


def with_update(known: Entry, update: Entry) -> Entry:
    """Return the known list with an update applied."""
    rows = {} if update["all"] else {entry["uid"]: entry for entry in known["targets"]}
    rows.update((entry["uid"], entry) for entry in update["targets"])
    kept = [entry for entry in rows.values() if entry["state"] != "terminated"]
    return {"rev": update["rev"], "all": True, "targets": kept}
