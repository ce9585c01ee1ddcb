"""Parses the fields of a head. Performs no I/O."""

from __future__ import annotations

import re

from lupinlink.net.http1_messages import Message, MessageError

TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# The value begins at the first character that is no white space, so a line matches in one way at most. Were
# neighbouring parts to match the same characters, the time would grow faster than the length of the line.
HEADER = re.compile(rf"({TOKEN}):[ \t]*([^\x00-\x20\x7f][^\x00-\x08\x0a-\x1f\x7f]*|)")


def add_fields(message: Message, lines: list[str]) -> None:
    """Add these lines of a head to a message; raises MessageError."""
    for line in lines:
        match = HEADER.fullmatch(line)
        if match is None:
            raise MessageError(400, "malformed header")
        name, value = match.group(1), match.group(2).rstrip(" \t")
        message.headers.append((name, value))
        low = name.lower()
        known = message.lookup.get(low)
        message.lookup[low] = value if known is None else f"{known}, {value}"
