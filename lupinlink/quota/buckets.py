"""Token buckets, with and without reserves for guaranteed child limits.

Performs no I/O; the caller passes the current time.

The token bucket is that of Turner ("New Directions in Communications", IEEE Communications Magazine 24(10),
1986), refilled lazily when it is read. A reserve is stored as the time at which it will be full, like the
theoretical arrival time of the Generic Cell Rate Algorithm (ITU-T I.371, 1996), so that refilling it needs no
work. Times are milliseconds, rates are tokens per millisecond.
"""

from __future__ import annotations

import math
from heapq import heapify, heappop, heappush, heapreplace

from lupinlink.quota.bucket_shares import TOKEN_TOLERANCE, BucketSize, DrawTerms


class Bucket:
    """Holds at most ``size.burst`` tokens and starts full."""

    __slots__ = ("from_reserve", "size", "tokens", "updated_ms")

    def __init__(self, size: BucketSize, now: float) -> None:
        self.size, self.updated_ms, self.tokens = size, now, size.burst
        self.from_reserve = (
            False  # whether the token found by ``wait_ms`` comes from the caller's own reserve
        )

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last update; an earlier time than that changes nothing."""
        if now > self.updated_ms:
            tokens = self.tokens + (now - self.updated_ms) * self.size.rate
            self.tokens = tokens if tokens < self.size.burst else self.size.burst
            self.updated_ms = now

    def wait_ms(self, terms: DrawTerms, now: float) -> float:
        """Milliseconds until a token is available on these terms if nobody else takes one; 0 means now."""
        size, tokens = self.size, self.tokens
        if now > self.updated_ms:  # ``refill``, inlined because it runs for every request
            tokens += (now - self.updated_ms) * size.rate
            if tokens > size.burst:
                tokens = size.burst
            self.updated_ms, self.tokens = now, tokens
        missing = 1.0 + terms.headroom - tokens
        return 0.0 if missing <= TOKEN_TOLERANCE else missing / size.rate

    def spend(self, terms: DrawTerms) -> None:
        """Take the token that ``wait_ms`` has just found."""
        self.tokens -= 1.0

    def refund_token(self, terms: DrawTerms) -> None:
        """Undo the last ``spend``; call it at the same time as the ``spend``."""
        self.tokens = min(self.size.burst, self.tokens + 1.0)

    def is_full(self) -> bool:
        """Whether it equals a new bucket. Call ``refill`` first."""
        return self.tokens >= self.size.burst

    def copy(self, now: float) -> Bucket:
        """Another bucket with as many tokens."""
        other = type(self)(self.size, now)
        other.tokens = self.tokens
        return other

    def resized(self, size: BucketSize, now: float) -> Bucket:
        """This bucket at another size, without new tokens, reserves empty. Call ``refill`` first."""
        other = new_bucket(size, now)
        other.tokens = min(self.tokens, size.burst)
        if isinstance(other, ReservingBucket):
            other.empty_reserves()
        return other


class ReservingBucket(Bucket):
    """A bucket with reserves: tokens that only the owner of the reserve may take."""

    __slots__ = ("_all_full_at_ms", "_full_at_ms", "_heap", "_missing", "_missing_at_ms", "_refill_rate")

    def __init__(self, size: BucketSize, now: float) -> None:
        super().__init__(size, now)
        self._full_at_ms = [now] * len(size.reserves)  # by reserve
        # One entry per reserve that is not full; ``_full_at_ms`` may have moved past its time since.
        self._heap: list[tuple[float, int]] = []
        self._missing = 0.0  # tokens that all reserves together lacked at ``_missing_at_ms``
        self._missing_at_ms = now
        self._refill_rate = 0.0  # total refill rate of the reserves in the heap
        self._all_full_at_ms = now  # when the last reserve is full

    def _update_missing(self, now: float) -> None:
        """Bring the number of tokens that the reserves lack up to date."""
        heap, reserve_rates = self._heap, self.size.reserve_rates
        while heap and heap[0][0] <= now:
            reserve_index = heap[0][1]
            full_at = self._full_at_ms[reserve_index]
            if full_at > now:
                heapreplace(heap, (full_at, reserve_index))
                continue
            heappop(heap)
            self._refill_rate -= reserve_rates[reserve_index]
            self._missing -= reserve_rates[reserve_index] * (full_at - self._missing_at_ms)
        if heap:
            missing = self._missing - self._refill_rate * (now - self._missing_at_ms)
            self._missing = missing if missing > 0.0 else 0.0
        else:
            self._missing = self._refill_rate = 0.0  # drops rounding errors
        self._missing_at_ms = now

    def wait_ms(self, terms: DrawTerms, now: float) -> float:
        size, reserve_index, tokens = self.size, terms.reserve_index, self.tokens
        if now > self.updated_ms:
            tokens += (now - self.updated_ms) * size.rate
            if tokens > size.burst:
                tokens = size.burst
            self.updated_ms, self.tokens = now, tokens
        missing = 1.0 - tokens
        token_wait = 0.0 if missing <= TOKEN_TOLERANCE else missing / size.rate
        reserve_wait = (
            self._full_at_ms[reserve_index] - now - size.reserve_ready_ms[reserve_index]
            if reserve_index >= 0
            else math.inf
        )
        self.from_reserve = reserve_wait <= token_wait
        if self.from_reserve:
            return token_wait
        if not terms.borrows:
            return reserve_wait
        if tokens - 1.0 - terms.headroom >= size.total_reserve:
            return 0.0  # enough even with all reserves full
        self._update_missing(now)
        missing = 1.0 + terms.headroom + size.total_reserve - self._missing - tokens
        if missing <= TOKEN_TOLERANCE:
            return token_wait
        # The reserves refill meanwhile and stop one by one, so each wait below is an upper bound.
        spare_rate = size.rate - self._refill_rate
        unreserved_wait = missing / spare_rate if spare_rate > TOKEN_TOLERANCE * size.rate else math.inf
        full_wait = max(self._all_full_at_ms - now, (size.burst - tokens) / size.rate)
        # A burst too small for its reserves can give 0 here, which would admit a request without a token.
        return max(token_wait, min(reserve_wait, unreserved_wait, full_wait)) or reserve_wait

    def spend(self, terms: DrawTerms) -> None:
        self.tokens -= 1.0
        if not self.from_reserve:
            return
        self._update_missing(self.updated_ms)
        reserve_index = terms.reserve_index
        rate, full_at = self.size.reserve_rates[reserve_index], self._full_at_ms[reserve_index]
        if full_at <= self.updated_ms:
            full_at = self.updated_ms
            self._refill_rate += rate
            heappush(self._heap, (full_at + 1.0 / rate, reserve_index))
        self._full_at_ms[reserve_index] = full_at = full_at + 1.0 / rate
        self._missing += 1.0
        if full_at > self._all_full_at_ms:
            self._all_full_at_ms = full_at

    def refund_token(self, terms: DrawTerms) -> None:
        super().refund_token(terms)
        if self.from_reserve:
            self._full_at_ms[terms.reserve_index] -= 1.0 / self.size.reserve_rates[terms.reserve_index]
            self._recompute()

    def is_full(self) -> bool:
        return super().is_full() and self._all_full_at_ms <= self.updated_ms

    def copy(self, now: float) -> ReservingBucket:
        other = ReservingBucket(self.size, now)
        other.tokens, other._full_at_ms = self.tokens, list(self._full_at_ms)
        other._recompute()
        return other

    def empty_reserves(self) -> None:
        """Empty the reserves without taking tokens from the bucket."""
        self._full_at_ms = [
            self.updated_ms + reserve / rate
            for reserve, rate in zip(self.size.reserves, self.size.reserve_rates, strict=True)
        ]
        self._recompute()

    def _recompute(self) -> None:
        """Recompute the heap and the sums from ``_full_at_ms``."""
        self._heap = [
            (full_at, reserve_index)
            for reserve_index, full_at in enumerate(self._full_at_ms)
            if full_at > self.updated_ms
        ]
        heapify(self._heap)
        self._refill_rate = sum(self.size.reserve_rates[reserve_index] for _, reserve_index in self._heap)
        self._missing = sum(
            self.size.reserve_rates[reserve_index] * (full_at - self.updated_ms)
            for full_at, reserve_index in self._heap
        )
        self._all_full_at_ms, self._missing_at_ms = max(self._full_at_ms), self.updated_ms


def new_bucket(size: BucketSize, now: float) -> Bucket:
    """A full bucket of the given size."""
    return ReservingBucket(size, now) if size.reserves else Bucket(size, now)
