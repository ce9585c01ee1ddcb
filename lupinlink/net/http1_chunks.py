"""Takes many small chunks of a chunked body at once. Performs no I/O."""

from __future__ import annotations

import re

# Without extensions, leading zeros or size 0, which are rare: those are read one at a time.
PLAIN_SIZE = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]{0,6})\r\n")
CHUNK_END = b"\r\n"


def whole_chunks(buffer: bytearray) -> tuple[list[bytes | bytearray], int]:
    """The data of the plain chunks that stand whole at the start of the buffer, and where their last ends."""
    pieces: list[bytes | bytearray] = []
    at = 0
    while (size := PLAIN_SIZE.match(buffer, at)) is not None:
        begin = size.end()
        end = begin + int(size.group(1), 16)
        if buffer[end : end + len(CHUNK_END)] != CHUNK_END:
            break
        pieces.append(buffer[begin:end])
        at = end + len(CHUNK_END)
    return pieces, at
