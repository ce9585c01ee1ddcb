"""When the time of a request may have begun whose body is not read to its end here.

The time counts from the moment at which the client has written the last byte. While this process does not
read, as a server takes no more, that byte may wait in the kernels of both machines. What has arrived at this
machine is known; what waits at the client's is not, and can be there only while the window of this one has
no room for a whole segment. What arrives later shows what cannot have been written before. Performs no I/O;
the caller passes the current time in milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# With no more than this unread the window is taken for open where the system does not tell.
OPEN_WINDOW_BYTES = 32 * 1024
MAX_CLIENT_BUFFER_BYTES = 4 * 1024 * 1024  # Linux: the largest send buffer of a socket, by default
# The window is taken for open only so long after it may have been closed: longer than a process is held up.
REOPENED_MS = 250.0
STEP_MS = 20.0  # between two points of time that are told apart


@dataclass(slots=True)
class Point:
    """How many bytes the client may have written at a time, at the most."""

    at: float
    written_bytes: int


class UploadTime:
    """``since``: the earliest time at which the last byte may have been written; None: it has not been."""

    __slots__ = ("_closed_at", "_points")

    def __init__(self) -> None:
        self._points: deque[Point] = deque()  # later ones have more bytes
        self._closed_at = -math.inf  # when the window may have been closed last

    @property
    def since(self) -> float | None:
        """The earliest time at which the last byte may have been written."""
        return self._points[0].at if self._points else None

    def observe(
        self,
        now: float,
        read_bytes: int,
        unread_bytes: int | None,
        missing_bytes: int | None,
        window_is_open: bool | None = None,
    ) -> None:
        """Note the bytes read so far, those that have arrived unread, and those of the body not read yet.

        ``unread_bytes``: None if that is not known; ``missing_bytes``: None if the length is not;
        ``window_is_open``: whether the client's machine may send whole segments, None if that is not known.
        """
        if unread_bytes is None:
            unread_bytes = OPEN_WINDOW_BYTES + 1
        if window_is_open is None:
            window_is_open = unread_bytes <= OPEN_WINDOW_BYTES
        arrived = read_bytes + unread_bytes
        if not window_is_open:
            self._closed_at = now
        is_open = now - self._closed_at >= REOPENED_MS
        if is_open:
            for point in self._points:
                point.written_bytes = min(point.written_bytes, arrived)
        self._add(now, arrived if is_open else arrived + MAX_CLIENT_BUFFER_BYTES)
        # Without a length the end may be among what is unread; if nothing is, it has not arrived.
        whole = arrived + (not unread_bytes) if missing_bytes is None else read_bytes + missing_bytes
        while self._points and self._points[0].written_bytes < whole:
            self._points.popleft()

    def _add(self, now: float, written_bytes: int) -> None:
        last = self._points[-1] if self._points else None
        if last is None or (written_bytes > last.written_bytes and now - last.at >= STEP_MS):
            self._points.append(Point(now, written_bytes))
        else:
            last.written_bytes = max(last.written_bytes, written_bytes)
