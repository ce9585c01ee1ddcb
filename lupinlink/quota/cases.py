"""Runs the expected cases of a policy against the compiled decision. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterator

from lupinlink.quota.compiled_policy import CompiledPolicy
from lupinlink.quota.errors import ExpectError
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import ExpectedCase, Policy
from lupinlink.quota.schedules import schedules_on


def failed_cases(policy: Policy) -> Iterator[ExpectError]:
    """Errors for the cases with another outcome. Each starts with full buckets and takes no time."""
    for expect in policy.expected_cases:
        names = schedules_on(policy.schedules, expect.on) if expect.on else frozenset[str]()
        difference = _difference(policy, names, expect)
        if difference:
            yield ExpectError(difference, expect.place)


def _difference(policy: Policy, names: frozenset[str], expect: ExpectedCase) -> str:
    limits = policy.limits_during(names)
    compiled, store = CompiledPolicy(limits, 0.0), LocalTokenStore(limits)
    if expect.limits is not None:
        charges, shadows = compiled.charges_for(expect.request)
        charged = {limits[charge.limit].path for charge in (*charges, *shadows)}
        if charged != set(expect.limits):
            return f"the request is charged {', '.join(sorted(charged)) or 'nothing'}"
    admitted, refused_by = 0, ""
    while admitted < expect.count and not refused_by:  # no time passes, so a refusal is final
        verdict = compiled.decide(expect.request, 0.0, store)
        admitted += verdict.allowed
        refused_by = verdict.refused_by
    if admitted != expect.admitted or refused_by != (expect.refused_by or refused_by):
        by = f", refused by {refused_by}" if refused_by else ""
        return f"of {expect.count} requests {admitted} are admitted{by}"
    return ""
