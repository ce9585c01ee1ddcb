"""What is wrong with a policy whose every statement holds for itself. Pure.

Held against the settings (names, Retry-After), one quota against another (never reached, over the one round
it, more guaranteed than there is), on every day that the schedules can make; then its expected cases are run.
"""

from __future__ import annotations

from collections.abc import Iterator

from lupinlink.quota.bucket_shares import current_parameters, reserve
from lupinlink.quota.errors import (
    GuaranteedError,
    NeverReachedError,
    OverParentError,
    PolicyError,
    RetryAfterError,
    UnknownNameError,
)
from lupinlink.quota.model import Limit, Place, Policy
from lupinlink.quota.reachability import KnownNames, Region, narrowed, taken
from lupinlink.quota.schedules import schedule_combinations

SUMS = 1e-9  # a share: what sums of floats may be over


def check_policy(policy: Policy, known: KnownNames) -> list[PolicyError]:
    """All findings, each once, in the order of the text; expected cases are not run."""
    findings = [*_names(policy, known), *_reached(policy, known), *_retry_after(policy, known)]
    sizes: dict[tuple[str, str], PolicyError] = {}
    for holding in sorted(
        schedule_combinations(policy.schedules), key=lambda names: (len(names), sorted(names))
    ):
        when = f" during {' and '.join(sorted(holding))}" if holding else ""
        for key, finding in _sizes(policy.limits_during(holding), when):
            sizes.setdefault(key, finding)
    return sorted([*findings, *sizes.values()], key=lambda one: (one.place.line, one.place.column))


def _names(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    there = {"class": known.classes, "tenant": known.tenants, "zone": known.zones}

    def unknown(kind: str, name: str, place: Place) -> Iterator[PolicyError]:
        if name and name not in there[kind]:
            listed = ", ".join(filter(None, there[kind])) or "none"
            yield UnknownNameError(f"the settings have no {kind} {name!r}; they have {listed}", place)

    for limit in policy.limits:
        match = limit.match
        for kind, names in (("class", match.classes), ("tenant", match.tenants), ("zone", match.zones)):
            for name in names:
                yield from unknown(kind, name, match.places.get((kind, name), limit.place))
    paths = {limit.path for limit in policy.limits}
    for expect in policy.expected_cases:
        asked = expect.asked
        for kind, name in (("class", asked.class_name), ("tenant", asked.tenant), ("zone", asked.zone)):
            yield from unknown(kind, name, expect.place)
        for path in (expect.refused_by, *(expect.limits or ())):
            if path and path not in paths:
                yield UnknownNameError(f"there is no quota {path}", expect.place)


def _reached(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    regions: dict[str, Region | None] = {"": Region()}
    before: dict[str, list[tuple[str, Region]]] = {}
    for limit in policy.limits:
        outer = regions[limit.parent]
        region = narrowed(outer, limit.match) if outer is not None else None
        regions[limit.path] = region
        if outer is None:
            continue  # the finding is at the one round it
        if region is None:
            text = f"no request that comes to {limit.parent} matches {limit.path}"
            yield NeverReachedError(text, limit.place)
            continue
        if region.second_try and not known.marks_retries:
            text = f"clients do not mark second tries, says the settings' ClientHabits: {limit.path}"
            yield NeverReachedError(text + " is never reached", limit.place)
        if not limit.parent:
            continue  # each tree has its requests for itself
        earlier = before.setdefault(limit.parent, [])
        if taken(region, [one for _, one in earlier], known):
            by = next((path for path, one in earlier if taken(region, [one], known)), "")
            text = f"all requests of {limit.path} are taken by {by or 'those'} before it"
            yield NeverReachedError(text, limit.place)
        earlier.append((limit.path, region))


def _sizes(limits: tuple[Limit, ...], when: str) -> Iterator[tuple[tuple[str, str], PolicyError]]:
    """Findings of one day; the key is the same for the same fault on another day."""
    by_path = {limit.path: limit for limit in limits}
    promised: dict[str, list[Limit]] = {}
    for limit in limits:
        outer = by_path.get(limit.parent)
        if outer is None:
            continue
        if limit.guaranteed_per_s > 0.0:
            promised.setdefault(outer.path, []).append(limit)
        for word, own, whole in (
            ("rate", limit.rate_per_s, outer.rate_per_s),
            ("burst", limit.burst, outer.burst),
        ):
            if own > whole * (1.0 + SUMS):
                unit = "/s" if word == "rate" else ""
                text = f"{limit.path} has {word} {own:g}{unit}, {outer.path} round it {whole:g}{unit}{when}"
                yield (limit.path, word), OverParentError(text, limit.place)
    for path, parts in promised.items():
        outer = by_path[path]
        total = sum(limit.guaranteed_per_s for limit in parts)
        kept = sum(reserve(current_parameters(outer), current_parameters(limit)) for limit in parts)
        if total > outer.rate_per_s * (1.0 + SUMS):
            text = f"the parts of {path} are guaranteed {total:g}/s, it has {outer.rate_per_s:g}/s{when}"
            yield (path, "guaranteed"), GuaranteedError(text, outer.place)
        elif kept + 1.0 > outer.burst * (1.0 + SUMS):
            text = (
                f"the guaranteed parts of {path} need a burst of {kept + 1.0:g}, it has {outer.burst:g}{when}"
            )
            yield (path, "reserves"), GuaranteedError(text, outer.place)


def _retry_after(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    by_path = {limit.path: limit for limit in policy.limits}
    for limit in policy.limits:
        outer = by_path.get(limit.parent)
        said_before = (
            outer is not None and not outer.shadow and outer.sends_retry_after == limit.sends_retry_after
        )
        if limit.shadow or said_before or limit.sends_retry_after == (known.max_retry_after_ms > 0.0):
            continue
        classes = ", ".join(limit.match.classes) or "every class"
        if limit.sends_retry_after:
            text = f"{limit.path} refuses {classes}, and the settings allow no Retry-After"
        else:
            text = f"{limit.path} refuses {classes} without Retry-After, which the settings allow"
        yield RetryAfterError(text, limit.place)
