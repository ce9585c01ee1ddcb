"""The tokens that this gateway may spend: of its floor, and of slices while they last. Pure.

A bucket of each quota fills by this gateway's share of the rate and holds its share of the burst; a share
that falls takes the tokens over it away at once. So at any time all buckets of a quota together hold no more
than the burst and fill no faster than the rate as long as the shares in use come to no more than one; that
they do is what the allocator's book is for.

Danger: after the process stood still nothing has run in between. So each bucket knows itself until when its
share holds, and looks at the time whenever it is asked.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping, Sequence

from lupinlink.quota.model import Charge, Limit, Shortfall
from lupinlink.quota.sharing.floor import Floors
from lupinlink.quota.sharing.shape import Shape
from lupinlink.quota.sharing.terms import RATE_KEPT, Terms

WHOLE = 1.0 - 1e-9  # tokens that count as one
ROUND_MS = 1500.0  # an ask and its answer, roughly: when tokens may come to who has no share


class Bucket:
    """One quota's tokens at this gateway."""

    __slots__ = ("asked", "at", "back", "depth", "ends", "extra_depth", "extra_rate", "floor", "floor_from",
                 "keeps", "level", "next", "rate")  # fmt: skip

    def __init__(self, floor: float, floor_from: float, now: float) -> None:
        self.floor, self.floor_from = floor, floor_from  # share, and from when on
        self.keeps = 0.0  # of it, before that
        self.extra_rate = self.extra_depth = 0.0  # shares beside it
        self.ends = -math.inf  # when those end
        self.level, self.at = 0.0, now
        self.rate = self.depth = 0.0  # tokens a ms, tokens: as of ``at``
        self.next = -math.inf  # when they change by themselves
        self.asked = 0  # since the last look
        self.back = 0.0  # tokens lost to a share that was lowered

    def refresh(self, limit: Limit, now: float) -> None:
        """Bring everything up to now, and find the share as of now."""
        for moment in sorted((self.ends, self.floor_from)):
            if self.at < moment <= now:
                self._fill(moment)
                self._figure(limit, moment)
        self._fill(now)
        self._figure(limit, now)

    def _fill(self, now: float) -> None:
        if now > self.at:
            self.level = min(self.depth, self.level + (now - self.at) * self.rate)
            self.at = now

    def _figure(self, limit: Limit, now: float) -> None:
        floor = self.floor if now >= self.floor_from else min(self.keeps, self.floor)
        rate, depth = floor, floor
        if now < self.ends:
            rate, depth = rate + self.extra_rate, depth + self.extra_depth
        self.rate = rate * limit.rate_per_s * (1.0 - RATE_KEPT) / 1000.0
        self.depth = depth * limit.burst
        self.level = min(self.level, self.depth)
        self.next = min((moment for moment in (self.ends, self.floor_from) if moment > now), default=math.inf)


