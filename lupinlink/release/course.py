"""One decision of the lead: from what is known and seen to the records to write. Pure.

All that a decision writes goes into one commit: guarded on the lead's lease, on the halt and the order as
they were read, and on every record's own revision. So a bound is checked on the very state that is changed,
and of two leads, or of a grant and a halt that cross, the service lets one through.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec import Struct

from lupinlink.coordination.contract import ABSENT
from lupinlink.release.advance import Advance, Step
from lupinlink.release.follow import follow, turn_back
from lupinlink.release.halts import ITSELF, halted, reason
from lupinlink.release.known import Facts, Known
from lupinlink.release.permits import Grants, bound, without
from lupinlink.release.records import (
    AWAY,
    HALT,
    MEMBERS,
    ORDER,
    PERMITS,
    PLAN,
    Outs,
    Permits,
    Plan,
    State,
    encoded,
)
from lupinlink.release.returns import Returns
from lupinlink.release.roll import joined, made, of_release
from lupinlink.release.settings import ReleaseSettings


@dataclass(slots=True)
class Decision:
    """Records to write, each at the revision it was read at, and what must stand unchanged."""

    puts: dict[str, Struct] = field(default_factory=dict)
    guards: dict[str, int] = field(default_factory=dict)  # key to revision
    urgent: bool = False  # else only texts have changed, which may wait

    def encoded(self) -> dict[str, bytes]:
        """The records' bytes, by key."""
        return {key: encoded(record) for key, record in self.puts.items()}


