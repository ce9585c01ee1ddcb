"""The format of discovery's lists: their JSON objects, and splitting the bytes of a watch into objects."""

from __future__ import annotations

import json
import re
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from lupinlink.errors import LupinError
from lupinlink.net.list_entries import STATE_BY_NAME as STATE_BY_NAME
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_entries import index_or_unknown as index_or_unknown

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # 6,400 backends, indented over several lines each, take some 2 MiB
MAX_VERSION = 2**63  # larger numbers are no valid version
# An empty line, or a line that may end an object.
MAY_END = re.compile(rb"(?:\A|\n)[ \t\r\x0b\x0c]*\n|\}[ \t\r\x0b\x0c]*(?:\n|\Z)")


class ListError(LupinError, ValueError):
    """What discovery wrote is not a list of backends."""

    code = "LL603"
    about = "discovery sent something that is not a list of application servers"
    remedy = "check what discovery answers to GET /discovery/hosts; the last valid list stays in force"


@dataclass(frozen=True, slots=True)
class ListObject:
    """One object as it was read: the full list, or a delta."""

    version: int | None  # None if it could not be read
    full: bool  # the full list; otherwise a delta
    entries: tuple[ListEntry, ...]  # one for each name
    rejected: int = 0  # number of entries that could not be read, or only in part
    fault: str = ""  # what was wrong with the first of them


def version_of(rev: object) -> int | None:
    """Return the version number, or None if it is not a valid integer."""
    if isinstance(rev, bool) or not isinstance(rev, int):
        return None
    return rev if abs(rev) < MAX_VERSION else None


class ObjectSplitter:
    """Splits the bytes of a watch into JSON objects: one on each line, or one indented over several lines."""

    def __init__(self) -> None:
        self._line = b""  # the last line, while it is incomplete
        self._lines: list[bytes] = []  # lines of an incomplete object
        self._size = 0
        self.activity = 0  # count of empty lines, of objects begun and of objects completed

    @property
    def has_partial(self) -> bool:
        """Whether part of an object has arrived."""
        return bool(self._lines or self._line.strip())

    def take_inner_lines(self, data: bytes) -> bytes:
        """Take the leading lines of ``data`` that continue an object without ending it, and return the rest.

        So an object over many lines is not processed line by line.
        """
        if not self._lines:
            return data
        data, self._line = self._line + data, b""
        found = MAY_END.search(data)
        end = data.rfind(b"\n", 0, found.start() if found is not None else len(data)) + 1
        if end:
            self._lines.append(data[: end - 1])
            self._size += end
        if self._size > MAX_OBJECT_BYTES:
            raise ListError(f"an object of more than {MAX_OBJECT_BYTES} bytes")
        return data[end:]

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that these bytes complete; raises ListError for what is not a JSON object."""
        had_partial = self.has_partial
        *lines, self._line = (self._line + data).split(b"\n")
        found = []
        for line in lines:
            if line.strip():
                self._lines.append(line)
                self._size += len(line)
                # An object can end only at a line that ends with a brace, and a first line shows whether one
                # begins at all. So a long list over many lines is not parsed again at each of them.
                if len(self._lines) == 1 or line.rstrip().endswith(b"}"):
                    found += self._parse_lines()
            elif self._lines:
                raise ListError("an empty line within an object")
            else:
                self.activity += 1
        if self._line.rstrip().endswith(b"}"):
            found += self._parse_incomplete_line()
        self.activity += len(found) + (not had_partial and self.has_partial)
        if self._size + len(self._line) > MAX_OBJECT_BYTES:
            raise ListError(f"an object of more than {MAX_OBJECT_BYTES} bytes")
        return found

    def _parse_incomplete_line(self) -> list[Any]:
        """A complete object counts as notified, even before the end of its line arrives."""
        self._lines.append(self._line)
        complete: list[Any] = []
        with suppress(ListError):  # within a string it looks malformed; the end of the line tells
            complete = self._parse_lines()
        if complete:
            self._line = b""
        else:
            self._lines.pop()
        return complete

    def _parse_lines(self) -> list[Any]:
        text = b"\n".join(self._lines).decode()
        try:
            found = json.loads(text)
        except json.JSONDecodeError as exc:
            if exc.pos >= len(text):  # valid so far, but incomplete
                return []
            raise ListError(f"malformed JSON: {exc.msg}") from exc
        except RecursionError as exc:
            raise ListError("JSON is nested too deep") from exc
        if not isinstance(found, dict):
            raise ListError("a line that is not a JSON object")
        self._lines.clear()
        self._size = 0
        return [found]
