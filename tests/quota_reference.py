"""Random policies, and a naive interpreter of them that looks at every rule and adds up with exact fractions.

It is written from docs/operators/quota-language.md, and shares nothing with the compiled form but the model.
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

asks = st.builds(
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


# Of a quota inside another mostly one condition, so that requests are shared out among several.
matches = st.one_of(
    st.builds(Match, classes=_some(CLASSES)),
    st.builds(Match, tenants=_some(TENANTS), zones=_some(ZONES)),
    st.builds(Match, key_prefixes=_some(PREFIXES)),
    st.builds(Match, networks=_some(NETWORKS)),
    st.builds(Match, key_prefixes=_some(PREFIXES), networks=_some(NETWORKS)),
    st.builds(Match, second_try=st.booleans()),
    st.just(Match()),
)


@st.composite
def limits(draw: st.DrawFn, outer: Limit | None, name: str, depth: int) -> list[Limit]:
    """A limit and all inside it."""
    rate, burst = draw(st.sampled_from((5, 20, 100))), draw(st.integers(6, 12))
    by, guaranteed = draw(st.sampled_from(("", "", "", "key", "address", "tenant"))), 0.0
    if outer is not None:
        rate, burst = min(rate, int(outer.rate_per_s)), min(burst, int(outer.burst))
        guaranteed = draw(st.sampled_from((0.0, outer.rate_per_s / 10))) if not by else 0.0
    limit = Limit(
        path=f"{outer.path}/{name}" if outer else name,
        rate_per_s=float(rate),
        burst=float(burst),
        parent=outer.path if outer else "",
        guaranteed_per_s=guaranteed if guaranteed <= rate else 0.0,
        borrows=not guaranteed or guaranteed > rate or draw(st.booleans()),
        worth=draw(st.sampled_from((1.0, 3.0, 0.5))) if outer else 1.0,
        by=by,
        by_ipv4_bits=16 if by == "address" else 0,
        by_ipv6_bits=48 if by == "address" else 0,
        max_values=draw(st.integers(1, 3)) if by else outer.max_values if outer else 1,
        shadow=(outer.shadow if outer else False) or draw(st.integers(0, 9)) == 0,
        sends_retry_after=outer.sends_retry_after if outer else True,
        match=draw(matches if outer or draw(st.booleans()) else st.just(Match())),
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


def matched(match: Match, asked: QuotaRequest) -> bool:
    try:
        address = ip_address(asked.address)
        address = getattr(address, "ipv4_mapped", None) or address
    except ValueError:
        address = None
    return (
        asked.class_name in (match.classes or (asked.class_name,))
        and asked.tenant in (match.tenants or (asked.tenant,))
        and asked.zone in (match.zones or (asked.zone,))
        and any(asked.key.startswith(prefix) for prefix in match.key_prefixes or ("",))
        and (not match.networks or any(address is not None and address in one for one in match.networks))
        and match.second_try in (None, asked.second_try)
    )


def way(policy: Policy, asked: QuotaRequest) -> list[Limit]:
    """All limits that a request comes to."""

    def inside(path: str) -> list[Limit]:
        fitting = [limit for limit in policy.limits if limit.parent == path and matched(limit.match, asked)]
        return [
            one for limit in (fitting if not path else fitting[:1]) for one in (limit, *inside(limit.path))
        ]

    return inside("")


class Level:
    """One bucket and its reserves, filled step by step."""

    def __init__(self, limit: Limit, parts: list[Limit], now: int) -> None:
        self.rate, self.burst = Fraction(limit.rate_per_s) / 1000, Fraction(limit.burst)
        self.fills = {
            one.path: Fraction(one.guaranteed_per_s) / 1000 for one in parts if one.guaranteed_per_s
        }
        self.most = {p: max(Fraction(1), self.burst * fill / self.rate / 2) for p, fill in self.fills.items()}
        self.tokens, self.kept, self.at = self.burst, dict(self.most), now

    def settle(self, now: int) -> None:
        span, self.at = now - self.at, now
        self.tokens = min(self.burst, self.tokens + span * self.rate)
        self.kept = {p: min(self.most[p], had + span * self.fills[p]) for p, had in self.kept.items()}

    def full(self) -> bool:
        return self.tokens == self.burst and self.kept == self.most


class Reference:
    """Decides as the page says; ``levels`` by limit and value, the one charged longest ago first."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.levels: dict[str, dict[str, Level]] = {limit.path: {} for limit in policy.limits}
        self.shared: dict[str, Level] = {}

    def parts(self, limit: Limit) -> list[Limit]:
        return [p for p in self.policy.limits if p.parent == limit.path and p.shadow == limit.shadow]

    def level(self, limit: Limit, value: str, now: int) -> Level:
        levels, shared = self.levels[limit.path], self.shared.get(limit.path)
        for level in [*levels.values(), *([shared] if shared else [])]:
            level.settle(now)
        if value in levels:
            return levels[value]
        fresh = Level(limit, self.parts(limit), now)
        if len(levels) >= limit.max_values:
            oldest = next(iter(levels))
            if not levels[oldest].full():
                return self.shared.setdefault(limit.path, fresh)
            del levels[oldest]
        if shared is not None:
            fresh.tokens, fresh.kept = shared.tokens, dict(shared.kept)
        levels[value] = fresh
        return fresh

    def value(self, limit: Limit, asked: QuotaRequest) -> str:
        outer = [one for one in self.policy.limits if limit.path.startswith(one.path + "/")]
        values = []
        for one in (*outer, limit):
            if one.by == "address":
                try:
                    address = ip_address(asked.address)
                    address = getattr(address, "ipv4_mapped", None) or address
                    bits = one.by_ipv4_bits if address.version == 4 else one.by_ipv6_bits
                    values.append(str(ip_network(f"{address}/{bits}", strict=False)))
                except ValueError:
                    values.append("")
            elif one.by:
                values.append(str(getattr(asked, one.by)))
        return "\x1f".join(values)

    def may(self, level: Level, limit: Limit, part: Limit | None) -> bool:
        worth = part.worth if part else 1.0
        if part and level.kept.get(part.path, 0) >= 1:
            return level.tokens >= 1
        if part and not part.borrows:
            return False
        worths = sorted({1.0, *(one.worth for one in self.parts(limit))}, reverse=True)
        room = max(Fraction(0), level.burst - sum(level.most.values()) - 1)
        free = room / 2 * worths.index(worth) / max(1, len(worths) - 1)
        return level.tokens >= 1 and level.tokens - sum(level.kept.values()) - free >= 1

    def take(self, found: list[Limit], asked: QuotaRequest, now: int) -> bool:
        pairs = []
        for i in reversed(range(len(found))):
            part = found[i + 1] if i + 1 < len(found) and found[i + 1].parent == found[i].path else None
            pairs.append((self.level(found[i], self.value(found[i], asked), now), found[i], part))
        if not all(self.may(*pair) for pair in pairs):
            return False
        for level, limit, part in pairs:
            level.tokens -= 1
            if part and level.kept.get(part.path, 0) >= 1:
                level.kept[part.path] -= 1
            levels, value = self.levels[limit.path], self.value(limit, asked)
            if value in levels:
                levels[value] = levels.pop(value)
        return True

    def decide(self, asked: QuotaRequest, now: int) -> tuple[bool, bool]:
        """Whether it comes in, and whether a limit in shadow mode would have refused it."""
        found = way(self.policy, asked)
        if not self.take([limit for limit in found if not limit.shadow], asked, now):
            return False, False
        return True, not self.take([limit for limit in found if limit.shadow], asked, now)
