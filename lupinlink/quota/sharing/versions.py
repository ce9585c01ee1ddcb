"""When a new version of the policy comes into force: over the whole fleet, or not at all. Pure.

A version that comes is held by each gateway beside the settled one, so that the lesser of both holds there.
Only when every gateway holds it is it settled, and only then may the old one be dropped, each gateway at its
own time: at any moment there is one version that all hold, the old one before and the new one after. It is
two-phase commit (Gray, "Notes on Data Base Operating Systems", 1978) with the lead as its coordinator; that
it blocks while a gateway is silent does no harm here, for both versions are held meanwhile. The weeks of a
schedule are other figures, so another version.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lupinlink.quota.model import Limit
from lupinlink.quota.sharing.book import Holder
from lupinlink.quota.sharing.floor import holders
from lupinlink.quota.sharing.messages import Policies, Text
from lupinlink.quota.sharing.terms import Terms


def step(
    now: Policies,
    members: Mapping[str, Holder],
    silent: Sequence[str],
    holding: Sequence[str],
    may_skip: bool,
) -> Policies | None:
    """The record's next state; None: it stays.

    ``members``: by name, all that were heard since they were last forgotten. ``silent``: those of them that
    surely use their floor at most. ``holding``: the schedules that hold today. ``may_skip``: the version that
    comes allows silent ones no less than they use now.
    """
    epoch = now.epoch + 1
    if now.coming is None:
        if sorted(now.settled.holding) == sorted(holding):
            return None
        season = Text(now.settled.version, now.settled.text, sorted(holding))
        return Policies(epoch, now.settled, season, now.refused)
    name = now.coming.name
    for member, holder in sorted(members.items()):
        if (why := holder.ask.cannot.get(name)) is not None:
            return Policies(epoch, now.settled, None, f"{name} was withdrawn: {member} cannot use it: {why}")
    return None if waited_for(now, members, silent, may_skip) else Policies(epoch, now.coming)


def waited_for(
    now: Policies, members: Mapping[str, Holder], silent: Sequence[str], may_skip: bool
) -> list[str]:
    """The gateways without which the version that comes is not settled."""
    if now.coming is None:
        return []
    name = now.coming.name
    lacking = [member for member, holder in members.items() if name not in holder.ask.holds]
    return sorted(member for member in lacking if not (may_skip and member in silent))


def no_less(old: Sequence[Limit], new: Sequence[Limit], terms: Terms) -> bool:
    """Whether each place's floor under ``new`` is at least what it is under ``old``, in every quota.

    Then a gateway that still uses its old floor stays within what is kept back for it anyway.
    """
    if [limit.path for limit in old] != [limit.path for limit in new]:
        return False
    for before, after in zip(old, new, strict=True):
        few, many = holders(before.burst, terms), holders(after.burst, terms)
        if few == 0:
            continue
        if many < few or after.rate_per_s * few < before.rate_per_s * many:
            return False
        if after.burst * few < before.burst * many:
            return False
    return True
