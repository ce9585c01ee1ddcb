"""Generators of random policies, and a naive reference implementation with exact fractions.

It follows docs/operators/quota-language.md, tests every limit in turn and shares only the data model with the
compiled decision.
"""

from __future__ import annotations

from fractions import Fraction
from ipaddress import ip_address, ip_network
from typing import Any

from hypothesis import strategies as st

from lupinlink.quota.model import Limit, Match, Policy, QuotaRequest, RateParameters

CLASSES, TENANTS, ZONES = ("look", "scan"), ("acme", "bolt"), ("a", "b")
PREFIXES, KEYS = ("k", "k/1", "m"), ("", "k", "k/1", "k/12", "m")
NETWORKS = tuple(map(ip_network, ("10.0.0.0/8", "10.1.0.0/16", "2001:db8::/32", "10.1.2.0/24")))
ADDRESSES = ("", "10.1.2.3", "10.1.9.9", "10.9.9.9", "::ffff:10.1.2.3", "2001:db8::1", "192.0.2.1", "none")

requests = st.builds(
    QuotaRequest,
    st.sampled_from(CLASSES),
    st.sampled_from(("", *TENANTS)),
    st.sampled_from(ZONES),
    st.sampled_from(KEYS),
    st.sampled_from(ADDRESSES),
    st.booleans(),
)


def _some(values: tuple[Any, ...]) -> st.SearchStrategy[tuple[Any, ...]]:
    return st.lists(st.sampled_from(values), min_size=1, max_size=2, unique=True).map(tuple)


# Mostly one condition per nested quota, so that requests are spread over several of them.
conditions = st.one_of(
    st.builds(Match, classes=_some(CLASSES)),
    st.builds(Match, tenants=_some(TENANTS), zones=_some(ZONES)),
    st.builds(Match, key_prefixes=_some(PREFIXES)),
    st.builds(Match, networks=_some(NETWORKS)),
    st.builds(Match, key_prefixes=_some(PREFIXES), networks=_some(NETWORKS)),
    st.builds(Match, second_try=st.booleans()),
    st.just(Match()),
)


@st.composite
def limits(draw: st.DrawFn, parent: Limit | None, name: str, depth: int) -> list[Limit]:
    """A limit and its descendants."""
    rate, burst = draw(st.sampled_from((5, 20, 100))), draw(st.integers(6, 12))
    by, guaranteed = draw(st.sampled_from(("", "", "", "key", "address", "tenant"))), 0.0
    if parent is not None:
        rate, burst = min(rate, int(parent.rate_per_s)), min(burst, int(parent.burst))
        guaranteed = draw(st.sampled_from((0.0, parent.rate_per_s / 10))) if not by else 0.0
    limit = Limit(
        path=f"{parent.path}/{name}" if parent else name,
        rate_per_s=float(rate),
        burst=float(burst),
        parent=parent.path if parent else "",
        guaranteed_per_s=guaranteed if guaranteed <= rate else 0.0,
        borrows=not guaranteed or guaranteed > rate or draw(st.booleans()),
        worth=draw(st.sampled_from((1.0, 3.0, 0.5))) if parent else 1.0,
        by=by,
        by_ipv4_bits=16 if by == "address" else 0,
        by_ipv6_bits=48 if by == "address" else 0,
        max_values=draw(st.integers(1, 3)) if by else parent.max_values if parent else 1,
        shadow=(parent.shadow if parent else False) or draw(st.integers(0, 9)) == 0,
        sends_retry_after=parent.sends_retry_after if parent else True,
        match=draw(conditions if parent or draw(st.booleans()) else st.just(Match())),
        default_parameters=RateParameters(
            float(rate), float(burst), guaranteed if guaranteed <= rate else 0.0
        ),
    )
    found = [limit]
    for i in range(draw(st.sampled_from((0, 2, 3, 4))) if depth == 1 else draw(st.integers(0, 3 - depth))):
        found += draw(limits(limit, f"q{i}", depth + 1))
    return found


@st.composite
def policies(draw: st.DrawFn) -> Policy:
    """One or two trees."""
    found = [one for i in range(draw(st.integers(1, 2))) for one in draw(limits(None, f"t{i}", 1))]
    return Policy("v", tuple(found))


def matches_request(match: Match, request: QuotaRequest) -> bool:
    try:
        address = ip_address(request.address)
        address = getattr(address, "ipv4_mapped", None) or address
    except ValueError:
        address = None
    return (
        request.class_name in (match.classes or (request.class_name,))
        and request.tenant in (match.tenants or (request.tenant,))
        and request.zone in (match.zones or (request.zone,))
        and any(request.key.startswith(prefix) for prefix in match.key_prefixes or ("",))
        and (not match.networks or any(address is not None and address in one for one in match.networks))
        and match.second_try in (None, request.second_try)
    )


