"""Detects from successive views that the service was restored to an older state. Performs no I/O.

Consul's index of a prefix may decrease without a restore (when the tombstone of a deleted record is removed)
and may keep rising after one. So a restore is detected by the records: one is at a lower revision than
before, or is missing while the index is lower than the revision that it had.
"""

from __future__ import annotations

from dataclasses import replace

from lupinlink.coordination.contract import View


def restored(before: View, after: View) -> bool:
    """Whether the service was restored between two views of one prefix."""
    for key, old in before.records.items():
        new = after.records.get(key)
        if new.revision < old.revision if new is not None else after.index < old.revision:
            return True
    return False


def next_view(before: View | None, after: View) -> View:
    """The view to deliver: its index is lower than that of the last one only after a restore."""
    if before is None:
        return after
    if restored(before, after):
        return replace(after, index=min(after.index, before.index - 1))
    return replace(after, index=max(after.index, before.index))
