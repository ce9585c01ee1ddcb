"""The token buckets of one process, charged all or nothing.

Performs no I/O; the caller passes the current time.

A limit that counts ``by`` a field has one bucket per value, at most ``max_values``. When all are in use, the
least recently charged bucket is evicted if it is full again, since a full bucket equals a new one. While it
is not full, further values share one bucket, and a value that gets its own bucket later starts with what is
left in the shared one. So eviction never gives a value more than rate * window + burst: what it spent since
its own bucket was full came from the shared one, which therefore holds no more tokens than its own would.
"""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.quota.bucket_shares import DrawTerms, divide_buckets
from lupinlink.quota.buckets import Bucket, new_bucket
from lupinlink.quota.model import Charge, Limit, Shortfall

new_tuple = tuple.__new__  # takes half the time of calling ``Shortfall``
Table = dict[str, Bucket]


class LocalTokenStore:
    """A ``TokenStore`` of whole buckets: what one process may admit on its own."""

    def __init__(self, limits: Sequence[Limit]) -> None:
        """``limits``: from ``Policy.limits_during``. Every bucket is full at first."""
        self._last_taken: list[tuple[Bucket, DrawTerms]] = []  # charged by the last ``take``
        self._configure(limits)
        self._tables: list[Table] = [{} for _ in limits]  # by value, in the order of the last charge
        self._shared: list[Bucket | None] = [None] * len(
            limits
        )  # for values without their own bucket; None: full

    def _configure(self, limits: Sequence[Limit]) -> None:
        index = {limit.path: i for i, limit in enumerate(limits)}
        self._bucket_keys = [(limit.path, *value_fields(limits, index, i)) for i, limit in enumerate(limits)]
        self._sizes, self._terms = divide_buckets(limits)
        self._default_terms = [size.default_terms for size in self._sizes]
        # The last element serves an ``inner`` of -1, which has no parent.
        self._parents = [*(index.get(limit.parent, -1) for limit in limits), -1]
        self._has_values = any(limit.by for limit in limits)
        self._max_values = [limit.max_values for limit in limits]

    def __len__(self) -> int:
        """Number of buckets, without the shared ones."""
        return sum(map(len, self._tables))

    def take(self, charges: Sequence[Charge], now_ms: float) -> Shortfall | None:
        all_terms, parents, tables = self._terms, self._parents, self._tables
        found: list[tuple[Bucket, DrawTerms]] = []
        short_limit, longest_wait, inner = -1, 0.0, -1
        for limit, value in reversed(charges):
            bucket = tables[limit].get(value)
            if bucket is None:
                bucket = self._find(limit, value, now_ms)
            # ``inner`` is either a child of this limit or belongs to another tree.
            terms = all_terms[inner] if parents[inner] == limit else self._default_terms[limit]
            wait = bucket.wait_ms(terms, now_ms)
            if wait > longest_wait:
                short_limit, longest_wait = limit, wait
            found.append((bucket, terms))
            inner = limit
        # Nothing has been charged yet, so that a refusal charges no limit.
        if short_limit >= 0:
            return new_tuple(Shortfall, (short_limit, longest_wait))
        self._last_taken = found
        for bucket, terms in found:
            bucket.spend(terms)
        if self._has_values:
            for limit, value in charges:
                if value and value in (table := tables[limit]):
                    table[value] = table.pop(value)
        return None

    def refund(self, charges: Sequence[Charge], now_ms: float) -> None:
        """Undo the last ``take`` and no earlier one; a second call does nothing."""
        taken, self._last_taken = self._last_taken, []
        for bucket, terms in taken:
            bucket.refund_token(terms)

    def _find(self, limit: int, value: str, now: float) -> Bucket:
        """The bucket that a value without its own bucket is charged to."""
        table = self._tables[limit]
        shared = self._shared[limit]
        if shared is not None:
            shared.refill(now)
            if shared.is_full():
                shared = self._shared[limit] = None
        bucket: Bucket | None = None
        if len(table) >= self._max_values[limit]:
            oldest = next(iter(table))
            bucket = table[oldest]
            bucket.refill(now)
            # Evicted before it is full, a value would return to a full bucket and exceed its limit each time.
            if not bucket.is_full():
                if shared is None:
                    shared = self._shared[limit] = new_bucket(self._sizes[limit], now)
                return shared
            del table[oldest]
        if shared is not None:
            bucket = shared.copy(now)
        table[value] = bucket = bucket or new_bucket(self._sizes[limit], now)
        return bucket

    def renew(self, limits: Sequence[Limit], now_ms: float) -> None:
        """Switch to other parameters, of another schedule or version, without adding tokens.

        Buckets are kept where the limit has the same path and counts by the same fields; all others start
        full.
        """
        before = dict(zip(self._bucket_keys, zip(self._tables, self._shared, strict=True), strict=True))
        self._configure(limits)
        self._last_taken = []
        self._tables, self._shared = [], []
        for i, key in enumerate(self._bucket_keys):
            table, previous_shared = before.get(key, ({}, None))
            buckets = list(table.values()) + ([previous_shared] if previous_shared is not None else [])
            for bucket in buckets:
                bucket.refill(now_ms)
            size = self._sizes[i]
            renewed = {value: bucket.resized(size, now_ms) for value, bucket in table.items()}
            shared = previous_shared.resized(size, now_ms) if previous_shared is not None else None
            while len(renewed) > self._max_values[i]:
                dropped = renewed.pop(next(iter(renewed)))
                shared = shared or new_bucket(size, now_ms).resized(size, now_ms)
                shared.tokens = min(shared.tokens, dropped.tokens)
            self._tables.append(renewed)
            self._shared.append(shared)


def value_fields(limits: Sequence[Limit], index: dict[str, int], i: int) -> tuple[tuple[str, int, int], ...]:
    """The fields that a limit and its ancestors count by, outermost first, with the bits of addresses."""
    limit = limits[i]
    inherited = value_fields(limits, index, index[limit.parent]) if limit.parent else ()
    return (*inherited, (limit.by, limit.by_ipv4_bits, limit.by_ipv6_bits)) if limit.by else inherited
