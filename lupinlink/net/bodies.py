"""Buffers for bodies in transit: request bodies within one memory budget, and streamed answers. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lupinlink.limits.memory_sizes import NORMAL, SLOW
from lupinlink.net.body_budget import BodyBudget

REPLAY_LIMIT_BYTES = NORMAL.body_kept  # request bodies up to this size are kept whole, for retries
SMALL_BODY_BYTES = SLOW.body_kept
# Smaller pieces are put together, so that the number of pieces of a body depends on its size alone.
MIN_PIECE_BYTES = 8 * 1024
STREAM_WINDOW_BYTES = (
    NORMAL.body_window - NORMAL.body_kept
)  # buffered of a streamed body, beyond what is kept


class DiscardedBytesError(Exception):
    """Bytes of a request body were to be read that it has dropped."""


class Body:
    """A request body: appended at one end, readable from any offset that is still buffered.

    A body is kept whole until ``mark_sent`` finds it too large to be kept. From then on it is streamed: what
    was sent is dropped.

    Callbacks: ``on_data`` when more is readable or the body has ended; ``on_room`` when a paused sender may
    continue; ``on_discard`` once, when the first byte is dropped, after which it cannot be sent again.
    """

    __slots__ = (
        "_budget",
        "_paused",
        "_pieces",
        "_streamed",
        "complete",
        "end",
        "length",
        "on_data",
        "on_discard",
        "on_room",
        "start",
        "truncated",
    )

    def __init__(self, budget: BodyBudget, length: int | None) -> None:
        self._budget = budget
        self._pieces: deque[bytes | bytearray] = deque()
        self._paused = False  # its sender waits for room
        self._streamed = False  # what was sent is dropped; it is never kept whole again
        self.length = length  # declared by the request's head; None: not declared
        self.start = self.end = 0  # offsets of the buffered part
        self.complete = self.truncated = False
        self.on_data: Callable[[], None] | None = None
        self.on_room: Callable[[], None] | None = None
        self.on_discard: Callable[[], None] | None = None

    @classmethod
    def from_bytes(cls, data: bytes, budget: BodyBudget | None = None) -> Body:
        """A complete body."""
        body = cls(budget or BodyBudget(0), len(data))
        body.add(data)
        body.finish()
        return body

    def __len__(self) -> int:
        """Bytes buffered."""
        return self.end - self.start

    @property
    def replayable(self) -> bool:
        """Whether everything received is still buffered, so that it can be sent again."""
        return self.start == 0

    @property
    def is_large(self) -> bool:
        """Whether it is sent on before its end, as it is too large to be buffered whole."""
        return len(self) >= self._budget.sizes.body_kept

    @property
    def full(self) -> bool:
        """Whether its sender has to wait until some of it has been sent on, or the pressure has ended."""
        return len(self) >= self._budget.sizes.body_window

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        if data:
            self._append(data)
            self.end += len(data)
            self._budget.hold(len(data))
            if self.on_data is not None:
                self.on_data()

    def _append(self, data: bytes) -> None:
        last = self._pieces[-1] if self._pieces else b""
        if not last or len(last) + len(data) > MIN_PIECE_BYTES:
            self._pieces.append(data)
        elif isinstance(last, bytearray):
            last += data
        else:
            self._pieces[-1] = bytearray(last + data)

    def finish(self) -> None:
        """Mark the body as complete: its last byte has been added."""
        self.complete = True
        self._stop_waiting()
        if self.on_data is not None:
            self.on_data()

    def abort(self) -> None:
        """Mark the body as truncated, unless it is complete: its sender is gone."""
        if not self.complete:
            self.truncated = True
            if self.on_data is not None:
                self.on_data()

    def pause(self) -> None:
        """Its sender waits from now on until ``on_room`` is called."""
        self._paused = True
        self._wait_for_memory()

    def resume_if_room(self) -> None:
        """Let a paused sender continue, if the body is not full any more."""
        if not self._paused:
            return
        if self.full:
            self._wait_for_memory()
            return
        self._stop_waiting()
        if self.on_room is not None:
            self.on_room()

    def _wait_for_memory(self) -> None:
        """Be woken when the pressure ends. Without pressure only ``mark_sent`` makes room here."""
        if self._budget.under_pressure:
            self._budget.wait(self)

    def _stop_waiting(self) -> None:
        self._paused = False
        self._budget.forget(self)

    def read(self, offset: int, most: int) -> bytes:
        """Up to ``most`` bytes from ``offset``; empty if none have been received yet.

        Raises DiscardedBytesError if they have been dropped.
        """
        if offset < self.start:
            raise DiscardedBytesError(f"offset {offset} is before {self.start}")
        pieces, at = [], self.end
        for piece in reversed(self._pieces):  # what is read next is usually near the end
            if at <= offset:
                break
            pieces.append(piece)
            at -= len(piece)
        found, skipped = [], max(0, offset - at)
        while pieces and most > 0:
            part = pieces.pop()[skipped : skipped + most]
            found.append(part)
            most, skipped = most - len(part), 0
        return b"".join(found)

    def mark_sent(self, offset: int) -> None:
        """Everything before ``offset`` has been sent; drops it if the body is streamed, or has to be now."""
        self._streamed = self._streamed or self._is_too_large_to_keep()
        if self._streamed:
            self._release(offset)
        self.resume_if_room()

    def _is_too_large_to_keep(self) -> bool:
        """Whether it takes too much memory to be kept whole; a complete body does not grow any more."""
        if not self.complete:
            return self.is_large
        return self._budget.under_pressure and len(self) > SMALL_BODY_BYTES

    def _release(self, offset: int) -> None:
        first = not self.start
        while self._pieces and self.start + len(self._pieces[0]) <= offset:
            size = len(self._pieces.popleft())
            self.start += size
            self._budget.release(size)
        if first and self.start and self.on_discard is not None:
            self.on_discard()

    def discard(self) -> None:
        """Free the buffer and the callbacks."""
        self.on_data = self.on_room = self.on_discard = None
        self._stop_waiting()
        self._pieces.clear()
        held, self.start = len(self), self.end
        self._budget.release(held)


class ResponseStream:
    """An answer that is streamed from an attempt to a client, with backpressure.

    ``length``: of the whole body, None if unknown. The attempt provides ``pause``, ``resume``, ``stop``; the
    client side sets ``on_data``, ``on_end``, ``on_error`` and counts the bytes it wrote in ``sent_bytes``.
    """

    __slots__ = ("length", "on_data", "on_end", "on_error", "pause", "resume", "sent_bytes", "stop")

    def __init__(
        self,
        length: int | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
        stop: Callable[[], None],
    ) -> None:
        self.length, self.pause, self.resume, self.stop = length, pause, resume, stop
        self.sent_bytes = 0
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_error: Callable[[], None] = lambda: None
