"""The decision: may this request come in? Pure; the tokens are a purse's, and time is handed in."""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.quota.limit_lookup import LimitLookup, LimitStep
from lupinlink.quota.model import VALUE_SEPARATOR, Charge, Limit, QuotaRequest, Shortfall, TokenStore, Verdict

MAX_PLANS = 20_000  # combinations of names that are remembered
MAX_RECENT_PLANS = 4096  # of them as requests spell them
make = tuple.__new__  # a third of the time of calling ``Charge``
ALLOWED = Verdict(True)
OTHER = "\x00"  # every name that no limit tells apart

Names = tuple[str, str, str, bool]
ChargeLists = tuple[Sequence[Charge], Sequence[Charge]]  # what is charged, and what would be in shadow mode


class MatchPlan:
    """What requests of the same class, tenant, zone and try have in common."""

    def __init__(self, roots: tuple[LimitStep, ...]) -> None:
        self._roots = roots
        # The way itself where names alone decide it, and what is charged where there are no values either.
        self._steps = [step for root in roots for step in _chain(root)] if all(map(_named, roots)) else None
        valued = any(step.value is not None for step in self._steps or ())
        self.always = None if valued or self._steps is None else self.walk(QuotaRequest(""))

    def walk(self, asked: QuotaRequest) -> ChargeLists:
        """What a request is charged."""
        charges: list[Charge] = []
        shadows: list[Charge] = []
        value = ""
        for step in self._steps if self._steps is not None else self._find(asked):
            own = step.value
            if own is not None:
                value = value + VALUE_SEPARATOR + own(asked) if step.nested else own(asked)
                charge = make(Charge, (step.limit, value))
            else:
                charge = make(Charge, (step.limit, value)) if step.nested else step.charge
            if step.shadow:
                shadows.append(charge)
            else:
                charges.append(charge)
        return charges, shadows

    def _find(self, asked: QuotaRequest) -> list[LimitStep]:
        found = []
        for root in self._roots:
            step: LimitStep | None = root if root.free or root.fits(asked) else None
            while step is not None:
                found.append(step)
                parts = step.parts
                step = parts.pick(asked) if parts is not None else None
        return found


def _chain(step: LimitStep) -> list[LimitStep]:
    """The steps that follow where names alone decide."""
    return [step, *(_chain(step.parts.steps[0]) if step.parts is not None else ())]


def _named(step: LimitStep) -> bool:
    """Whether names alone decide which limits follow from here on."""
    return step.free and (step.parts is None or _named(step.parts.steps[0]))


class CompiledPolicy:
    """A policy's limits, ready to decide. Other figures change nothing here, as they are the purse's."""

    def __init__(self, limits: Sequence[Limit], max_retry_after_ms: float) -> None:
        """``most_retry_after_ms``: what the settings allow; 0: no Retry-After at all."""
        self.limits = tuple(limits)
        self._most_retry_after_ms = max_retry_after_ms
        self._ways = LimitLookup(self.limits)
        self._recent: dict[Names, MatchPlan] = {}
        self._known: dict[Names, MatchPlan] = {}
        # Names that no limit tells apart from the rest are one to it: their number is not ours to bound.
        self._classes = {name for limit in limits for name in limit.match.classes}
        self._tenants = {name for limit in limits for name in limit.match.tenants}
        self._zones = {name for limit in limits for name in limit.match.zones}

    def charges_for(self, asked: QuotaRequest) -> ChargeLists:
        """The limits that a request comes to: those that are charged, and those in shadow mode. Not yours
        to change."""
        names = (asked.class_name, asked.tenant, asked.zone, asked.second_try)
        way = self._recent.get(names)
        if way is None:
            way = self._way(asked)
            if len(self._recent) >= MAX_RECENT_PLANS:
                self._recent.clear()
            self._recent[names] = way
        return way.always or way.walk(asked)

    def _way(self, asked: QuotaRequest) -> MatchPlan:
        names = (
            asked.class_name if asked.class_name in self._classes else OTHER,
            asked.tenant if asked.tenant in self._tenants else OTHER,
            asked.zone if asked.zone in self._zones else OTHER,
            asked.second_try,
        )
        way = self._known.get(names)
        if way is None:
            if len(self._known) >= MAX_PLANS:
                self._known.clear()
            way = self._known[names] = MatchPlan(self._ways.find(asked))
        return way

    def decide(self, asked: QuotaRequest, now_ms: float, purse: TokenStore) -> Verdict:
        """Let it in and charge every limit that it comes to, or refuse it and charge none."""
        charges, shadows = self.charges_for(asked)
        if charges:
            short = purse.take(charges, now_ms)
            if short is not None:
                return self.refused(short)
        return self.shadowed(shadows, now_ms, purse) if shadows else ALLOWED

    def refused(self, short: Shortfall) -> Verdict:
        """The refusal by a limit; Retry-After is when its token comes, as far as the settings allow."""
        limit = self.limits[short.limit]
        wait = min(short.retry_after_ms, self._most_retry_after_ms) if limit.sends_retry_after else 0.0
        return Verdict(False, limit.path, wait)

    def shadowed(self, shadows: Sequence[Charge], now_ms: float, purse: TokenStore) -> Verdict:
        """Charge the limits in shadow mode for a request that is let in, whatever they say."""
        short = purse.take(shadows, now_ms)
        return ALLOWED if short is None else Verdict(True, shadowed=self.limits[short.limit].path)


def decide_all_versions(
    versions: Sequence[tuple[CompiledPolicy, TokenStore]], asked: QuotaRequest, now_ms: float
) -> Verdict:
    """While several versions are in force each must allow a request, and it is charged by all or none."""
    taken: list[tuple[TokenStore, Sequence[Charge]]] = []
    bills = [compiled.charges_for(asked) for compiled, _ in versions]
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
