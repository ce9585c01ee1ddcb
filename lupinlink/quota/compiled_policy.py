"""Decides whether a request is admitted.

Performs no I/O; the caller passes the current time and the store that holds the tokens.
"""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.quota.limit_lookup import LimitLookup, LimitStep
from lupinlink.quota.model import VALUE_SEPARATOR, Charge, Limit, QuotaRequest, Shortfall, TokenStore, Verdict

MAX_PLANS = 20_000  # cached combinations of names
MAX_RECENT_PLANS = 4096  # cached combinations as spelled in requests
new_tuple = tuple.__new__  # takes a third of the time of calling ``Charge``
ALLOWED = Verdict(True)
ANY_OTHER_NAME = "\x00"  # stands for every name that no limit mentions

Names = tuple[str, str, str, bool]
ChargeLists = tuple[Sequence[Charge], Sequence[Charge]]  # of enforced limits, and of those in shadow mode


class MatchPlan:
    """The limits for requests of one combination of class, tenant, zone and retry mark."""

    def __init__(self, roots: tuple[LimitStep, ...]) -> None:
        self._roots = roots
        # The steps where names alone decide them, and the charges where no limit counts by a value either.
        self._steps = (
            [step for root in roots for step in _step_chain(root)]
            if all(map(_decided_by_names, roots))
            else None
        )
        has_values = any(step.value is not None for step in self._steps or ())
        self.fixed_charges = (
            None if has_values or self._steps is None else self.collect_charges(QuotaRequest(""))
        )

    def collect_charges(self, request: QuotaRequest) -> ChargeLists:
        """The charges for a request."""
        charges: list[Charge] = []
        shadows: list[Charge] = []
        value = ""
        for step in self._steps if self._steps is not None else self._find_steps(request):
            value_getter = step.value
            if value_getter is not None:
                value = (
                    value + VALUE_SEPARATOR + value_getter(request) if step.nested else value_getter(request)
                )
                charge = new_tuple(Charge, (step.limit, value))
            else:
                charge = new_tuple(Charge, (step.limit, value)) if step.nested else step.charge
            if step.shadow:
                shadows.append(charge)
            else:
                charges.append(charge)
        return charges, shadows

    def _find_steps(self, request: QuotaRequest) -> list[LimitStep]:
        found = []
        for root in self._roots:
            step: LimitStep | None = root if root.unconditional or root.matches(request) else None
            while step is not None:
                found.append(step)
                children = step.children
                step = children.find_child(request) if children is not None else None
        return found


def _step_chain(step: LimitStep) -> list[LimitStep]:
    """The step and its descendants, where names alone decide them."""
    return [step, *(_step_chain(step.children.steps[0]) if step.children is not None else ())]


def _decided_by_names(step: LimitStep) -> bool:
    """Whether names alone decide which of its descendants apply."""
    return step.unconditional and (step.children is None or _decided_by_names(step.children.steps[0]))


class CompiledPolicy:
    """A policy's limits, prepared for lookup. Rates play no part here: the token store has them."""

    def __init__(self, limits: Sequence[Limit], max_retry_after_ms: float) -> None:
        """``most_retry_after_ms``: the longest that the settings allow; 0: none is sent."""
        self.limits = tuple(limits)
        self._max_retry_after_ms = max_retry_after_ms
        self._lookup = LimitLookup(self.limits)
        self._recent_plans: dict[Names, MatchPlan] = {}
        self._plans: dict[Names, MatchPlan] = {}
        # All names that no limit mentions share one plan, since clients could send any number of them.
        self._classes = {name for limit in limits for name in limit.match.classes}
        self._tenants = {name for limit in limits for name in limit.match.tenants}
        self._zones = {name for limit in limits for name in limit.match.zones}

    def charges_for(self, request: QuotaRequest) -> ChargeLists:
        """The charges of enforced limits and of limits in shadow mode. Callers must not change them."""
        names = (request.class_name, request.tenant, request.zone, request.second_try)
        plan = self._recent_plans.get(names)
        if plan is None:
            plan = self._plan_for(request)
            if len(self._recent_plans) >= MAX_RECENT_PLANS:
                self._recent_plans.clear()
            self._recent_plans[names] = plan
        return plan.fixed_charges or plan.collect_charges(request)

    def _plan_for(self, request: QuotaRequest) -> MatchPlan:
        names = (
            request.class_name if request.class_name in self._classes else ANY_OTHER_NAME,
            request.tenant if request.tenant in self._tenants else ANY_OTHER_NAME,
            request.zone if request.zone in self._zones else ANY_OTHER_NAME,
            request.second_try,
        )
        plan = self._plans.get(names)
        if plan is None:
            if len(self._plans) >= MAX_PLANS:
                self._plans.clear()
            plan = self._plans[names] = MatchPlan(self._lookup.find(request))
        return plan

    def decide(self, request: QuotaRequest, now_ms: float, store: TokenStore) -> Verdict:
        """Admit the request and charge every limit that applies, or refuse it and charge none."""
        charges, shadows = self.charges_for(request)
        if charges:
            shortfall = store.take(charges, now_ms)
            if shortfall is not None:
                return self.refusal(shortfall)
        return self.shadowed(shadows, now_ms, store) if shadows else ALLOWED

    def refusal(self, shortfall: Shortfall) -> Verdict:
        """A refusal; Retry-After is the wait for the token, as far as the settings allow."""
        limit = self.limits[shortfall.limit]
        wait = min(shortfall.retry_after_ms, self._max_retry_after_ms) if limit.sends_retry_after else 0.0
        return Verdict(False, limit.path, wait)

    def shadowed(self, shadows: Sequence[Charge], now_ms: float, store: TokenStore) -> Verdict:
        """Charge the limits in shadow mode for an admitted request, whatever they answer."""
        shortfall = store.take(shadows, now_ms)
        return ALLOWED if shortfall is None else Verdict(True, shadowed=self.limits[shortfall.limit].path)


def decide_all_versions(
    versions: Sequence[tuple[CompiledPolicy, TokenStore]], request: QuotaRequest, now_ms: float
) -> Verdict:
    """Admit a request only if every version in force does; it is charged by all of them or by none."""
    charged: list[tuple[TokenStore, Sequence[Charge]]] = []
    charge_lists = [compiled.charges_for(request) for compiled, _ in versions]
    for (compiled, store), (charges, _) in zip(versions, charge_lists, strict=True):
        shortfall = store.take(charges, now_ms)
        if shortfall is not None:
            for other, before in charged:
                other.refund(before, now_ms)
            return compiled.refusal(shortfall)
        charged.append((store, charges))
    verdict = ALLOWED
    for (compiled, store), (_, shadows) in zip(versions, charge_lists, strict=True):
        if shadows:
            shadow_verdict = compiled.shadowed(shadows, now_ms, store)
            verdict = shadow_verdict if shadow_verdict.shadowed else verdict
    return verdict
