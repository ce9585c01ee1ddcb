"""The lead's part in a change of versions: when the record goes on, and for whom it waits."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from lupinlink.coordination.contract import ABSENT, Put, Step
from lupinlink.errors import LupinError
from lupinlink.quota.sharing import versions
from lupinlink.quota.sharing.allocator import Allocator
from lupinlink.quota.sharing.book import Holder
from lupinlink.quota.sharing.errors import HeldUpError
from lupinlink.quota.sharing.messages import POLICY, Policies, write_policies
from lupinlink.quota.sharing.policies import KnownPolicies
from lupinlink.quota.sharing.terms import Terms

HELD_UP_MS = 15000.0  # after it a version that waits is told of


class Settling:
    """Asked once a round."""

    def __init__(self, known: KnownPolicies, terms: Terms, told: Callable[[LupinError], None]) -> None:
        self._known, self._terms, self._told = known, terms, told
        self._told_of: list[str] = []

    def steps(self, allocator: Allocator, now: float) -> list[Step]:
        """Changes of the record, to be written under the lead's guard."""
        known, epochs = self._known, [holder.ask.epoch for holder in allocator.book]
        least = max([known.now.epoch, *epochs]) + 1  # also over what a restored service has forgotten
        if known.now.epoch == 0:
            first = Policies(least, known.now.settled)
            return [Put(POLICY, write_policies(first), ABSENT)] if known.revision == ABSENT else []
        members, silent = self._members(allocator, now)
        skip = self._may_skip()
        after = versions.step(known.now, members, silent, known.holding(), skip)
        if after is not None:
            after = msgspec.structs.replace(after, epoch=least)
            return [Put(POLICY, write_policies(after), known.revision)]
        waits = versions.waited_for(known.now, members, silent, skip)
        if waits != self._told_of and now > known.since_ms + HELD_UP_MS:
            self._told_of = waits
            if waits:
                self._told(HeldUpError(f"the new policy waits for {', '.join(waits)}"))
        return []

    def waits_for(self, allocator: Allocator, now: float) -> list[str]:
        """The gateways without which the version that comes is not settled."""
        members, silent = self._members(allocator, now)
        return versions.waited_for(self._known.now, members, silent, self._may_skip())

    def _members(self, allocator: Allocator, now: float) -> tuple[Mapping[str, Holder], list[str]]:
        members = {n: h for n, h in allocator.book.newest().items() if not h.ask.leaving}
        late = now - self._terms.over_ms
        return members, [name for name, h in members.items() if not h.given and h.heard_ms < late]

    def _may_skip(self) -> bool:
        now = self._known.now
        if now.coming is None:
            return False
        return versions.no_less(
            self._known.limits(now.settled.name), self._known.limits(now.coming.name), self._terms
        )
