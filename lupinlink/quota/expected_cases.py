"""Runs the cases that a policy's author expects, against the very decision that will be used. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from lupinlink.quota.compiled_policy import CompiledPolicy
from lupinlink.quota.errors import ExpectError
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import ExpectedCase, Policy
from lupinlink.quota.schedules import schedules_on


def failed_cases(policy: Policy) -> Iterator[ExpectError]:
    """The cases that come out otherwise. Each has full buckets, and all its requests in one moment."""
    for expect in policy.expected_cases:
        names = schedules_on(policy.schedules, expect.on) if expect.on else frozenset[str]()
        said = _said(policy, names, expect)
        if said:
            yield ExpectError(said, expect.place)


def _said(policy: Policy, names: frozenset[str], expect: ExpectedCase) -> str:
    limits = policy.limits_during(names)
    compiled, purse = CompiledPolicy(limits, 0.0), LocalTokenStore(limits)
    if expect.limits is not None:
        charges, shadows = compiled.charges_for(expect.asked)
        charged = {limits[charge.limit].path for charge in (*charges, *shadows)}
        if charged != set(expect.limits):
            return f"it is charged {', '.join(sorted(charged)) or 'nothing'}"
    admitted, refused_by = 0, ""
    while admitted < expect.count and not refused_by:  # after one refusal nothing changes in that moment
        verdict = compiled.decide(expect.asked, 0.0, purse)
        admitted += verdict.allowed
        refused_by = verdict.refused_by
    if admitted != expect.admitted or refused_by != (expect.refused_by or refused_by):
        by = f", refused by {refused_by}" if refused_by else ""
        return f"of {expect.count} are admitted {admitted}{by}"
    return ""