def applicable_limits(policy: Policy, request: QuotaRequest) -> list[Limit]:
    """All limits that apply to a request."""

    def descendants_of(path: str) -> list[Limit]:
        matching = [
            limit for limit in policy.limits if limit.parent == path and matches_request(limit.match, request)
        ]
        return [
            one
            for limit in (matching if not path else matching[:1])
            for one in (limit, *descendants_of(limit.path))
        ]

    return descendants_of("")


class ReferenceBucket:
    """A bucket and its reserves, refilled at every step."""

    def __init__(self, limit: Limit, charged_children: list[Limit], now: int) -> None:
        self.rate, self.burst = Fraction(limit.rate_per_s) / 1000, Fraction(limit.burst)
        self.reserve_rates = {
            one.path: Fraction(one.guaranteed_per_s) / 1000
            for one in charged_children
            if one.guaranteed_per_s
        }
        self.full_reserves = {
            p: max(Fraction(1), self.burst * fill / self.rate / 2) for p, fill in self.reserve_rates.items()
        }
        self.tokens, self.reserves, self.updated_ms = self.burst, dict(self.full_reserves), now

    def refill(self, now: int) -> None:
        span, self.updated_ms = now - self.updated_ms, now
        self.tokens = min(self.burst, self.tokens + span * self.rate)
        self.reserves = {
            p: min(self.full_reserves[p], had + span * self.reserve_rates[p])
            for p, had in self.reserves.items()
        }

    def is_full(self) -> bool:
        return self.tokens == self.burst and self.reserves == self.full_reserves


class ReferenceDecision:
    """Decides as documented; ``buckets`` by limit and value, least recently charged first."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.buckets: dict[str, dict[str, ReferenceBucket]] = {limit.path: {} for limit in policy.limits}
        self.shared: dict[str, ReferenceBucket] = {}

    def charged_children(self, limit: Limit) -> list[Limit]:
        return [p for p in self.policy.limits if p.parent == limit.path and p.shadow == limit.shadow]

    def bucket(self, limit: Limit, value: str, now: int) -> ReferenceBucket:
        buckets, shared = self.buckets[limit.path], self.shared.get(limit.path)
        for bucket in [*buckets.values(), *([shared] if shared else [])]:
            bucket.refill(now)
        if value in buckets:
            return buckets[value]
        new_bucket = ReferenceBucket(limit, self.charged_children(limit), now)
        if len(buckets) >= limit.max_values:
            oldest = next(iter(buckets))
            if not buckets[oldest].is_full():
                return self.shared.setdefault(limit.path, new_bucket)
            del buckets[oldest]
        if shared is not None:
            new_bucket.tokens, new_bucket.reserves = shared.tokens, dict(shared.reserves)
        buckets[value] = new_bucket
        return new_bucket

    def value(self, limit: Limit, request: QuotaRequest) -> str:
        ancestors = [one for one in self.policy.limits if limit.path.startswith(one.path + "/")]
        values = []
        for one in (*ancestors, limit):
            if one.by == "address":
                try:
                    address = ip_address(request.address)
                    address = getattr(address, "ipv4_mapped", None) or address
                    bits = one.by_ipv4_bits if address.version == 4 else one.by_ipv6_bits
                    values.append(str(ip_network(f"{address}/{bits}", strict=False)))
                except ValueError:
                    values.append("")
            elif one.by:
                values.append(str(getattr(request, one.by)))
        return "\x1f".join(values)

    def has_token(self, bucket: ReferenceBucket, limit: Limit, child: Limit | None) -> bool:
        worth = child.worth if child else 1.0
        if child and bucket.reserves.get(child.path, 0) >= 1:
            return bucket.tokens >= 1
        if child and not child.borrows:
            return False
        worths = sorted({1.0, *(one.worth for one in self.charged_children(limit))}, reverse=True)
        open_burst = max(Fraction(0), bucket.burst - sum(bucket.full_reserves.values()) - 1)
        headroom = open_burst / 2 * worths.index(worth) / max(1, len(worths) - 1)
        return bucket.tokens >= 1 and bucket.tokens - sum(bucket.reserves.values()) - headroom >= 1

    def take(self, found: list[Limit], request: QuotaRequest, now: int) -> bool:
        pairs = []
        for i in reversed(range(len(found))):
            child = found[i + 1] if i + 1 < len(found) and found[i + 1].parent == found[i].path else None
            pairs.append((self.bucket(found[i], self.value(found[i], request), now), found[i], child))
        if not all(self.has_token(*pair) for pair in pairs):
            return False
        for bucket, limit, child in pairs:
            bucket.tokens -= 1
            if child and bucket.reserves.get(child.path, 0) >= 1:
                bucket.reserves[child.path] -= 1
            buckets, value = self.buckets[limit.path], self.value(limit, request)
            if value in buckets:
                buckets[value] = buckets.pop(value)
        return True

    def decide(self, request: QuotaRequest, now: int) -> tuple[bool, bool]:
        """Whether it is admitted, and whether a limit in shadow mode would have refused it."""
        found = applicable_limits(self.policy, request)
        if not self.take([limit for limit in found if not limit.shadow], request, now):
            return False, False
        return True, not self.take([limit for limit in found if limit.shadow], request, now)
