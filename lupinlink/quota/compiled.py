"""The decision: may this request come in? Pure; the tokens are a purse's, and time is handed in."""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.quota.model import BETWEEN, Asked, Charge, Limit, Purse, Short, Verdict
from lupinlink.quota.parts import Step, Ways

MOST_WAYS = 20_000  # combinations of names that are remembered
MOST_RECENT = 4096  # of them as requests spell them
make = tuple.__new__  # a third of the time of calling ``Charge``
ALLOWED = Verdict(True)
OTHER = "\x00"  # every name that no limit tells apart

Names = tuple[str, str, str, bool]
Bill = tuple[Sequence[Charge], Sequence[Charge]]  # what is charged, and what would be in shadow mode


class Way:
    """What requests of the same class, tenant, zone and try have in common."""

    def __init__(self, roots: tuple[Step, ...]) -> None:
        self._roots = roots
        # The way itself where names alone decide it, and what is charged where there are no values either.
        self._steps = [step for root in roots for step in _chain(root)] if all(map(_named, roots)) else None
        valued = any(step.value is not None for step in self._steps or ())
        self.always = None if valued or self._steps is None else self.walk(Asked(""))

    def walk(self, asked: Asked) -> Bill:
        """What a request is charged."""
        charges: list[Charge] = []
        shadows: list[Charge] = []
        value = ""
        for step in self._steps if self._steps is not None else self._find(asked):
            own = step.value
            if own is not None:
                value = value + BETWEEN + own(asked) if step.nested else own(asked)
                charge = make(Charge, (step.limit, value))
            else:
                charge = make(Charge, (step.limit, value)) if step.nested else step.charge
            if step.shadow:
                shadows.append(charge)
            else:
                charges.append(charge)
        return charges, shadows

    def _find(self, asked: Asked) -> list[Step]:
        found = []
        for root in self._roots:
            step: Step | None = root if root.free or root.fits(asked) else None
            while step is not None:
                found.append(step)
                parts = step.parts
                step = parts.pick(asked) if parts is not None else None
        return found


def _chain(step: Step) -> list[Step]:
    """The steps that follow where names alone decide."""
    return [step, *(_chain(step.parts.steps[0]) if step.parts is not None else ())]


def _named(step: Step) -> bool:
    """Whether names alone decide which limits follow from here on."""
    return step.free and (step.parts is None or _named(step.parts.steps[0]))


class Compiled:
    """A policy's limits, ready to decide. Other figures change nothing here, as they are the purse's."""

    def __init__(self, limits: Sequence[Limit], most_retry_after_ms: float) -> None:
        """``most_retry_after_ms``: what the settings allow; 0: no Retry-After at all."""
        self.limits = tuple(limits)
        self._most_retry_after_ms = most_retry_after_ms
        self._ways = Ways(self.limits)
        self._recent: dict[Names, Way] = {}
        self._known: dict[Names, Way] = {}
        # Names that no limit tells apart from the rest are one to it: their number is not ours to bound.
        self._classes = {name for limit in limits for name in limit.match.classes}
        self._tenants = {name for limit in limits for name in limit.match.tenants}
        self._zones = {name for limit in limits for name in limit.match.zones}

    def bill(self, asked: Asked) -> Bill:
        """The limits that a request comes to: those that are charged, and those in shadow mode. Not yours
        to change."""
        names = (asked.class_name, asked.tenant, asked.zone, asked.second_try)
        way = self._recent.get(names)
        if way is None:
            way = self._way(asked)
            if len(self._recent) >= MOST_RECENT:
                self._recent.clear()
            self._recent[names] = way
        return way.always or way.walk(asked)

    def _way(self, asked: Asked) -> Way:
        names = (
            asked.class_name if asked.class_name in self._classes else OTHER,
            asked.tenant if asked.tenant in self._tenants else OTHER,
            asked.zone if asked.zone in self._zones else OTHER,
            asked.second_try,
        )
        way = self._known.get(names)
        if way is None:
            if len(self._known) >= MOST_WAYS:
                self._known.clear()
            way = self._known[names] = Way(self._ways.find(asked))
        return way

    def decide(self, asked: Asked, now_ms: float, purse: Purse) -> Verdict:
        """Let it in and charge every limit that it comes to, or refuse it and charge none."""
        charges, shadows = self.bill(asked)
        if charges:
            short = purse.take(charges, now_ms)
            if short is not None:
                return self.refused(short)
        return self.shadowed(shadows, now_ms, purse) if shadows else ALLOWED

    def refused(self, short: Short) -> Verdict:
        """The refusal by a limit; Retry-After is when its token comes, as far as the settings allow."""
        limit = self.limits[short.limit]
        wait = min(short.retry_after_ms, self._most_retry_after_ms) if limit.says_when else 0.0
        return Verdict(False, limit.path, wait)

    def shadowed(self, shadows: Sequence[Charge], now_ms: float, purse: Purse) -> Verdict:
        """Charge the limits in shadow mode for a request that is let in, whatever they say."""
        short = purse.take(shadows, now_ms)
        return ALLOWED if short is None else Verdict(True, shadowed=self.limits[short.limit].path)


def decide_all(versions: Sequence[tuple[Compiled, Purse]], asked: Asked, now_ms: float) -> Verdict:
    """While several versions are in force each must allow a request, and it is charged by all or none."""
    taken: list[tuple[Purse, Sequence[Charge]]] = []
    bills = [compiled.bill(asked) for compiled, _ in versions]
    for (compiled, purse), (charges, _) in zip(versions, bills, strict=True):
        short = purse.take(charges, now_ms)
        if short is not None:
            for other, before in taken:
                other.refund(before, now_ms)
            return compiled.refused(short)
        taken.append((purse, charges))
    verdict = ALLOWED
    for (compiled, purse), (_, shadows) in zip(versions, bills, strict=True):
        if shadows:
            said = compiled.shadowed(shadows, now_ms, purse)
            verdict = said if said.shadowed else verdict
    return verdict
