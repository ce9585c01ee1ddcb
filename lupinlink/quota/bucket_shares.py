"""How a limit's bucket is divided among the parts inside it: what is kept for whom. Pure.

One bucket a limit, so that no division can let in more than its rate and burst. A guaranteed part has a
reserve in it that fills at the guaranteed rate, as the rate of a class in Devera's Hierarchical Token Bucket
(2002) and in Floyd and Van Jacobson, "Link-sharing and Resource Management Models for Packet Networks"
(IEEE/ACM Transactions on Networking 3(4), 1995); nobody else may touch what it holds, and what flows over a
full reserve is anybody's: that is the borrowing. Worth keeps a further part of the burst free from those of
less worth: trunk reservation (Key, "Optimal Control and Trunk Reservation in Loss Networks", Probability in
the Engineering and Informational Sciences 4, 1990), which gives those of more worth the tokens when they are
short, and costs nothing when they are not.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lupinlink.quota.model import Limit, RateParameters

KEPT = 0.5  # of a guaranteed part's share of the burst: its reserve; the rest of the burst is anybody's
FREE = 0.5  # of that rest: kept from those of least worth, less of it from those between
NEARLY = 1e-9  # tokens: what sums of floats may lack of a whole one
DEFAULT_WORTH = 1.0  # of requests that match no part


@dataclass(frozen=True, slots=True)
class DrawTerms:
    """On what terms a part takes a token of the bucket round it."""

    slot: int = -1  # of its reserve there; -1: it has none
    free: float = 0.0  # tokens that must be left beyond all reserves
    borrows: bool = True


PLAIN = DrawTerms()


@dataclass(frozen=True, slots=True)
class BucketSize:
    """One bucket's size, and its reserves. Rates are tokens a millisecond."""

    rate: float
    burst: float
    kept: tuple[float, ...] = ()  # how much each reserve holds when it is full
    fills: tuple[float, ...] = ()  # and how fast it fills
    spans: tuple[float, ...] = ()  # ms before a reserve is full from which on it has a whole token
    reserved: float = 0.0  # all of ``kept``
    plain: DrawTerms = PLAIN


def reserve(whole: RateParameters, part: RateParameters) -> float:
    """Tokens of a full reserve: at least 1, with which a request can be let in at all."""
    return max(1.0, KEPT * whole.burst * part.guaranteed_per_s / whole.rate_per_s)


def current_parameters(limit: Limit) -> RateParameters:
    """A limit's figures that hold now."""
    return RateParameters(limit.rate_per_s, limit.burst, limit.guaranteed_per_s)


def counts_in(part: Limit, whole: Limit) -> bool:
    """Whether a part is charged together with the limit round it: one in shadow mode must change nothing."""
    return part.shadow == whole.shadow


def divide(limits: Sequence[Limit]) -> tuple[list[BucketSize], list[DrawTerms]]:
    """The size of each limit's bucket, and each limit's terms in the bucket round it, both by index."""
    index = {limit.path: i for i, limit in enumerate(limits)}
    parts: list[list[int]] = [[] for _ in limits]
    for i, limit in enumerate(limits):
        if limit.parent and counts_in(limit, limits[index[limit.parent]]):
            parts[index[limit.parent]].append(i)
    sizes, draws = [], [DrawTerms()] * len(limits)
    for i, limit in enumerate(limits):
        whole = current_parameters(limit)
        slots = [j for j in parts[i] if limits[j].guaranteed_per_s > 0.0]
        kept = tuple(reserve(whole, current_parameters(limits[j])) for j in slots)
        room = max(0.0, limit.burst - sum(kept) - 1.0)
        worths = sorted({DEFAULT_WORTH, *(limits[j].worth for j in parts[i])}, reverse=True)
        free = {worth: FREE * room * r / max(1, len(worths) - 1) for r, worth in enumerate(worths)}
        for j in parts[i]:
            slot = slots.index(j) if limits[j].guaranteed_per_s > 0.0 else -1
            draws[j] = DrawTerms(slot, free[limits[j].worth], limits[j].borrows)
        fills = tuple(limits[j].guaranteed_per_s / 1000.0 for j in slots)
        spans = tuple((full - 1.0 + NEARLY) / fill for full, fill in zip(kept, fills, strict=True))
        plain = DrawTerms(free=free[DEFAULT_WORTH])
        sizes.append(BucketSize(limit.rate_per_s / 1000.0, limit.burst, kept, fills, spans, sum(kept), plain))
    return sizes, draws
