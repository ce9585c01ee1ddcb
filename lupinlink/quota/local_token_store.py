"""All buckets of one process, charged together or not at all. Pure; time is handed in.

A limit that counts ``by`` a field has one bucket a value, ``most_values`` at most. When they are all taken,
the one charged longest ago makes room if it is full again: a full bucket says nothing that a new one would
not. While it is not, further values share one bucket, and a value that later gets one of its own starts with
what is left in the shared one. So no value gets over rate * window + burst by being forgotten: what it spent
since its own bucket was full was spent from the shared one, which therefore holds no more than its own would.
"""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.quota.bucket_shares import DrawTerms, divide
from lupinlink.quota.buckets import Bucket, made
from lupinlink.quota.model import Charge, Limit, Shortfall

make = tuple.__new__  # half the time of calling ``Shortfall``
Table = dict[str, Bucket]


class LocalTokenStore:
    """A ``TokenStore`` of whole buckets: what one process may let in by itself."""

    def __init__(self, limits: Sequence[Limit]) -> None:
        """``limits``: from ``Policy.limits_during``. Every bucket is full at first."""
        self._taken: list[tuple[Bucket, DrawTerms]] = []  # by the last ``take``
        self._set(limits)
        self._tables: list[Table] = [{} for _ in limits]  # by value, the one charged last at the end
        self._others: list[Bucket | None] = [None] * len(limits)  # of values that have none; None: full

    def _set(self, limits: Sequence[Limit]) -> None:
        index = {limit.path: i for i, limit in enumerate(limits)}
        self._names = [(limit.path, *value_fields(limits, index, i)) for i, limit in enumerate(limits)]
        self._sizes, self._draws = divide(limits)
        self._plain = [size.plain for size in self._sizes]
        # The last one is for an ``inner`` of -1: no limit is round it.
        self._parents = [*(index.get(limit.parent, -1) for limit in limits), -1]
        self._by_value = any(limit.by for limit in limits)
        self._most = [limit.max_values for limit in limits]

    def __len__(self) -> int:
        """Buckets held, those shared by further values not counted."""
        return sum(map(len, self._tables))

    def take(self, charges: Sequence[Charge], now_ms: float) -> Shortfall | None:
        draws, parents, tables = self._draws, self._parents, self._tables
        found: list[tuple[Bucket, DrawTerms]] = []
        short, worst, inner = -1, 0.0, -1
        for limit, value in reversed(charges):
            bucket = tables[limit].get(value)
            if bucket is None:
                bucket = self._find(limit, value, now_ms)
            # Whoever comes next is the limit round this one, or of another tree.
            draw = draws[inner] if parents[inner] == limit else self._plain[limit]
            wait = bucket.ask(draw, now_ms)
            if wait > worst:
                short, worst = limit, wait
            found.append((bucket, draw))
            inner = limit
        # Nothing was charged so far: all or none.
        if short >= 0:
            return make(Shortfall, (short, worst))
        self._taken = found
        for bucket, draw in found:
            bucket.spend(draw)
        if self._by_value:
            for limit, value in charges:
                if value and value in (table := tables[limit]):
                    table[value] = table.pop(value)
        return None

    def refund(self, charges: Sequence[Charge], now_ms: float) -> None:
        """Only of the last ``take``; a second call finds nothing to undo."""
        taken, self._taken = self._taken, []
        for bucket, draw in taken:
            bucket.give_back(draw)

    def _find(self, limit: int, value: str, now: float) -> Bucket:
        """The bucket that a value without one is charged to."""
        table = self._tables[limit]
        others = self._others[limit]
        if others is not None:
            others.settle(now)
            if others.full():
                others = self._others[limit] = None
        bucket: Bucket | None = None
        if len(table) >= self._most[limit]:
            oldest = next(iter(table))
            bucket = table[oldest]
            bucket.settle(now)
            # Danger: forgotten while it is not full, a value would come back to a full one, over and over.
            if not bucket.full():
                if others is None:
                    others = self._others[limit] = made(self._sizes[limit], now)
                return others
            del table[oldest]
        if others is not None:
            bucket = others.twin(now)
        table[value] = bucket = bucket or made(self._sizes[limit], now)  # a full one is as good as new
        return bucket

    def renew(self, limits: Sequence[Limit], now_ms: float) -> None:
        """Go on under other figures, of another season or version: what a bucket lacks it goes on lacking.

        A bucket is carried on where its limit has the same path and counts by the same fields; all others
        begin full.
        """
        before = dict(zip(self._names, zip(self._tables, self._others, strict=True), strict=True))
        self._set(limits)
        self._taken = []
        self._tables, self._others = [], []
        for i, name in enumerate(self._names):
            table, others = before.get(name, ({}, None))
            buckets = list(table.values()) + ([others] if others is not None else [])
            for bucket in buckets:
                bucket.settle(now_ms)
            size = self._sizes[i]
            renewed = {value: bucket.resized(size, now_ms) for value, bucket in table.items()}
            shared = others.resized(size, now_ms) if others is not None else None
            while len(renewed) > self._most[i]:
                dropped = renewed.pop(next(iter(renewed)))
                shared = shared or made(size, now_ms).resized(size, now_ms)
                shared.tokens = min(shared.tokens, dropped.tokens)
            self._tables.append(renewed)
            self._others.append(shared)


def value_fields(limits: Sequence[Limit], index: dict[str, int], i: int) -> tuple[tuple[str, int, int], ...]:
    """The fields that a limit counts by, those of the limits round it first, with the bits of an address."""
    limit = limits[i]
    outer = value_fields(limits, index, index[limit.parent]) if limit.parent else ()
    return (*outer, (limit.by, limit.by_ipv4_bits, limit.by_ipv6_bits)) if limit.by else outer
