"""Weighted draws among thousands of items at a cost that does not grow with their number. Pure.

Items lie in buckets of bounded size, by the low bits of their salt, so that every process has the same items
in the same bucket. A weight that changes costs its own bucket's sum; a draw takes a bucket by the sums and
then an item of it. By a key the same two steps are weighted rendezvous hashing: all items together have so
much of all keys as their weights say.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate
from typing import Generic, TypeVar

from lupinlink.spread.key_affinity import preferred_first, ranked

MAX_MEAN_BUCKET_SIZE = 256  # in the mean; beyond it there are twice as many buckets
MIN_MEAN_BUCKET_SIZE = 64  # in the mean; below it there are half as many

Item = TypeVar("Item")


class Bucket(Generic[Item]):
    """Some items with their weights, in no order."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.salts: list[int] = []
        self.weights: list[float] = []
        self._sums: list[float] | None = None  # running; None: a weight has changed since

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
        """Take it in; its place."""
        self.items.append(item)
        self.salts.append(salt)
        self.weights.append(weight)
        self._sums = None
        return len(self.items) - 1

    def remove(self, place: int) -> Item:
        """Take the item at that place out; the one that now stands there."""
        moved, salt, weight = self.items.pop(), self.salts.pop(), self.weights.pop()
        if place < len(self.items):
            self.items[place], self.salts[place], self.weights[place] = moved, salt, weight
        self._sums = None
        return moved

    def set(self, place: int, weight: float) -> None:
        """Another weight for the item at that place."""
        if self.weights[place] != weight:
            self.weights[place] = weight
            self._sums = None

    def at(self, share: float) -> Item:
        """The item at that share, from [0, 1), of the sum of weights."""
        return self.items[bisect_right(self.sums, share * self.total, 0, len(self.items) - 1)]


class WeightedBuckets(Generic[Item]):
    """Items with weights over 0. Adding, removing and weighing one costs the same however many there are."""

    def __init__(self) -> None:
        self._buckets: list[Bucket[Item]] = [Bucket()]
        self._places: dict[Item, tuple[Bucket[Item], int]] = {}
        self._sums: list[float] | None = None  # running, of the buckets' totals; None: one has changed since

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, item: object) -> bool:
        return item in self._places

    def __iter__(self) -> Iterator[Item]:
        return iter(self._places)

    def add(self, item: Item, salt: int, weight: float) -> None:
        """Take in an item that is not here; ``salt``: 32 bits, alike at every process."""
        self._sums = None
        bucket = self._buckets[salt & (len(self._buckets) - 1)]
        self._places[item] = bucket, bucket.add(item, salt, weight)
        if len(self._places) > MAX_MEAN_BUCKET_SIZE * len(self._buckets):
            self._rebuild(2 * len(self._buckets))

    def remove(self, item: Item) -> None:
        """Take an item out, if it is here."""
        if item not in self._places:
            return
        self._sums = None
        bucket, place = self._places.pop(item)
        moved = bucket.remove(place)
        if moved != item:
            self._places[moved] = bucket, place
        if len(self._buckets) > 1 and len(self._places) < MIN_MEAN_BUCKET_SIZE * len(self._buckets):
            self._rebuild(len(self._buckets) // 2)

    def set(self, item: Item, weight: float) -> None:
        """Another weight for an item that is here."""
        self._sums = None
        bucket, place = self._places[item]
        bucket.set(place, weight)

    def weight(self, item: Item) -> float:
        """The weight of an item that is here, as it was set last."""
        bucket, place = self._places[item]
        return bucket.weights[place]

    def bucket_items(self, turn: int) -> list[Item]:
        """The items of one bucket; of another at each of as many turns as there are buckets."""
        return self._buckets[turn % len(self._buckets)].items[:]

    def draw(self, share: float) -> Item:
        """The item at that share, from [0, 1), of the sum of all weights; there has to be one."""
        if len(self._buckets) == 1:
            return self._buckets[0].at(share)
        if self._sums is None:
            self._sums = list(accumulate(bucket.total for bucket in self._buckets))
        sums = self._sums
        point = share * sums[-1]
        index = bisect_right(sums, point, 0, len(sums) - 1)
        bucket = self._buckets[index]
        rest = point - (sums[index] - bucket.total)
        return bucket.at(min(max(rest / bucket.total, 0.0), 1.0))

    def preferred(self, mix: int, number: int, most: int, chance: float) -> list[Item]:
        """The first items to ask with the key of this checksum, at least ``most`` where there are so many.

        ``number``: how many homes the key has; ``chance``: from [0, 1), which of them comes first.
        """
        bucket, number, chance = self._bucket_for_key(mix, number, chance)
        order = preferred_first(mix, bucket.salts, bucket.weights, most, number, chance)
        return [bucket.items[place] for place in order]

    def _bucket_for_key(self, mix: int, number: int, chance: float) -> tuple[Bucket[Item], int, float]:
        """The bucket to ask in: of a key with many homes one of several, each with its part of them."""
        filled = [bucket for bucket in self._buckets if bucket.items]
        if len(filled) == 1:
            return filled[0], number, chance
        used = min(len(filled), -(-number // MIN_MEAN_BUCKET_SIZE))
        indices = range(len(filled))
        order = ranked(mix, [_bucket_salt(i) for i in indices], [b.total for b in filled], used)
        turn = chance * used
        bucket = filled[order[int(turn)]]
        return bucket, min(-(-number // used), len(bucket.items)), turn % 1.0

    def _rebuild(self, buckets: int) -> None:
        """Spread all items over so many buckets; a power of two."""
        self._sums = None
        before, self._buckets = self._buckets, [Bucket() for _ in range(buckets)]
        for bucket in before:
            for item, salt, weight in zip(bucket.items, bucket.salts, bucket.weights, strict=True):
                home = self._buckets[salt & (buckets - 1)]
                self._places[item] = home, home.add(item, salt, weight)


def _bucket_salt(index: int) -> int:
    """Alike at every process."""
    return (index + 1) * 0x9E3779B1 & 0xFFFFFFFF
