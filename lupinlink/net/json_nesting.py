"""Follows how deep JSON text is nested while it arrives in pieces. Performs no I/O."""

from __future__ import annotations

OPENING, CLOSING = (b"{", b"["), (b"}", b"]")


class NestingCounter:
    """Counts open braces and brackets outside of strings; looks at each byte once.

    Exact for valid JSON. Of other text it only says when to parse it, which then fails.
    """

    def __init__(self) -> None:
        self.depth = 0  # braces and brackets that are open
        self.in_string = False
        self._escape = b""  # a backslash at the end, whose next byte has not arrived

    def feed(self, data: bytes) -> None:
        """Take more text."""
        data = (self._escape + data).replace(b"\\\\", b"")  # from left to right, as a reader pairs them
        self._escape = data[-1:] if data.endswith(b"\\") else b""
        parts = data.removesuffix(b"\\").replace(b'\\"', b"").split(b'"')
        outside = b"".join(parts[self.in_string :: 2])
        self.in_string ^= len(parts) % 2 == 0
        self.depth += sum(map(outside.count, OPENING)) - sum(map(outside.count, CLOSING))
