"""What an answer to a standing question says about the service's history. Pure.

Consul's index of a prefix may go back without harm (a deleted record's trace is swept) and may go on rising
after a restore. So a restore is told by the records: one that stands at a lower revision than before, or is
gone while the index lies under the revision that it had.
"""

from __future__ import annotations

from dataclasses import replace

from lupinlink.coordination.contract import View


def restored(before: View, after: View) -> bool:
    """Whether the service went back between two answers for one prefix, ``before`` the earlier one."""
    for key, old in before.records.items():
        new = after.records.get(key)
        if new.revision < old.revision if new is not None else after.index < old.revision:
            return True
    return False


def next_view(before: View | None, after: View) -> View:
    """The View to tell: its index is lower than the one told before only if the service was restored."""
    if before is None:
        return after
    if restored(before, after):
        return replace(after, index=min(after.index, before.index - 1))
    return replace(after, index=max(after.index, before.index))
