"""A bucket of tokens, and one that keeps reserves for guaranteed parts. Pure; time is handed in.

The token bucket is that of Turner ("New Directions in Communications", IEEE Communications Magazine 24(10),
1986), settled when it is asked; a reserve is told by when it will be full, as the theoretical arrival time of
the Generic Cell Rate Algorithm (ITU-T I.371, 1996), so that its filling needs no work. Times are ms.
"""

from __future__ import annotations

import math
from heapq import heapify, heappop, heappush, heapreplace

from lupinlink.quota.bucket_shares import NEARLY, BucketSize, DrawTerms


class Bucket:
    """At most ``size.burst`` tokens; full at first."""

    __slots__ = ("at", "own", "size", "tokens")

    def __init__(self, size: BucketSize, now: float) -> None:
        self.size, self.at, self.tokens = size, now, size.burst
        self.own = False  # the token that ``ask`` found is of the asker's own reserve

    def settle(self, now: float) -> None:
        """Let in what has come since; a time before the last one changes nothing."""
        if now > self.at:
            tokens = self.tokens + (now - self.at) * self.size.rate
            self.tokens = tokens if tokens < self.size.burst else self.size.burst
            self.at = now

    def ask(self, draw: DrawTerms, now: float) -> float:
        """How long until there is a token on these terms if nobody else takes one; 0: now."""
        size, tokens = self.size, self.tokens
        if now > self.at:  # ``settle``, written out: this is what every request costs
            tokens += (now - self.at) * size.rate
            if tokens > size.burst:
                tokens = size.burst
            self.at, self.tokens = now, tokens
        lacks = 1.0 + draw.free - tokens
        return 0.0 if lacks <= NEARLY else lacks / size.rate

    def spend(self, draw: DrawTerms) -> None:
        """Take the token that ``ask`` has just found."""
        self.tokens -= 1.0

    def give_back(self, draw: DrawTerms) -> None:
        """Undo the last ``spend``, in the same moment."""
        self.tokens = min(self.size.burst, self.tokens + 1.0)

    def full(self) -> bool:
        """Whether it says no more than a new one would. Settle first."""
        return self.tokens >= self.size.burst

    def twin(self, now: float) -> Bucket:
        """Another as full as this one."""
        other = type(self)(self.size, now)
        other.tokens = self.tokens
        return other

    def resized(self, size: BucketSize, now: float) -> Bucket:
        """This bucket under other figures, with no token more; its reserves are empty. Settle first."""
        other = made(size, now)
        other.tokens = min(self.tokens, size.burst)
        if isinstance(other, PartedBucket):
            other.empty_reserves()
        return other


class PartedBucket(Bucket):
    """One with reserves: for each a part of the tokens that only its owner may take."""

    __slots__ = ("_filling", "_full_at", "_heap", "_lacked_at", "_lacking", "_latest")

    def __init__(self, size: BucketSize, now: float) -> None:
        super().__init__(size, now)
        self._full_at = [now] * len(size.kept)  # of each reserve
        # One entry for each reserve that is not full, with a time at which it was to be, or a later one now.
        self._heap: list[tuple[float, int]] = []
        self._lacking = 0.0  # tokens that all reserves lacked at this time
        self._lacked_at = now
        self._filling = 0.0  # how fast those in the heap fill together
        self._latest = now  # when the last of them is full

    def _fill(self, now: float) -> None:
        """Find what the reserves lack now."""
        heap, fills = self._heap, self.size.fills
        while heap and heap[0][0] <= now:
            slot = heap[0][1]
            full_at = self._full_at[slot]
            if full_at > now:
                heapreplace(heap, (full_at, slot))
                continue
            heappop(heap)
            self._filling -= fills[slot]
            self._lacking -= fills[slot] * (full_at - self._lacked_at)
        if heap:
            lacking = self._lacking - self._filling * (now - self._lacked_at)
            self._lacking = lacking if lacking > 0.0 else 0.0
        else:
            self._lacking = self._filling = 0.0  # what sums of floats have left over
        self._lacked_at = now

    def ask(self, draw: DrawTerms, now: float) -> float:
        size, slot, tokens = self.size, draw.slot, self.tokens
        if now > self.at:
            tokens += (now - self.at) * size.rate
            if tokens > size.burst:
                tokens = size.burst
            self.at, self.tokens = now, tokens
        lacks = 1.0 - tokens
        plain = 0.0 if lacks <= NEARLY else lacks / size.rate
        # Until the own reserve has a token.
        own = self._full_at[slot] - now - size.spans[slot] if slot >= 0 else math.inf
        self.own = own <= plain
        if self.own:
            return plain
        if not draw.borrows:
            return own
        if tokens - 1.0 - draw.free >= size.reserved:
            return 0.0  # enough, even if all reserves were full
        self._fill(now)
        lacks = 1.0 + draw.free + size.reserved - self._lacking - tokens
        if lacks <= NEARLY:
            return plain
        # The reserves fill meanwhile, and ever fewer of them: no later than this, or than when all is full.
        spare = size.rate - self._filling
        shared = lacks / spare if spare > NEARLY * size.rate else math.inf
        filled = max(self._latest - now, (size.burst - tokens) / size.rate)
        # Never 0 here, which would let in what lacks a token: of a burst too small for its reserves.
        return max(plain, min(own, shared, filled)) or own

    def spend(self, draw: DrawTerms) -> None:
        self.tokens -= 1.0
        if not self.own:
            return
        self._fill(self.at)
        slot = draw.slot
        fill, full_at = self.size.fills[slot], self._full_at[slot]
        if full_at <= self.at:
            full_at = self.at
            self._filling += fill
            heappush(self._heap, (full_at + 1.0 / fill, slot))
        self._full_at[slot] = full_at = full_at + 1.0 / fill
        self._lacking += 1.0
        if full_at > self._latest:
            self._latest = full_at

    def give_back(self, draw: DrawTerms) -> None:
        super().give_back(draw)
        if self.own:
            self._full_at[draw.slot] -= 1.0 / self.size.fills[draw.slot]
            self._recount()

    def full(self) -> bool:
        return super().full() and self._latest <= self.at

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
        self._latest, self._lacked_at = max(self._full_at), self.at


def made(size: BucketSize, now: float) -> Bucket:
    """A full bucket of that size."""
    return PartedBucket(size, now) if size.kept else Bucket(size, now)
