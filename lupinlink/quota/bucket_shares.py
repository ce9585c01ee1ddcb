"""Divides a limit's bucket among its child limits: reserves and headroom. Performs no I/O.

Each limit has a single bucket, so no division can admit more than its rate and burst. A guaranteed child has
a reserve in it that refills at the guaranteed rate, like the rate of a class in Devera's Hierarchical Token
Bucket (2002) and in Floyd and Van Jacobson, "Link-sharing and Resource Management Models for Packet Networks"
(IEEE/ACM Transactions on Networking 3(4), 1995). Only that child may take the tokens of its reserve; what a
full reserve does not take up can be borrowed by all. ``worth`` ranks the children: those of less worth must
leave more of the burst unused. This is trunk reservation (Key, "Optimal Control and Trunk Reservation in Loss
Networks", Probability in the Engineering and Informational Sciences 4, 1990), which gives the tokens to
children of more worth when tokens are short and costs nothing otherwise.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lupinlink.quota.model import Limit, RateParameters

RESERVE_SHARE = 0.5  # of a guaranteed child's share of the burst; the rest of the burst is open to all
HEADROOM_SHARE = 0.5  # of that rest: what children of the least worth must leave; those above leave less
TOKEN_TOLERANCE = 1e-9  # tokens; allows for rounding errors in sums of floats
DEFAULT_WORTH = 1.0  # of requests that match no child limit


@dataclass(frozen=True, slots=True)
class DrawTerms:
    """The terms on which a child limit takes a token from its parent's bucket."""

    reserve_index: int = -1  # -1: it has no reserve
    headroom: float = 0.0  # tokens that must remain in addition to all reserves
    borrows: bool = True


DEFAULT_TERMS = DrawTerms()


@dataclass(frozen=True, slots=True)
class BucketSize:
    """The size of a bucket and of its reserves. Rates are tokens per millisecond."""

    rate: float
    burst: float
    reserves: tuple[float, ...] = ()  # tokens of each reserve when it is full
    reserve_rates: tuple[float, ...] = ()  # refill rate of each reserve
    reserve_ready_ms: tuple[float, ...] = ()  # how long before being full it has a whole token
    total_reserve: float = 0.0  # sum of ``reserves``
    default_terms: DrawTerms = DEFAULT_TERMS


def reserve_size(parent: RateParameters, child: RateParameters) -> float:
    """Tokens of a full reserve; at least 1, or the reserve could never admit a request."""
    return max(1.0, RESERVE_SHARE * parent.burst * child.guaranteed_per_s / parent.rate_per_s)


def current_parameters(limit: Limit) -> RateParameters:
    """The rate parameters that are in force for a limit."""
    return RateParameters(limit.rate_per_s, limit.burst, limit.guaranteed_per_s)


def charged_with_parent(child: Limit, parent: Limit) -> bool:
    """Whether a child is charged together with its parent; a child in shadow mode must not affect it."""
    return child.shadow == parent.shadow


def divide_buckets(limits: Sequence[Limit]) -> tuple[list[BucketSize], list[DrawTerms]]:
    """The size of each limit's bucket and each limit's terms in its parent's bucket, both by index."""
    index = {limit.path: i for i, limit in enumerate(limits)}
    children: list[list[int]] = [[] for _ in limits]
    for i, limit in enumerate(limits):
        if limit.parent and charged_with_parent(limit, limits[index[limit.parent]]):
            children[index[limit.parent]].append(i)
    sizes, terms = [], [DrawTerms()] * len(limits)
    for i, limit in enumerate(limits):
        own = current_parameters(limit)
        guaranteed = [j for j in children[i] if limits[j].guaranteed_per_s > 0.0]
        reserves = tuple(reserve_size(own, current_parameters(limits[j])) for j in guaranteed)
        open_burst = max(0.0, limit.burst - sum(reserves) - 1.0)
        worths = sorted({DEFAULT_WORTH, *(limits[j].worth for j in children[i])}, reverse=True)
        headroom = {
            worth: HEADROOM_SHARE * open_burst * rank / max(1, len(worths) - 1)
            for rank, worth in enumerate(worths)
        }
        for j in children[i]:
            reserve_index = guaranteed.index(j) if limits[j].guaranteed_per_s > 0.0 else -1
            terms[j] = DrawTerms(reserve_index, headroom[limits[j].worth], limits[j].borrows)
        reserve_rates = tuple(limits[j].guaranteed_per_s / 1000.0 for j in guaranteed)
        reserve_ready_ms = tuple(
            (reserve - 1.0 + TOKEN_TOLERANCE) / rate
            for reserve, rate in zip(reserves, reserve_rates, strict=True)
        )
        default_terms = DrawTerms(headroom=headroom[DEFAULT_WORTH])
        sizes.append(
            BucketSize(
                limit.rate_per_s / 1000.0,
                limit.burst,
                reserves,
                reserve_rates,
                reserve_ready_ms,
                sum(reserves),
                default_terms,
            )
        )
    return sizes, terms
