"""What one gateway asks the allocator, and what of the answers it obeys. Pure.

An answer is obeyed only while the slices' time, counted from before the ask that it answers was made, has not
run out; from no allocator under a fence lower than one that was met; and never after a newer one. So it does
not matter how late, how often or in what order answers come, or whether the service was restored in between.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from lupinlink.quota.model import Charge
from lupinlink.quota.sharing.messages import MOST_WANTS, Ask, Dealt, Want
from lupinlink.quota.sharing.meter import Meter
from lupinlink.quota.sharing.purse import SlicePurse
from lupinlink.quota.sharing.terms import Terms

SOON_MS = 700.0  # at least between two asks when the traffic shifts
HURRY_MS = 200.0  # likewise when somebody waits for what is taken away here
OWN = 1.3  # times what it needs itself: so much of its floor it does not leave to others


@dataclass(slots=True)
class Counted:
    """A purse and its meter."""

    purse: SlicePurse
    meter: Meter
    first: int = 0  # the first ask that told of it
    floor_known: bool = False  # what processes before this one promised is known


class Gateway:
    """One process's side."""

    def __init__(self, terms: Terms, name: str, born: str, place: int) -> None:
        """``born``: of this process alone. ``place``: from 0, of no other gateway."""
        self._terms, self.name, self.born, self.place = terms, name, born, place
        self._counted: dict[str, Counted] = {}
        self._asked: dict[int, float] = {}  # when each ask that may still be answered was made
        self._number = 0
        self.fence, self._lead = 0, ""
        self._seen, self._seen_ms = 0, 0.0  # the answer that is obeyed, and since when
        self._gift = 0  # the newest answer whose gifts were taken
        self.answered_ms = -math.inf  # when the newest ask that was answered was made
        self._asked_ms = -math.inf  # the last ask
        self._due_ms = -math.inf  # the next one
        self._short: dict[str, set[Charge]] = {}
        self.cannot: dict[str, str] = {}  # versions that it cannot use, and why
        self.leaving = False
        self.epoch = 0  # the highest of the policies' record that was met

    @property
    def versions(self) -> Mapping[str, Counted]:
        """What it holds or is about to hold."""
        return self._counted

    def add(self, version: str, purse: SlicePurse, now: float) -> None:
        """One more version is to be held."""
        self._counted[version] = Counted(purse, Meter(now))
        if self.leaving:
            purse.leave(now)
        self._ask_by(now)

    def drop(self, version: str) -> None:
        """A version is in force no more."""
        self._counted.pop(version, None)

    def leave(self, now: float) -> None:
        """This process ends soon, another has its place."""
        self.leaving = True
        for one in self._counted.values():
            one.purse.leave(now)
        self._ask_by(now)

    def ends_ms(self) -> float:
        """Until when the slices that it has may be spent."""
        return self.answered_ms + self._terms.slice_ms

    def due(self, now: float) -> bool:
        """Whether it should ask now."""
        return now >= self._due_ms

    def _ask_by(self, moment: float) -> None:
        self._due_ms = min(self._due_ms, max(moment, self._asked_ms + SOON_MS))

    def tick(self, now: float) -> None:
        """Take what was counted; some times a second."""
        for one in self._counted.values():
            counts = []
            for charge, bucket in one.purse:
                counts.append((charge, bucket.asked))
                bucket.asked = 0
            if one.meter.look(counts, now):
                self._ask_by(now)

    def ask(self, now: float, spread: float) -> Ask:
        """An ask to be written at once. ``spread``: from [0, 1), drawn: gateways shall not ask together."""
        self.tick(now)
        self._number += 1
        self._asked[self._number] = self._asked_ms = now
        self._due_ms = now + self._terms.ask_ms * (1.0 - 0.2 * spread)
        self._asked = {k: ms for k, ms in self._asked.items() if ms + self._terms.slice_ms > now}
        wants = {}
        for version, one in self._counted.items():
            one.first = one.first or self._number
            wants[version] = self._wants(version, one, now)
        return Ask(
            self.name, self.born, self.place, self._number, self.fence, self._seen, now - self._seen_ms,
            self.leaving, wants, self.epoch, [v for v, one in self._counted.items() if not one.purse.trial],
            dict(self.cannot),
        )  # fmt: skip

    def _wants(self, version: str, one: Counted, now: float) -> list[Want]:
        flows, shape = one.meter.flows, one.purse.shape
        told: dict[Charge, float] = {}
        for charge in sorted(flows, key=lambda charge: -flows[charge].slow)[:MOST_WANTS]:
            up: Charge | None = charge
            while up is not None and up not in told:
                told[up] = flows[up].per_s() if up in flows else 0.0
                up = shape.above(up)
        # A promise is worth something only to an allocator that hears of it and knows how old it is.
        short = self._short.get(version, set()) if now < self.ends_ms() and not self.leaving else set()
        wants = []
        for charge in {**told, **dict.fromkeys(short, 0.0)}:
            per_s = told.get(charge, flows[charge].per_s() if charge in flows else 0.0)
            keeps = -1.0
            if charge in short:
                own = OWN * per_s / shape.limits[charge.limit].rate_per_s
                keeps = one.purse.promise(charge, own, now + self._terms.promise_ms, now)
            level, back = one.purse.tokens(charge, now)
            wants.append(Want(charge.limit, charge.value, per_s, level, back, keeps))
        return wants

    def hear(self, dealt: Dealt, now: float) -> bool:
        """Take an answer; gives whether it is obeyed."""
        made_ms = self._asked.get(dealt.answers)
        if dealt.born != self.born or made_ms is None or dealt.fence < self.fence:
            return False
        if made_ms + self._terms.slice_ms <= now or made_ms < self.answered_ms:
            return False
        if dealt.lead == self._lead and dealt.number <= self._seen:
            return False
        if dealt.lead != self._lead:
            self._lead, self._gift = dealt.lead, 0
        self.fence, self._seen, self._seen_ms, self.answered_ms = dealt.fence, dealt.number, now, made_ms
        gifts, self._gift = dealt.gift > self._gift, max(dealt.gift, self._gift)
        self._short = {version: {Charge(*c) for c in short} for version, short in dealt.short.items()}
        for version, one in self._counted.items():
            parts = dealt.parts.get(version, [])
            slices = {p.charge: (p.rate, p.depth, p.gift if gifts else 0.0) for p in parts}
            one.purse.apply(slices, self.ends_ms(), now)
            if version in dealt.parts:
                if not one.floor_known:
                    promised = [Charge(*c) for c in dealt.promised.get(version, ())]
                    one.purse.use_floor(promised, now)
                    one.floor_known = True
                # The second ask told of traffic that was counted: now there is something to spend.
                one.purse.trial &= dealt.answers <= one.first
        if dealt.hurry:
            self._due_ms = min(self._due_ms, max(now, self._asked_ms + HURRY_MS))
        return True
