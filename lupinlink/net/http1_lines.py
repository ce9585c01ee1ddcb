"""Finds where heads and lines end in a buffer that is received in pieces. Performs no I/O."""

from __future__ import annotations

import re

from lupinlink.net.http1_messages import MessageError

HEAD_END, LINE_END = b"\r\n\r\n", b"\r\n"
BARE_LF = re.compile(rb"(?<!\r)\n")


class EndFinder:
    """Finds the end of the head or line at the start of a buffer; searches each byte about once.

    The buffer may only grow between a search that finds no end and the next one.
    """

    def __init__(self) -> None:
        self._searched = 0  # bytes at the start of the buffer that hold no begin of an end mark

    def restart(self) -> None:
        """Bytes were taken from the start of the buffer by other means than a search."""
        self._searched = 0

    def find(self, buffer: bytearray, mark: bytes, limit: int) -> int:
        """Where ``mark`` begins in the first ``limit`` bytes, or -1; raises MessageError for a bare LF."""
        end = buffer.find(mark, self._searched, limit)
        if end >= 0:
            self._searched = 0
            return end
        if BARE_LF.search(buffer, self._searched, limit):
            raise MessageError(400, "line end without CR")
        # The last bytes may be the first ones of the mark.
        self._searched = max(0, min(len(buffer), limit) - len(mark) + 1)
        return -1
