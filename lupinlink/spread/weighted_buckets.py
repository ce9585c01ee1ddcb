"""Weighted random selection and weighted rendezvous hashing among thousands of items at a constant cost.

The items are in buckets of bounded size, chosen by the low bits of their salts, so that every process has the
same items in the same bucket. A changed weight only invalidates the sum of its bucket; a draw selects a
bucket by the sums and then an item in it. Selection by key works in the same two steps, each by weighted
rendezvous hashing: an item gets a share of all keys in proportion to its weight. Performs no I/O.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate
from typing import Generic, TypeVar

from lupinlink.spread.key_affinity import preferred_first, rank

MAX_MEAN_BUCKET_SIZE = 256  # beyond it the number of buckets is doubled
MIN_MEAN_BUCKET_SIZE = 64  # below it the number of buckets is halved

Item = TypeVar("Item")


class Bucket(Generic[Item]):
    """An unordered set of items with their weights."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.salts: list[int] = []
        self.weights: list[float] = []
        self._sums: list[float] | None = None  # running sums; None: out of date

    @property
    def sums(self) -> list[float]:
        """Running sums of the weights."""
        if self._sums is None:
            self._sums = list(accumulate(self.weights))
        return self._sums

    @property
    def total(self) -> float:
        """The sum of all weights."""
        return self.sums[-1] if self.weights else 0.0

    def add(self, item: Item, salt: int, weight: float) -> int:
        """Add an item and return its index."""
        self.items.append(item)
        self.salts.append(salt)
        self.weights.append(weight)
        self._sums = None
        return len(self.items) - 1

    def remove(self, index: int) -> Item:
        """Remove an item; return the one now at its index, or the item itself if it was last."""
        moved, salt, weight = self.items.pop(), self.salts.pop(), self.weights.pop()
        if index < len(self.items):
            self.items[index], self.salts[index], self.weights[index] = moved, salt, weight
        self._sums = None
        return moved

    def set(self, index: int, weight: float) -> None:
        """Change the weight of the item at ``index``."""
        if self.weights[index] != weight:
            self.weights[index] = weight
            self._sums = None

    def at(self, share: float) -> Item:
        """Return the item at ``share``, a number in [0, 1), of the sum of weights."""
        return self.items[bisect_right(self.sums, share * self.total, 0, len(self.items) - 1)]


class WeightedBuckets(Generic[Item]):
    """Items with weights above 0; the cost of an operation on one item does not depend on their number."""

    def __init__(self) -> None:
        self._buckets: list[Bucket[Item]] = [Bucket()]
        self._positions: dict[Item, tuple[Bucket[Item], int]] = {}
        self._sums: list[float] | None = None  # running sums of the buckets' totals; None: out of date

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, item: object) -> bool:
        return item in self._positions

    def __iter__(self) -> Iterator[Item]:
        return iter(self._positions)

    def add(self, item: Item, salt: int, weight: float) -> None:
        """Add a new item; ``salt``: its 32-bit hash, the same at every process."""
        self._sums = None
        bucket = self._buckets[salt & (len(self._buckets) - 1)]
        self._positions[item] = bucket, bucket.add(item, salt, weight)
        if len(self._positions) > MAX_MEAN_BUCKET_SIZE * len(self._buckets):
            self._rebuild(2 * len(self._buckets))

    def remove(self, item: Item) -> None:
        """Remove an item; does nothing if it is not present."""
        if item not in self._positions:
            return
        self._sums = None
        bucket, index = self._positions.pop(item)
        moved = bucket.remove(index)
        if moved != item:
            self._positions[moved] = bucket, index
        if len(self._buckets) > 1 and len(self._positions) < MIN_MEAN_BUCKET_SIZE * len(self._buckets):
            self._rebuild(len(self._buckets) // 2)

    def set(self, item: Item, weight: float) -> None:
        """Change the weight of an item, which has to be present."""
        self._sums = None
        bucket, index = self._positions[item]
        bucket.set(index, weight)

    def weight(self, item: Item) -> float:
        """Return the weight of an item, which has to be present."""
        bucket, index = self._positions[item]
        return bucket.weights[index]

    def bucket_items(self, position: int) -> list[Item]:
        """Return the items of the bucket at this position, counted modulo the number of buckets."""
        return self._buckets[position % len(self._buckets)].items[:]

    def draw(self, share: float) -> Item:
        """Return the item at ``share``, a number in [0, 1), of the sum of all weights; must not be empty."""
        if len(self._buckets) == 1:
            return self._buckets[0].at(share)
        if self._sums is None:
            self._sums = list(accumulate(bucket.total for bucket in self._buckets))
        sums = self._sums
        point = share * sums[-1]
        index = bisect_right(sums, point, 0, len(sums) - 1)
        bucket = self._buckets[index]
        remainder = point - (sums[index] - bucket.total)
        return bucket.at(min(max(remainder / bucket.total, 0.0), 1.0))

    def preferred(self, key_hash: int, preferred_count: int, count: int, chance: float) -> list[Item]:
        """Return at least ``count`` items to try for a key, or all of its bucket if there are fewer.

        ``preferred_count``: the number of preferred items; ``chance``: a number in [0, 1) that selects the
        first of them.
        """
        bucket, preferred_count, chance = self._bucket_for_key(key_hash, preferred_count, chance)
        order = preferred_first(key_hash, bucket.salts, bucket.weights, count, preferred_count, chance)
        return [bucket.items[index] for index in order]

    def _bucket_for_key(
        self, key_hash: int, preferred_count: int, chance: float
    ) -> tuple[Bucket[Item], int, float]:
        """Select the bucket for a key, and return it with its part of the preferred items and of the chance.

        A key with many preferred items has them in several buckets.
        """
        filled = [bucket for bucket in self._buckets if bucket.items]
        if len(filled) == 1:
            return filled[0], preferred_count, chance
        used_buckets = min(len(filled), -(-preferred_count // MIN_MEAN_BUCKET_SIZE))
        indices = range(len(filled))
        order = rank(key_hash, [_bucket_salt(i) for i in indices], [b.total for b in filled], used_buckets)
        position = chance * used_buckets
        bucket = filled[order[int(position)]]
        return bucket, min(-(-preferred_count // used_buckets), len(bucket.items)), position % 1.0

    def _rebuild(self, buckets: int) -> None:
        """Distribute all items over this number of buckets, a power of two."""
        self._sums = None
        previous, self._buckets = self._buckets, [Bucket() for _ in range(buckets)]
        for bucket in previous:
            for item, salt, weight in zip(bucket.items, bucket.salts, bucket.weights, strict=True):
                target = self._buckets[salt & (buckets - 1)]
                self._positions[item] = target, target.add(item, salt, weight)


def _bucket_salt(index: int) -> int:
    """The salt of a bucket, the same at every process."""
    return (index + 1) * 0x9E3779B1 & 0xFFFFFFFF
