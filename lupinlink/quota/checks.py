"""Checks a policy whose statements are valid one by one. Performs no I/O.

Names and Retry-After are checked against the settings. Quotas are checked against each other for every
combination of schedules that can occur: never reached, larger than the parent, too much guaranteed.
"""

from __future__ import annotations

from collections.abc import Iterator

from lupinlink.quota.bucket_shares import current_parameters, reserve_size
from lupinlink.quota.errors import (
    GuaranteedError,
    NeverReachedError,
    OverParentError,
    PolicyError,
    RetryAfterError,
    UnknownNameError,
)
from lupinlink.quota.model import Limit, Place, Policy
from lupinlink.quota.reachability import KnownNames, Region, covered_by, narrow
from lupinlink.quota.schedules import schedule_combinations

ROUNDING_SHARE = 1e-9  # allows for rounding errors in sums of floats


def check_policy(policy: Policy, known: KnownNames) -> list[PolicyError]:
    """All findings, each once, in the order of the text; does not run the expected cases."""
    findings = [
        *_unknown_names(policy, known),
        *_unreachable(policy, known),
        *_retry_after_conflicts(policy, known),
    ]
    sizes: dict[tuple[str, str], PolicyError] = {}
    for active in sorted(
        schedule_combinations(policy.schedules), key=lambda names: (len(names), sorted(names))
    ):
        when = f" during {' and '.join(sorted(active))}" if active else ""
        for key, finding in _size_conflicts(policy.limits_during(active), when):
            sizes.setdefault(key, finding)
    return sorted([*findings, *sizes.values()], key=lambda one: (one.place.line, one.place.column))


def _unknown_names(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    defined = {"class": known.classes, "tenant": known.tenants, "zone": known.zones}

    def unknown(kind: str, name: str, place: Place) -> Iterator[PolicyError]:
        if name and name not in defined[kind]:
            listed = ", ".join(filter(None, defined[kind])) or "none"
            yield UnknownNameError(f"the settings have no {kind} {name!r}; they have {listed}", place)

    for limit in policy.limits:
        match = limit.match
        for kind, names in (("class", match.classes), ("tenant", match.tenants), ("zone", match.zones)):
            for name in names:
                yield from unknown(kind, name, match.places.get((kind, name), limit.place))
    paths = {limit.path for limit in policy.limits}
    for expect in policy.expected_cases:
        request = expect.request
        for kind, name in (("class", request.class_name), ("tenant", request.tenant), ("zone", request.zone)):
            yield from unknown(kind, name, expect.place)
        for path in (expect.refused_by, *(expect.limits or ())):
            if path and path not in paths:
                yield UnknownNameError(f"there is no quota {path}", expect.place)


def _unreachable(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    regions: dict[str, Region | None] = {"": Region()}
    earlier_siblings: dict[str, list[tuple[str, Region]]] = {}
    for limit in policy.limits:
        parent = regions[limit.parent]
        region = narrow(parent, limit.match) if parent is not None else None
        regions[limit.path] = region
        if parent is None:
            continue  # reported at an ancestor
        if region is None:
            text = f"no request that matches {limit.parent} also matches {limit.path}"
            yield NeverReachedError(text, limit.place)
            continue
        if region.second_try and not known.marks_retries:
            text = f"ClientHabits in the settings says that clients do not mark second tries: {limit.path}"
            yield NeverReachedError(text + " is never reached", limit.place)
        if not limit.parent:
            continue  # trees are independent of each other
        earlier = earlier_siblings.setdefault(limit.parent, [])
        if covered_by(region, [one for _, one in earlier], known):
            by = next((path for path, one in earlier if covered_by(region, [one], known)), "")
            text = f"all requests of {limit.path} are matched earlier by {by or 'several quotas together'}"
            yield NeverReachedError(text, limit.place)
        earlier.append((limit.path, region))


def _size_conflicts(limits: tuple[Limit, ...], when: str) -> Iterator[tuple[tuple[str, str], PolicyError]]:
    """Findings for one combination of schedules, keyed so that others do not repeat them."""
    by_path = {limit.path: limit for limit in limits}
    guaranteed_children: dict[str, list[Limit]] = {}
    for limit in limits:
        parent = by_path.get(limit.parent)
        if parent is None:
            continue
        if limit.guaranteed_per_s > 0.0:
            guaranteed_children.setdefault(parent.path, []).append(limit)
        for word, own, allowed in (
            ("rate", limit.rate_per_s, parent.rate_per_s),
            ("burst", limit.burst, parent.burst),
        ):
            if own > allowed * (1.0 + ROUNDING_SHARE):
                unit = "/s" if word == "rate" else ""
                text = (
                    f"{limit.path} has {word} {own:g}{unit}, its parent {parent.path} {allowed:g}{unit}{when}"
                )
                yield (limit.path, word), OverParentError(text, limit.place)
    for path, children in guaranteed_children.items():
        parent = by_path[path]
        total = sum(limit.guaranteed_per_s for limit in children)
        reserved = sum(
            reserve_size(current_parameters(parent), current_parameters(limit)) for limit in children
        )
        if total > parent.rate_per_s * (1.0 + ROUNDING_SHARE):
            text = f"children of {path} are guaranteed {total:g}/s, it has {parent.rate_per_s:g}/s{when}"
            yield (path, "guaranteed"), GuaranteedError(text, parent.place)
        elif reserved + 1.0 > parent.burst * (1.0 + ROUNDING_SHARE):
            text = f"children of {path} need a burst of {reserved + 1.0:g}, it has {parent.burst:g}{when}"
            yield (path, "reserves"), GuaranteedError(text, parent.place)


def _retry_after_conflicts(policy: Policy, known: KnownNames) -> Iterator[PolicyError]:
    by_path = {limit.path: limit for limit in policy.limits}
    for limit in policy.limits:
        parent = by_path.get(limit.parent)
        reported_at_parent = (
            parent is not None and not parent.shadow and parent.sends_retry_after == limit.sends_retry_after
        )
        if limit.shadow or reported_at_parent or limit.sends_retry_after == (known.max_retry_after_ms > 0.0):
            continue
        classes = ", ".join(limit.match.classes) or "every class"
        if limit.sends_retry_after:
            text = f"{limit.path} sends Retry-After for {classes}, which the settings do not allow"
        else:
            text = f"{limit.path} refuses {classes} without Retry-After, which the settings allow"
        yield RetryAfterError(text, limit.place)
