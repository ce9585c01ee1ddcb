"""Parses the first line of a request or an answer. Performs no I/O."""

from __future__ import annotations

import re

from lupinlink.net.http1_fields import TOKEN
from lupinlink.net.http1_messages import Message, MessageError

# Clients of a proxy may send the target in absolute form; only its path and query are used.
REQUEST_LINE = re.compile(rf"({TOKEN}) (?:[Hh][Tt][Tt][Pp]://[^/?# ]+)?(/[\x21-\x7e]*) HTTP/1\.([01])")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")
OTHER_REQUEST_LINE = re.compile(rf"{TOKEN} [\x21-\x7e]+ HTTP/[0-9]\.[0-9]")


def request_with(line: str) -> Message:
    """A request with this first line; raises MessageError."""
    match = REQUEST_LINE.fullmatch(line)
    if match is None:
        known = OTHER_REQUEST_LINE.fullmatch(line)
        raise MessageError(505 if known and "HTTP/1." not in line else 400, "malformed request line")
    return Message(int(match.group(3)), [], method=match.group(1), target=match.group(2))


def answer_with(line: str) -> Message:
    """An answer with this first line; raises MessageError."""
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise MessageError(502, "malformed status line")
    return Message(int(match.group(1)), [], status=int(match.group(2)))
