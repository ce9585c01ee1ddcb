"""The format of discovery's lists: their JSON objects, and splitting the bytes of a watch into objects."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lupinlink.errors import LupinError
from lupinlink.net.json_nesting import NestingCounter
from lupinlink.net.list_entries import STATE_BY_NAME as STATE_BY_NAME
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_entries import index_or_unknown as index_or_unknown

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # 6,400 backends, indented over several lines each, take some 2 MiB
MAX_VERSION = 2**63  # larger numbers are no valid version
# An empty line, or a line that may end an object.
MAY_END = re.compile(rb"(?:\A|\n)[ \t\r\x0b\x0c]*\n|\}[ \t\r\x0b\x0c]*(?:\n|\Z)")
LINE = re.compile(rb"[^\r\n]*(?:\r\n?|\n)?")


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
    """Splits the bytes of a watch into JSON objects: one on each line, or one indented over several lines.

    The work for an object is in proportion to its size, whatever pieces or lines it arrives in: it is parsed
    when all that it has opened is closed, and before that only each time it has doubled in size.
    """

    def __init__(self) -> None:
        self.activity = 0  # count of empty lines, of objects begun and of objects completed
        self._line_has_text = False  # whether the last line, which is incomplete, is more than white space
        self._begin_object()

    def _begin_object(self) -> None:
        self._text = bytearray()  # of the incomplete object
        self._nesting = NestingCounter()
        self._parsed_size = 0  # the size of the text when it was parsed last

    @property
    def has_partial(self) -> bool:
        """Whether part of an object has arrived."""
        return bool(self._text)

    def pieces(self, data: bytes) -> Iterator[bytes]:
        """Split data into lines, and runs of lines that continue an object without ending it.

        So an object over many lines is not processed line by line. Feed each piece before taking the next.
        """
        at = 0
        while at < len(data):
            end = self._inner_lines_end(data, at)
            if end <= at:
                end = LINE.match(data, at).end()  # type: ignore[union-attr]  # it matches everywhere
            yield data[at:end]
            at = end

    def _inner_lines_end(self, data: bytes, at: int) -> int:
        """The end of the lines from ``at`` that continue an object without ending it; 0 if there are none."""
        if not self._text.endswith(b"\n"):
            return 0
        found = MAY_END.search(data, at)
        return data.rfind(b"\n", at, found.start() if found is not None else len(data)) + 1

    def feed(self, piece: bytes) -> list[Any]:
        """Return the object that one of ``pieces`` completes, if any; raises ListError for what is none."""
        had_partial, has_text, ends_line = self.has_partial, bool(piece.strip()), piece.endswith(b"\n")
        if ends_line and not has_text and not self._line_has_text:
            if had_partial:
                raise ListError("an empty line within an object")
            self.activity += 1
            return []
        self._line_has_text = not ends_line and (has_text or self._line_has_text)
        if not had_partial and not has_text:
            return []
        self._text += piece
        self._nesting.feed(piece)
        found = self._parse() if self._is_parse_due(piece, ends_line) else []
        if len(self._text) > MAX_OBJECT_BYTES:
            raise ListError(f"an object of more than {MAX_OBJECT_BYTES} bytes")
        self.activity += len(found) + (not had_partial and self.has_partial)
        return found

    def _is_parse_due(self, piece: bytes, ends_line: bool) -> bool:
        """Whether the text may be complete, or may have become malformed since it was parsed last."""
        closed = self._nesting.depth <= 0 and not self._nesting.in_string
        may_end = piece.rstrip().endswith(b"}")
        if not ends_line:
            return closed and may_end  # a complete object counts as notified before the end of its line
        if self._nesting.in_string:
            raise ListError("malformed JSON: a line end within a string")
        has_doubled = len(self._text) >= 2 * self._parsed_size
        return closed or not self._parsed_size or (may_end and has_doubled)

    def _parse(self) -> list[Any]:
        text = self._text.decode()
        self._parsed_size = len(self._text)
        try:
            found = json.loads(text)
        except json.JSONDecodeError as exc:
            if exc.pos >= len(text) and self._nesting.depth > 0:  # valid so far, but incomplete
                return []
            raise ListError(f"malformed JSON: {exc.msg}") from exc
        except RecursionError as exc:
            raise ListError("JSON is nested too deep") from exc
        if not isinstance(found, dict):
            raise ListError("a line that is not a JSON object")
        self._line_has_text = False
        self._begin_object()
        return [found]