class Course:
    """One term of one lead. What it remembers is only for how long things have lasted: a new lead counts
    those times anew, which makes them longer, never shorter."""

    def __init__(self, settings: ReleaseSettings, name: str, fence: int) -> None:
        self._settings, self._name, self._fence = settings, name, fence
        self._advance = Advance(settings)
        self._since: dict[str, tuple[bool, float]] = {}  # permitted or further, and from when on

    def step(self, known: Known, facts: Facts) -> Decision:
        """``known`` is changed and belongs to the decision."""
        permits, plan, halt, order = known.permits, known.plan, known.halt, known.order
        before_permits, before_plan = encoded(permits), encoded(plan) if plan is not None else b""
        texts = _without_texts(permits, plan)
        if permits.fence > self._fence or (plan is not None and plan.fence > self._fence):
            return Decision()  # another leads by now
        turn = max(permits.turn, facts.turn_most) + 1
        plan = made(plan, order, halt, facts, self._settings, self._name)
        decision = Decision()
        if plan is not None:
            population = of_release(plan, facts)
            joined(plan, order, population)
            if order is not None and order.back and order.number >= plan.number and not plan.back:
                turn_back(plan, population)
                self._since.clear()
            follow(plan, population, _outs(permits, plan).held, facts.quiet)
            self._times(plan, facts.now)
        self._ends(permits, plan, facts, halt.stands, decision)
        why = ""
        if plan is not None and not plan.ended and not halt.stands:
            why = reason(plan, facts, permits.proxies, permits.servers, self._settings)
        why = self._grants(permits, plan, facts, turn, halt.stands or bool(why)) or why
        if plan is not None:
            self._heed(plan, known)
            if why:
                decision.puts[HALT] = halt = halted(halt, ITSELF, why)
            if halt.stands and not plan.ended:
                plan.note = f"halted by {halt.by}: {halt.why}"
        self._told(permits, facts)
        permits.fence, permits.lead = self._fence, self._name
        decision.urgent = bool(decision.puts) or _without_texts(permits, plan) != texts
        permits.turn = turn if decision.urgent else permits.turn
        if encoded(permits) != before_permits:
            decision.puts[PERMITS] = permits
        if plan is not None:
            plan.fence = self._fence
            if encoded(plan) != before_plan:
                decision.puts[PLAN] = plan
        for key in (HALT, ORDER, PERMITS, PLAN):
            if key not in decision.puts:
                decision.guards[key] = known.revision(key)
        return decision

    def _times(self, plan: Plan, now: float) -> None:
        """Members that took too long: a permit not begun is late, one that was begun has failed."""
        for name, placed in plan.members.items():
            if placed.state not in AWAY:
                self._since.pop(name, None)
                continue
            begun = placed.state is not State.PERMITTED
            if name not in self._since or self._since[name][0] != begun:
                self._since[name] = (begun, now)
            elif begun and now - self._since[name][1] > self._settings.back_ms:
                placed.state = State.FAILED
                placed.why = f"not back {self._settings.back_ms / 1000.0:g} s after it began"

    def _ends(
        self, permits: Permits, plan: Plan | None, facts: Facts, stands: bool, decision: Decision
    ) -> None:
        def late(name: str) -> bool:
            begun, since = self._since.get(name, (True, facts.now))
            return not begun and facts.now - since > self._settings.permit_ms

        of_proxies = plan if plan is not None and plan.kind == "proxies" else None
        returns = Returns(of_proxies, permits.proxies, facts.proxies)
        returns.proxies(late, stands)
        returns.adopt()
        of_servers = plan if of_proxies is None else None
        Returns(of_servers, permits.servers, facts.servers).servers(facts.wanted)
        for name in returns.guards:
            decision.guards[MEMBERS + name] = facts.revisions.get(name, ABSENT)

    def _grants(self, permits: Permits, plan: Plan | None, facts: Facts, turn: int, stands: bool) -> str:
        """Give what the bounds let through, operators' own asking first; why the release must halt."""
        limits = bound(self._settings.proxies, facts.proxies, facts.proxies_need)
        proxies = Grants(limits, facts.proxies, permits.proxies, turn)
        limits = bound(self._settings.servers, facts.servers, facts.servers_need)
        servers = Grants(limits, facts.servers, permits.servers, turn)
        asked = {name: one.ask for name, one in facts.proxies.items() if one.ask and one.heard}
        _ask(proxies, permits.proxies, asked, facts.settled)
        _ask(servers, permits.servers, facts.wanted, facts.settled)
        for grants, outs in ((proxies, permits.proxies), (servers, permits.servers)):
            outs.allowed, outs.bound = grants.limits.total.number, grants.limits.total.why
        if plan is None or plan.ended:
            return ""
        if stands:
            self._advance.rest()
            return ""
        grants = proxies if plan.kind == "proxies" else servers
        population = of_release(plan, facts)
        step = Step(plan, permits, facts, grants, population, _outs(permits, plan), turn)
        if plan.back:
            self._advance.back(step)
            return ""
        return self._advance.forward(step)

    def _heed(self, plan: Plan, known: Known) -> None:
        """A go-on that accepts the wave without its gate counts once."""
        halt = known.halt
        if not halt.stands and halt.number > plan.heeded:
            plan.heeded = halt.number
            if halt.accept:
                plan.accepted = plan.wave

    def _told(self, permits: Permits, facts: Facts) -> None:
        for outs, population in ((permits.proxies, facts.proxies), (permits.servers, facts.servers)):
            outs.without = without(population, outs.held)
            outs.members = len(population)


def _ask(grants: Grants, outs: Outs, asked: Mapping[str, str], settled: bool) -> None:
    """Requests of operators and of other parts, those that wait longest first."""
    waiting = {name: why for name, why in outs.waiting.items() if name in asked}
    outs.waiting = {}
    for name in [*waiting, *sorted(set(asked) - set(waiting))]:
        if name in outs.held and not outs.held[name].plan:
            continue
        reason = grants.give(name, asked[name], asked=True) if settled else "until everybody was heard"
        if reason:
            outs.waiting[name] = reason


def _outs(permits: Permits, plan: Plan) -> Outs:
    return permits.proxies if plan.kind == "proxies" else permits.servers


def _without_texts(permits: Permits, plan: Plan | None) -> bytes:
    """What must not wait: everything but words."""
    told = [
        (sorted(outs.held), [p.version for _, p in sorted(outs.held.items())], sorted(outs.without),
         sorted(outs.waiting), outs.allowed, outs.members)
        for outs in (permits.proxies, permits.servers)
    ]  # fmt: skip
    placed = []
    if plan is not None:
        placed = [(name, p.state.value, p.wave, p.trips) for name, p in sorted(plan.members.items())]
    head: tuple[object, ...] = (permits.fence, permits.lead)
    if plan is not None:
        head += (plan.id, plan.number, plan.stand.value, plan.wave, plan.heeded)
    return repr((told, permits.watched, head, placed)).encode()
