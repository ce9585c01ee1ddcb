"""Records of the stand-in agreement service: revisions, locks, what was deleted. Pure, one step at a time.

From the public pages of Consul's KV store: every change has the next index of the whole service; a record
keeps the index of its creation and of its last change, how often it was locked, and the session that holds
it. Writing what is there already is no change. What was deleted keeps the index of its prefix from going
back.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, replace

MOST_VALUE = 512 * 1024


class RefusedError(Exception):
    """A step that does not fit; nothing of it was done."""


@dataclass(frozen=True, slots=True)
class Row:
    """One record."""

    key: str
    value: bytes
    flags: int = 0
    created: int = 0
    modified: int = 0
    locks: int = 0
    session: str = ""


class Records:
    """All records at one index. Every call that changes takes the index that the change gets."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.graves: dict[str, int] = {}  # what was deleted, and at which index
        self.changed: set[str] = set()  # keys since somebody last took them
        self.undo: list[tuple[str, Row | None, int | None]] | None = None  # of a transaction that runs
        self._keys: list[str] = []  # sorted

    def below(self, prefix: str) -> list[Row]:
        """Every record whose key begins so, by key."""
        found, at = [], bisect.bisect_left(self._keys, prefix)
        while at < len(self._keys) and self._keys[at].startswith(prefix):
            found.append(self.rows[self._keys[at]])
            at += 1
        return found

    def index(self, prefix: str, exact: bool) -> int:
        """Of the last change below a prefix, or to one key; 0 where nothing ever was."""
        if exact:
            row = self.rows.get(prefix)
            return row.modified if row is not None else self.graves.get(prefix, 0)
        newest = max((row.modified for row in self.below(prefix)), default=0)
        return max([newest, *(at for key, at in self.graves.items() if key.startswith(prefix))])

    def put(self, row: Row | None, key: str, index: int) -> None:
        """Let a record stand so; None: not at all."""
        before = self.rows.get(key)
        if self.undo is not None:
            self.undo.append((key, before, self.graves.get(key)))
        if row is None:
            if before is None:
                return
            del self.rows[key]
            del self._keys[bisect.bisect_left(self._keys, key)]
            self.graves[key] = index
        else:
            if before is None:
                bisect.insort(self._keys, key)
            self.rows[key] = row
            self.graves.pop(key, None)
        self.changed.add(key)

    def roll_back(self) -> None:
        """Let all stand as it did before the transaction."""
        undo, self.undo = self.undo or [], None
        for key, before, grave in reversed(undo):
            self.put(before, key, 0)
            if grave is None:
                self.graves.pop(key, None)
            else:
                self.graves[key] = grave

    # Steps

    def set(self, key: str, value: bytes, flags: int, index: int) -> Row:
        """Write it, whoever holds it."""
        before = self.rows.get(key) or Row(key, b"", created=index, modified=0)
        return self._write(replace(before, value=value, flags=flags), index)

    def cas(self, key: str, value: bytes, flags: int, expected: int, index: int) -> Row:
        """Write it if its last change is that one; 0: if it is not there."""
        self._expect(key, expected)
        return self.set(key, value, flags, index)

    def delete_cas(self, key: str, expected: int, index: int) -> None:
        """Remove it if its last change is that one."""
        if key in self.rows:
            self._expect(key, expected)
        self.put(None, key, index)

    def check(self, key: str, expected: int) -> Row:
        """It is there and its last change is that one."""
        row = self.get(key)
        self._expect(key, expected)
        return row

    def get(self, key: str) -> Row:
        """It, or a refusal."""
        row = self.rows.get(key)
        if row is None:
            raise RefusedError(f'key "{key}" doesn\'t exist')
        return row

    def absent(self, key: str) -> None:
        """It is not there."""
        if key in self.rows:
            raise RefusedError(f'key "{key}" exists')

    def held(self, key: str, session: str) -> Row:
        """A session holds it."""
        row = self.get(key)
        if row.session != session:
            raise RefusedError(f'current session "{row.session}" does not match "{session}"')
        return row

    def lock(self, key: str, value: bytes, flags: int, session: str, index: int) -> Row:
        """Write it and let a session hold it; one that holds it already only writes."""
        before = self.rows.get(key)
        if before is not None and before.session not in ("", session):
            raise RefusedError(f'key "{key}" is already locked')
        row = before or Row(key, b"", created=index, modified=0)
        locks = row.locks + (row.session != session)
        return self._write(replace(row, value=value, flags=flags, session=session, locks=locks), index)

    def unlock(self, key: str, value: bytes, flags: int, session: str, index: int) -> Row:
        """Write it and let it go, if that session holds it."""
        row = self.rows.get(key)
        if row is None or not session or row.session != session:
            raise RefusedError(f'key "{key}" is not locked by session "{session}"')
        return self._write(replace(row, value=value, flags=flags, session=""), index)

    def _write(self, row: Row, index: int) -> Row:
        if row == self.rows.get(row.key):
            return row  # no change, no new index
        row = replace(row, modified=index)
        self.put(row, row.key, index)
        return row

    def _expect(self, key: str, expected: int) -> None:
        row = self.rows.get(key)
        if expected == 0 and row is not None:
            raise RefusedError(f'key "{key}" exists')
        if expected and (row is None or row.modified != expected):
            has = row.modified if row is not None else 0
            raise RefusedError(f"current modify index {has} does not match {expected}")
