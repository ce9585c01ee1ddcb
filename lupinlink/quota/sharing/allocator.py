"""The one that deals: hears asks, and answers in rounds with what nobody else can be using. Pure.

It keeps nothing in the service but its answers. A new one knows only that whatever was dealt before it began
to lead has run out ``over_ms`` later, and deals nothing until then; so neither a dead predecessor's slices
nor those that a restored service has forgotten are dealt twice. That two believe to lead at once is settled
by what carries the answers: each is written in a commit that fails unless the lead is held.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lupinlink.quota.model import Charge
from lupinlink.quota.sharing.book import NONE, Book, Holder, Key, Quota, Slice
from lupinlink.quota.sharing.dealer import Dealer
from lupinlink.quota.sharing.messages import Dealt, Part
from lupinlink.quota.sharing.rationing import Claim
from lupinlink.quota.sharing.shape import Shape
from lupinlink.quota.sharing.terms import Terms

CHANGED = 0.1  # of a share: a change by less waits for the gateway's next ask
EVENLY = 0.1  # of what each that asks would have evenly: likewise
WAITED_FOR = 0.03  # of a quota, lacking at gateways: those with too much are asked to hurry
NOTHING = 1e-9


class Allocator:
    """Of one lead; made anew when the lead is taken anew."""

    def __init__(self, terms: Terms, lead: str, fence: int, now: float) -> None:
        """``lead``: a name of this allocator alone. ``now``: after the answer came that it leads."""
        self._terms, self._lead = terms, lead
        self.book = Book(terms)
        self.dealers: dict[str, Dealer] = {}
        self.fence, self.quiet_until = fence, now + terms.over_ms
        self.book.fences.add(fence)
        self._number = 0
        self._pressing: set[Quota] = set()
        self.gone: list[Key] = []  # gateways whose records are of no use any more; found by the last round
        self.waiting = False  # somebody lacks what others were asked to give up: look again soon

    def raise_fence(self, fence: int) -> None:
        """It leads on, under a higher one."""
        self.fence = max(self.fence, fence)
        self.book.fences.add(self.fence)

    def round(self, now: float, shapes: Mapping[str, Shape]) -> list[tuple[Holder, Dealt]]:
        """What to write now. ``shapes``: the versions in force, by name. Each answer counts from here on."""
        self.waiting = False
        self.gone = self.book.sweep(now)
        if now < self.quiet_until:
            return []
        charged = {holder.key: holder.charged(now) for holder in self.book}
        self.dealers = {
            name: self.dealers.get(name) or Dealer(name, shape, self._terms) for name, shape in shapes.items()
        }
        for dealer in self.dealers.values():
            dealer.plan(self.book, charged, now)
        asking = [holder for holder in self.book if holder.heard_ms + self._terms.slice_ms > now]
        self._press(asking, charged)
        writing = [holder for holder in asking if holder.answered < holder.ask.number or self._moved(holder)]
        slices: dict[Key, dict[Quota, Slice]] = {holder.key: {} for holder in writing}
        for holder in writing:
            if holder.answered < holder.ask.number:
                holder.gifts = {}
        for dealer in self.dealers.values():
            for charge in dealer.wants:
                self._raise(dealer, charge, writing, charged, slices)
            for charge in dealer.rations:
                self._ration(dealer, charge, writing, charged, slices, now)
        return [(holder, self._answer(holder, slices[holder.key], now)) for holder in writing]

    def _press(self, asking: Sequence[Holder], charged: Mapping[Key, Mapping[Quota, Slice]]) -> None:
        """Find the quotas of which gateways lack more than is free."""
        self._pressing = set()
        for dealer in self.dealers.values():
            for charge, wants in dealer.wants.items():
                quota, rate, depth = (dealer.version, charge), 0.0, 0.0
                for holder in asking:
                    want = wants.get(holder.key)
                    if want is not None:
                        has = charged[holder.key].get(quota, NONE)
                        rate += max(0.0, want.rate - has.rate)
                        depth += max(0.0, want.depth - has.depth)
                free = dealer.free[charge]
                if rate > free.rate + WAITED_FOR or depth > free.depth + WAITED_FOR:
                    self._pressing.add(quota)

    def _moved(self, holder: Holder) -> bool:
        """Whether an answer need not wait for its next ask: it should have much more, or give up much."""
        for dealer in self.dealers.values():
            for charge, wants in dealer.wants.items():
                quota = (dealer.version, charge)
                want, last = wants.get(holder.key, NONE), holder.last(quota)
                little = EVENLY / max(1, len(wants))
                if _less(want, last, little) and quota in self._pressing:
                    return True
                if _less(last, want, little) and dealer.free[charge].rate > little:
                    return True
        return False

    def _raise(
        self,
        dealer: Dealer,
        charge: Charge,
        writing: Sequence[Holder],
        charged: Mapping[Key, Mapping[Quota, Slice]],
        slices: Mapping[Key, dict[Quota, Slice]],
    ) -> None:
        """Give each what it should have, as far as that is free; what is taken away is not free yet."""
        quota, wants, free = (dealer.version, charge), dealer.wants[charge], dealer.free[charge]
        lacks = {}
        for holder in writing:
            want, has = wants.get(holder.key, NONE), charged[holder.key].get(quota, NONE)
            lacks[holder.key] = Slice(max(0.0, want.rate - has.rate), max(0.0, want.depth - has.depth))
        lack = sum(one.rate for one in lacks.values())
        scale = min(1.0, max(0.0, free.rate) / lack) if lack > 0.0 else 1.0
        left = max(0.0, free.depth)
        for holder in writing:
            want, one = wants.get(holder.key, NONE), lacks[holder.key]
            rate, depth = one.rate * scale, min(one.depth, left)  # whole tokens: not a part for each
            left -= depth
            slices[holder.key][quota] = Slice(want.rate - one.rate + rate, want.depth - one.depth + depth)
        dealer.free[charge] = Slice(free.rate - lack * scale, left)

    def _ration(
        self,
        dealer: Dealer,
        charge: Charge,
        writing: Sequence[Holder],
        charged: Mapping[Key, Mapping[Quota, Slice]],
        slices: Mapping[Key, dict[Quota, Slice]],
        now: float,
    ) -> None:
        """Give whole tokens, and take back those that lie unused."""
        quota, ration = (dealer.version, charge), dealer.rations[charge]
        limit = dealer.shape.limits[charge.limit]
        for holder in self.book:
            if back := holder.back.pop(quota, 0.0):
                ration.bank.credit(back, dealer.room(charge))
        claims, levels = [], {}
        for holder in writing:
            want = next((w for w in holder.ask.wants.get(dealer.version, ()) if w.charge == charge), None)
            levels[holder.key] = want.level if want is not None else 0.0
            fresh = holder.answered < holder.ask.number
            whole = fresh and (not holder.given or holder.given[-1].number == holder.ask.seen)
            if want is not None and want.per_s > 0.0:
                claims.append(Claim(holder.key, want.level, whole))
        asking = len(dealer.demands.get(charge, ()))
        gifts, idle = ration.deal(claims, asking, now, self._terms.turn_ms)
        left = max(0.0, dealer.free[charge].depth)
        for holder in writing:
            key, has = holder.key, charged[holder.key].get(quota, NONE)
            if gift := gifts.get(key, 0.0):
                holder.gifts[quota] = gift
            tokens = levels[key] + gift if key not in idle else 0.0
            depth = max(0.0, tokens / limit.burst - dealer.bases[charge].get(key, 0.0))
            if holder.answered == holder.ask.number:
                depth = max(depth, holder.last(quota).depth)  # what it said of its tokens is old
            depth = min(depth, has.depth + left)
            left -= max(0.0, depth - has.depth)
            slices[key][quota] = Slice(0.0, depth)
        dealer.free[charge] = Slice(dealer.free[charge].rate, left)
        ration.bank.fills(dealer.free[charge].rate * limit.rate_per_s / 1000.0, dealer.room(charge))

    def _answer(self, holder: Holder, slices: dict[Quota, Slice], now: float) -> Dealt:
        self._number += 1
        if holder.answered < holder.ask.number:
            holder.gift = self._number
        hurry = False
        parts: dict[str, list[Part]] = {version: [] for version in self.dealers}
        for quota, one in slices.items():
            hurry |= quota in self._pressing and _less(one, holder.last(quota), 0.0)
            if one.rate > NOTHING or one.depth > NOTHING:
                version, charge = quota
                gift = holder.gifts.get(quota, 0.0)
                parts[version].append(Part(charge.limit, charge.value, one.rate, one.depth, gift))
        self.waiting |= hurry
        short = {version: [(c.limit, c.value) for c in d.short] for version, d in self.dealers.items()}
        given = {quota: one for quota, one in slices.items() if one != NONE}
        self.book.write(holder, self._number, now, given)
        return Dealt(
            holder.ask.born, self.fence, self._lead, self._number, holder.ask.number, holder.gift, hurry,
            parts, short, self._promised(holder, now),
        )  # fmt: skip

    def _promised(self, holder: Holder, now: float) -> dict[str, list[tuple[int, str]]]:
        """What was promised under this gateway's name by processes before it."""
        found: dict[str, list[tuple[int, str]]] = {}
        for other in self.book:
            if other.ask.name == holder.ask.name and other is not holder:
                for (version, charge), (_, until) in other.kept.items():
                    if until > now:
                        found.setdefault(version, []).append((charge.limit, charge.value))
        return found


def _less(one: Slice, other: Slice, little: float) -> bool:
    """Whether ``one`` is much less than ``other``, in rate or in depth."""
    most = 1.0 - CHANGED
    return one.rate < other.rate * most - little or one.depth < other.depth * most - little
