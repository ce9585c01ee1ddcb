"""A bucket of tokens, and one that keeps reserves for guaranteed parts. Pure; time is handed in.

The token bucket is that of Turner ("New Directions in Communications", IEEE Communications Magazine 24(10),
1986), settled when it is asked; a reserve is told by when it will be full, as the theoretical arrival time of
the Generic Cell Rate Algorithm (ITU-T I.371, 1996), so that its filling needs no work. Times are ms.
"""

from __future__ import annotations

import math
from heapq import heapify, heappop, heappush, heapreplace

from lupinlink.quota.shares import Draw, Size

NEARLY = 1e-9  # tokens: what sums of floats may lack of a whole one


class Bucket:
    """At most ``size.burst`` tokens; full at first."""

    __slots__ = ("at", "size", "tokens")

    def __init__(self, size: Size, now: float) -> None:
        self.size, self.at, self.tokens = size, now, size.burst

    def settle(self, now: float) -> None:
        """Let in what has come since; a time before the last one changes nothing."""
        if now > self.at:
            tokens = self.tokens + (now - self.at) * self.size.rate
            self.tokens = tokens if tokens < self.size.burst else self.size.burst
            self.at = now

    def wait(self, draw: Draw) -> float:
        """How long until there is a token on these terms if nobody else takes one; 0: now. Settle first."""
        lacks = 1.0 - self.tokens
        return 0.0 if lacks <= NEARLY else lacks / self.size.rate

    def spend(self, draw: Draw) -> bool:
        """Take the token that ``wait`` has found; gives whether it came from a reserve."""
        self.tokens -= 1.0
        return False

    def give_back(self, draw: Draw, reserved: bool) -> None:
        """Undo ``spend``, in the same moment."""
        self.tokens = min(self.size.burst, self.tokens + 1.0)

    def full(self) -> bool:
        """Whether it says no more than a new one would. Settle first."""
        return self.tokens >= self.size.burst

    def twin(self, now: float) -> Bucket:
        """Another as full as this one."""
        other = type(self)(self.size, now)
        other.tokens = self.tokens
        return other

    def resized(self, size: Size, now: float) -> Bucket:
        """This bucket under other figures, with no token more; its reserves are empty. Settle first."""
        other = made(size, now)
        other.tokens = min(self.tokens, size.burst)
        if isinstance(other, PartedBucket):
            other.empty_reserves()
        return other


class PartedBucket(Bucket):
    """One with reserves: for each a part of the tokens that only its owner may take."""

    __slots__ = ("_filling", "_full_at", "_heap", "_kept", "_lacking", "_latest")

    def __init__(self, size: Size, now: float) -> None:
        super().__init__(size, now)
        self._kept = sum(size.kept)
        self._full_at = [now] * len(size.kept)  # of each reserve
        # One entry for each reserve that is not full, with a time at which it was to be, or a later one now.
        self._heap: list[tuple[float, int]] = []
        self._lacking = 0.0  # tokens that all reserves lack at ``at``
        self._filling = 0.0  # how fast those in the heap fill together
        self._latest = now  # when the last of them is full

    def settle(self, now: float) -> None:
        before, heap, fills = self.at, self._heap, self.size.fills
        super().settle(now)
        if not heap or now <= before:
            return
        while heap and heap[0][0] <= now:
            slot = heap[0][1]
            full_at = self._full_at[slot]
            if full_at > now:
                heapreplace(heap, (full_at, slot))
                continue
            heappop(heap)
            self._filling -= fills[slot]
            self._lacking -= fills[slot] * (full_at - before)
        if not heap:
            self._lacking = self._filling = 0.0  # what sums of floats have left over
        else:
            self._lacking = max(0.0, self._lacking - self._filling * (now - before))

    def _reserve_wait(self, slot: int) -> float:
        """How long until this reserve has a token."""
        fill = self.size.fills[slot]
        ahead = (self._full_at[slot] - self.at) - (self.size.kept[slot] - 1.0 + NEARLY) / fill
        return ahead if ahead > 0.0 else 0.0

    def wait(self, draw: Draw) -> float:
        rate = self.size.rate
        lacks = 1.0 - self.tokens
        plain = 0.0 if lacks <= NEARLY else lacks / rate
        own = self._reserve_wait(draw.slot) if draw.slot >= 0 else math.inf
        if own <= plain:
            return plain
        if not draw.borrows:
            return max(own, plain)
        lacks = 1.0 + draw.free + self._kept - self._lacking - self.tokens
        if lacks <= NEARLY:
            return plain
        # The reserves fill meanwhile, and ever fewer of them: no later than this, or than when all is full.
        spare = rate - self._filling
        shared = lacks / spare if spare > NEARLY * rate else math.inf
        filled = max(self._latest - self.at, (self.size.burst - self.tokens) / rate)
        # Never 0 here, which would let in what lacks a token: of a burst too small for its reserves.
        return max(plain, min(own, shared, filled)) or own

    def spend(self, draw: Draw) -> bool:
        self.tokens -= 1.0
        slot = draw.slot
        if slot < 0 or self._reserve_wait(slot) > 0.0:
            return False
        fill, full_at = self.size.fills[slot], self._full_at[slot]
        if full_at <= self.at:
            full_at = self.at
            self._filling += fill
            heappush(self._heap, (full_at + 1.0 / fill, slot))
        self._full_at[slot] = full_at + 1.0 / fill
        self._lacking += 1.0
        self._latest = max(self._latest, self._full_at[slot])
        return True

    def give_back(self, draw: Draw, reserved: bool) -> None:
        super().give_back(draw, reserved)
        if reserved:
            self._full_at[draw.slot] -= 1.0 / self.size.fills[draw.slot]
            self._recount()

    def full(self) -> bool:
        return super().full() and not self._heap

    def twin(self, now: float) -> PartedBucket:
        other = PartedBucket(self.size, now)
        other.tokens, other._full_at = self.tokens, list(self._full_at)
        other._recount()
        return other

    def empty_reserves(self) -> None:
        """Take away what the reserves hold; the tokens stay."""
        self._full_at = [
            self.at + kept / fill for kept, fill in zip(self.size.kept, self.size.fills, strict=True)
        ]
        self._recount()

    def _recount(self) -> None:
        """Find the sums anew from when each reserve is full."""
        self._heap = [(full_at, slot) for slot, full_at in enumerate(self._full_at) if full_at > self.at]
        heapify(self._heap)
        self._filling = sum(self.size.fills[slot] for _, slot in self._heap)
        self._lacking = sum(self.size.fills[slot] * (full_at - self.at) for full_at, slot in self._heap)
        self._latest = max(self._full_at)


def made(size: Size, now: float) -> Bucket:
    """A full bucket of that size."""
    return PartedBucket(size, now) if size.kept else Bucket(size, now)
