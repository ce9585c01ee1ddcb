"""Discovery's form: one object of a list or a watch, and where one ends in the bytes that come."""

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
MAX_VERSION = 2**63  # a version from here on is none
# An empty line, or one that may end an object.
MAY_END = re.compile(rb"(?:\A|\n)[ \t\r\x0b\x0c]*\n|\}[ \t\r\x0b\x0c]*(?:\n|\Z)")


class ListError(LupinError, ValueError):
    """What discovery wrote is no list."""

    code = "LL603"
    about = "discovery wrote something that is no list of application servers"
    remedy = "look at what discovery answers to GET /discovery/hosts; the last good list stays in force"


@dataclass(frozen=True, slots=True)
class ListObject:
    """One object of discovery: a whole list, or what has changed."""

    version: int | None  # None: it could not be read
    full: bool  # whether it is the whole list
    entries: tuple[ListEntry, ...]  # one a name
    rejected: int = 0  # entries that could not be read, in whole or in part
    fault: str = ""  # of the first of them


def version_of(rev: object) -> int | None:
    """A version; None for what is no whole number."""
    if isinstance(rev, bool) or not isinstance(rev, int):
        return None
    return rev if abs(rev) < MAX_VERSION else None


class ObjectSplitter:
    """Cuts the lines of a watch into its objects. Most take one line; one may come indented, over several."""

    def __init__(self) -> None:
        self._line = b""  # the last one, while its end is still to come
        self._lines: list[bytes] = []  # of an object that has begun
        self._size = 0
        self.signs = 0  # of life: empty lines, objects that begin, objects that end

    @property
    def begun(self) -> bool:
        """Whether part of an object is here."""
        return bool(self._lines or self._line.strip())

    def take_middle(self, data: bytes) -> bytes:
        """Take the whole lines at the beginning that lie within an object; the rest is returned.

        One over many lines need not be looked at line by line.
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
            raise ListError(f"an object of over {MAX_OBJECT_BYTES} bytes")
        return data[end:]

    def feed(self, data: bytes) -> list[Any]:
        """The objects that end in these bytes; raises ListError for what can be none."""
        begun = self.begun
        *lines, self._line = (self._line + data).split(b"\n")
        found = []
        for line in lines:
            if line.strip():
                self._lines.append(line)
                self._size += len(line)
                # Only there can one end, and a first line shows whether one begins: a long list that comes
                # over many lines is not parsed anew at each.
                if len(self._lines) == 1 or line.rstrip().endswith(b"}"):
                    found += self._whole()
            elif self._lines:
                raise ListError("an object is cut short by an empty line")
            else:
                self.signs += 1
        if self._line.rstrip().endswith(b"}"):
            found += self._before_line_end()
        self.signs += len(found) + (not begun and self.begun)
        if self._size + len(self._line) > MAX_OBJECT_BYTES:
            raise ListError(f"an object of over {MAX_OBJECT_BYTES} bytes")
        return found

    def _before_line_end(self) -> list[Any]:
        """An object that is whole counts as told, though the end of its line is still to come."""
        self._lines.append(self._line)
        whole: list[Any] = []
        with suppress(ListError):  # cut within a string it looks broken: only its line's end shows that
            whole = self._whole()
        if whole:
            self._line = b""
        else:
            self._lines.pop()
        return whole

    def _whole(self) -> list[Any]:
        text = b"\n".join(self._lines).decode()
        try:
            found = json.loads(text)
        except json.JSONDecodeError as exc:
            if exc.pos >= len(text):  # all of it is right so far: more is to come
                return []
            raise ListError(f"broken JSON: {exc.msg}") from exc
        except RecursionError as exc:
            raise ListError("nested too deep") from exc
        if not isinstance(found, dict):
            raise ListError("a line that is no object")
        self._lines.clear()
        self._size = 0
        return [found]