class SlicePurse:
    """A ``TokenStore`` for one version of the policy."""

    def __init__(
        self, limits: Sequence[Limit], terms: Terms, place: int, now_ms: float, trial: bool = False
    ) -> None:
        """``limits``: with the figures that hold. ``place``: this gateway's, from 0.

        ``trial``: it counts and refuses nothing, until its first slices have come; for a version beside one
        that is in force.
        """
        self.shape = Shape(limits)
        self._limits, self._terms, self._place = self.shape.limits, terms, place
        self._floors = Floors(limits, terms)
        self._buckets: dict[Charge, Bucket] = {}
        self._numbers = [0] * len(limits)  # of buckets
        # A process before this one may have left its floor to others, for so long; and have done so even
        # while this one started.
        self._hold_ms = terms.promise_ms + terms.slice_ms
        self.floor_from = now_ms + self._hold_ms
        self._since = [now_ms] * len(limits)  # since when a bucket that there is not was not spent from
        self.trial = trial
        self.leaving = False

    def __len__(self) -> int:
        return len(self._buckets)

    def __iter__(self) -> Iterator[tuple[Charge, Bucket]]:
        return iter(self._buckets.items())

    def take(self, charges: Sequence[Charge], now_ms: float) -> Shortfall | None:
        buckets = []
        short = False
        for charge in charges:
            bucket = self._buckets.get(charge) or self._open(charge, now_ms)
            if now_ms >= bucket.next:
                bucket.refresh(self._limits[charge[0]], now_ms)
            elif now_ms > bucket.at:
                level = bucket.level + (now_ms - bucket.at) * bucket.rate
                bucket.level = level if level < bucket.depth else bucket.depth
                bucket.at = now_ms
            if bucket.level < WHOLE:
                short = True
            buckets.append(bucket)
        if short and not self.trial:
            return self._refuse(charges, buckets, now_ms)
        for bucket in buckets:
            bucket.asked += 1
            bucket.level = bucket.level - 1.0 if bucket.level > 1.0 else 0.0
        return None

    def refund(self, charges: Sequence[Charge], now_ms: float) -> None:
        for charge in charges:
            bucket = self._buckets.get(charge)
            if bucket is not None:
                bucket.asked -= 1
                bucket.level = min(bucket.depth, bucket.level + 1.0)

    def _refuse(self, charges: Sequence[Charge], buckets: Sequence[Bucket], now: float) -> Shortfall:
        # A request that another tree refuses needs no token here: its demand counts where it is refused.
        roots = self.shape.roots
        lacking = {roots[c.limit] for c, b in zip(charges, buckets, strict=True) if b.level < WHOLE}
        last, wait = -1, -1.0
        for charge, bucket in zip(charges, buckets, strict=True):
            if roots[charge.limit] in lacking:
                bucket.asked += 1
            if bucket.level < WHOLE and (ms := self._wait_ms(charge, bucket, now)) > wait:
                last, wait = charge.limit, ms
        return Shortfall(last, wait)

    def _wait_ms(self, charge: Charge, bucket: Bucket, now: float) -> float:
        if bucket.depth >= WHOLE and bucket.rate > 0.0:
            return (1.0 - bucket.level) / bucket.rate
        if now < bucket.ends or now < self.floor_from:
            # Others hold it; after the next ask there may be some here.
            return max(ROUND_MS, 1000.0 / self._limits[charge.limit].rate_per_s)
        return math.inf

    def _open(self, charge: Charge, now: float) -> Bucket:
        if self._numbers[charge.limit] >= self._limits[charge.limit].max_values:
            self._evict(charge.limit, now)
        floor = 0.0 if self.leaving else self._floors.of(charge, self._place)
        bucket = Bucket(floor, self.floor_from, self._since[charge.limit])
        bucket.refresh(self._limits[charge.limit], self._since[charge.limit])
        bucket.refresh(self._limits[charge.limit], now)
        self._buckets[charge] = bucket
        self._numbers[charge.limit] += 1
        return bucket

    def _evict(self, limit: int, now: float) -> None:
        """Make room: the eighth of a limit's values that were asked for longest ago are forgotten."""
        free = max(now, self.floor_from)  # Danger: a promise must not be forgotten either
        mine = [(b.at, c) for c, b in self._buckets.items() if c.limit == limit and b.floor_from <= free]
        mine.sort()
        for _, charge in mine[: len(mine) // 8 + 1]:
            del self._buckets[charge]
            self._numbers[limit] -= 1
        # Danger: what a forgotten value had spent must not come back by its being forgotten.
        self._since[limit] = now

    def apply(self, slices: Mapping[Charge, tuple[float, float, float]], ends: float, now: float) -> None:
        """New slices in place of all before, until ``ends``: shares of rate and burst, and a token gift."""
        for charge in slices:
            if charge not in self._buckets:
                self._open(charge, now)
        for charge, bucket in self._buckets.items():
            rate, depth, gift = slices.get(charge, (0.0, 0.0, 0.0))
            if not (rate or depth or bucket.extra_rate or bucket.extra_depth):
                continue
            limit = self._limits[charge.limit]
            bucket.refresh(limit, now)
            before = bucket.level
            bucket.extra_rate, bucket.extra_depth, bucket.ends = rate, depth, ends
            bucket.refresh(limit, now)
            bucket.back += before - bucket.level
            bucket.level = min(bucket.depth, bucket.level + gift)

    def promise(self, charge: Charge, keeps: float, until: float, now: float) -> float:
        """Use no more than this share of a quota's floor until then; gives what was promised in truth."""
        bucket = self._buckets.get(charge) or self._open(charge, now)
        bucket.refresh(self._limits[charge.limit], now)
        if now < bucket.floor_from:
            keeps = min(keeps, bucket.keeps)  # the promise before still holds
        bucket.keeps, bucket.floor_from = keeps, max(until, bucket.floor_from)
        bucket.refresh(self._limits[charge.limit], now)
        return min(keeps, bucket.floor)

    def use_floor(self, but: Collection[Charge], now: float) -> None:
        """It is known what was promised under this name before: all floors hold now but these."""
        held, self.floor_from = self.floor_from, now
        for charge, bucket in self._buckets.items():
            if charge not in but and bucket.floor_from == held:
                bucket.floor_from = now
                bucket.refresh(self._limits[charge.limit], now)
        for charge in but:
            if charge not in self._buckets:
                self._open(charge, now)
            self._buckets[charge].floor_from = now + self._hold_ms

    def tokens(self, charge: Charge, now: float) -> tuple[float, float]:
        """Whole tokens there are of one quota, and how many were lost to shares that were lowered."""
        bucket = self._buckets.get(charge)
        if bucket is None:
            return 0.0, 0.0
        bucket.refresh(self._limits[charge.limit], now)
        return bucket.level, bucket.back

    def leave(self, now: float) -> None:
        """This process ends soon, another has its place: no floor any more."""
        self.leaving = True
        for charge, bucket in self._buckets.items():
            bucket.refresh(self._limits[charge.limit], now)
            bucket.floor = 0.0
            bucket.refresh(self._limits[charge.limit], now)
