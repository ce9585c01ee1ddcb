"""A table with generational handles: that of a removed item finds nothing, even if its slot is reused."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from lupinlink.limits.memory_account import Holding

T = TypeVar("T")
INDEX_BITS = 20


class Slots(Generic[T]):
    """A table whose slots are reused while its handles are not."""

    def __init__(self, capacity: int, holding: Holding | None = None, item_bytes: int = 0) -> None:
        """``holding``: counts the memory of the items, ``item_bytes`` each."""
        self.capacity = capacity
        self._holding, self._item_bytes = holding, item_bytes
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])

    def handles(self) -> list[int]:
        """The handles of all items."""
        numbered = enumerate(zip(self._items, self._generations, strict=True))
        return [generation << INDEX_BITS | i for i, (item, generation) in numbered if item is not None]

    @property
    def full(self) -> bool:
        return len(self) >= self.capacity

    def add(self, item: T) -> int:
        """Add an item and return its handle. Raises OverflowError if the table is full."""
        if self.full:
            raise OverflowError("table is full")
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._count()
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        """The item with this handle, None if it was removed."""
        index, generation = handle & ((1 << INDEX_BITS) - 1), handle >> INDEX_BITS
        if index >= len(self._items) or self._generations[index] != generation:
            return None
        return self._items[index]

    def remove(self, handle: int) -> T | None:
        """Remove and return the item; None if it was removed before."""
        item = self.get(handle)
        if item is not None:
            index = handle & ((1 << INDEX_BITS) - 1)
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
            self._count()
        return item

    def _count(self) -> None:
        if self._holding is not None:
            self._holding.set(len(self) * self._item_bytes)
