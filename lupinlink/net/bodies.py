"""Bodies on their way through: what is held of them, out of one common budget. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

WHOLE_BYTES = 256 * 1024  # a request's body up to this is held whole, so that it can be sent again
TIGHT = 0.5  # share of the budget from which on bodies go out as soon as they are no small ones
SMALL_BYTES = 64 * 1024
WINDOW_BYTES = 128 * 1024  # held of a body that flows through; its sender waits beyond


class BodyBudget:
    """Bytes that all bodies together may hold."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    @property
    def tight(self) -> bool:
        return self.held > TIGHT * self.most

    @property
    def spent(self) -> bool:
        return self.held > self.most


class Body:
    """A request's body: bytes in at one end, read from any place that is still held.

    ``more`` is called when there is more to read, or its end; ``room`` when the sender may go on;
    ``committed`` once, when the first byte is let go and the body can be sent no second time.
    """

    __slots__ = (
        "_budget",
        "_pieces",
        "broken",
        "committed",
        "end",
        "length",
        "more",
        "room",
        "start",
        "whole",
    )

    def __init__(self, budget: BodyBudget, length: int | None) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self.length = length  # as its head tells; None: not told
        self.start = self.end = 0  # the offsets of what is held
        self.whole = self.broken = False
        self.more: Callable[[], None] | None = None
        self.room: Callable[[], None] | None = None
        self.committed: Callable[[], None] | None = None

    @classmethod
    def of(cls, data: bytes, budget: BodyBudget | None = None) -> Body:
        """A body that is here already."""
        body = cls(budget or BodyBudget(0), len(data))
        body.add(data)
        body.finish()
        return body

    def __len__(self) -> int:
        """Bytes held."""
        return self.end - self.start

    @property
    def repeatable(self) -> bool:
        """Whether all that has come is still held."""
        return self.start == 0

    @property
    def flows(self) -> bool:
        """Whether it is too large to be waited for."""
        return len(self) >= (SMALL_BYTES if self._budget.tight else WHOLE_BYTES)

    @property
    def full(self) -> bool:
        """Whether its sender must wait until some of it has gone on."""
        return len(self) >= (SMALL_BYTES if self._budget.tight else WINDOW_BYTES + WHOLE_BYTES)

    def add(self, data: bytes) -> None:
        """What has come."""
        if data:
            self._pieces.append(data)
            self.end += len(data)
            self._budget.held += len(data)
            if self.more is not None:
                self.more()

    def finish(self) -> None:
        """The last byte is here."""
        self.whole = True
        if self.more is not None:
            self.more()

    def break_off(self) -> None:
        """Its sender has gone before the last byte."""
        if not self.whole:
            self.broken = True
            if self.more is not None:
                self.more()

    def read(self, offset: int, most: int) -> bytes:
        """Up to ``most`` bytes from there; empty: none are here yet."""
        found, at = [], self.start
        for piece in self._pieces:
            if at + len(piece) > offset and most > 0:
                part = piece[max(0, offset - at) : max(0, offset - at) + most]
                found.append(part)
                most -= len(part)
            at += len(piece)
        return b"".join(found)

    def sent(self, offset: int) -> None:
        """All before ``offset`` has gone out; what cannot be held whole is let go."""
        if self.start or (len(self) > WHOLE_BYTES or (self._budget.tight and len(self) > SMALL_BYTES)):
            self._release(offset)
            if self.room is not None and not self.full:
                self.room()

    def _release(self, offset: int) -> None:
        first = not self.start
        while self._pieces and self.start + len(self._pieces[0]) <= offset:
            size = len(self._pieces.popleft())
            self.start += size
            self._budget.held -= size
        if first and self.start and self.committed is not None:
            self.committed()

    def drop(self) -> None:
        """Nobody needs it any more."""
        self._budget.held -= len(self)
        self._pieces.clear()
        self.start = self.end
        self.more = self.room = self.committed = None


class ResponseStream:
    """An answer that is passed on as it comes: from an attempt to a client, which may hold it back.

    ``length``: of the whole body, where it is known. The attempt gives ``pause``, ``resume``, ``stop``; the
    client's side sets ``data``, ``ended`` and ``broken``, and counts in ``passed`` what it wrote.
    """

    __slots__ = ("broken", "data", "ended", "length", "passed", "pause", "resume", "stop")

    def __init__(
        self,
        length: int | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
        stop: Callable[[], None],
    ) -> None:
        self.length, self.pause, self.resume, self.stop = length, pause, resume, stop
        self.passed = 0
        self.data: Callable[[bytes], None] = lambda data: None
        self.ended: Callable[[], None] = lambda: None
        self.broken: Callable[[], None] = lambda: None
