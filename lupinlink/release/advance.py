"""What a release does next: gives the wave's permits, watches, judges, begins the next wave. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from lupinlink.release.gates import Judgment, Soak, Verdict, named
from lupinlink.release.known import Facts
from lupinlink.release.permits import Grants
from lupinlink.release.presence import Population
from lupinlink.release.records import AWAY, SETTLED, Outs, Permits, Placed, Plan, Stand, State
from lupinlink.release.settings import ReleaseSettings

WATCHED = 16  # servers of either side whose figures the proxies report


@dataclass(slots=True)
class Step:
    """One decision's materials."""

    plan: Plan
    permits: Permits
    facts: Facts
    grants: Grants
    population: Population
    outs: Outs
    turn: int  # of the permits that this decision gives


class Advance:
    """Remembers the soak of the wave that is being judged; a new lead begins that soak anew."""

    def __init__(self, settings: ReleaseSettings) -> None:
        self._settings = settings
        self._soak: Soak | None = None
        self._waits: float | None = None  # since when the gate is waited for

    def rest(self) -> None:
        """Nothing goes on: what was watched so far counts no more."""
        self._soak = self._waits = None

    def forward(self, step: Step) -> str:
        """Why the release must halt; empty: it need not."""
        plan = step.plan
        while True:
            wave = {name: p for name, p in plan.members.items() if p.wave == plan.wave}
            if any(p.state not in SETTLED for p in wave.values()):
                self.rest()
                plan.note = self._permit(step, wave, f"wave {plan.wave + 1} of {plan.waves}")
                return ""
            if any(p.state is State.BACK for p in wave.values()) and plan.accepted != plan.wave:
                judgment = self._judge(step)
                if judgment.verdict is Verdict.FAILED:
                    self.rest()
                    return f"gate after wave {plan.wave + 1}: {judgment.why}"
                if judgment.verdict is Verdict.UNREAD:
                    plan.note = f"wave {plan.wave + 1} of {plan.waves} is back: {judgment.why}"
                    return self._unread(step, judgment)
            self.rest()
            for placed in plan.members.values():
                if placed.state is State.BACK and placed.wave <= plan.wave:
                    placed.state = State.JUDGED
            if plan.wave + 1 >= plan.waves:
                plan.stand, plan.note = Stand.DONE, "nothing"
                step.permits.watched = []
                return ""
            plan.wave += 1

    def _unread(self, step: Step, judgment: Judgment) -> str:
        if self._waits is None:
            self._waits = step.facts.now
        if step.facts.now - self._waits <= self._settings.gates.soak_most_ms:
            return ""
        self.rest()
        return f"gate after wave {step.plan.wave + 1} cannot be read: {judgment.why}"

    def _sides(self, step: Step) -> tuple[list[str], list[str]]:
        """The new against the old; once nothing is old any more, this wave's against those judged before."""
        plan, population, held = step.plan, step.population, step.outs.held
        members = {n: p for n, p in plan.members.items() if n not in held and n in population}
        new = [n for n, p in members.items() if p.state in (State.BACK, State.JUDGED)]
        old = [n for n, p in members.items() if p.state is State.WAITING and population[n].serving]
        if not old:
            old = [n for n in new if members[n].state is State.JUDGED]
            new = [n for n in new if members[n].state is State.BACK]
        if plan.kind == "servers":  # of these only some are reported, the latest first
            new = sorted(new, key=lambda n: (-members[n].wave, n))[:WATCHED]
            old = sorted(old)[:WATCHED]
        return new, old

    def _judge(self, step: Step) -> Judgment:
        if self._soak is None:
            new, old = self._sides(step)
            if step.plan.kind == "servers":
                watched = sorted(new + old)
                if watched != step.permits.watched:
                    step.permits.watched = watched
                    return Judgment(Verdict.UNREAD, "the proxies are asked for figures of the servers")
                if step.facts.turn < step.permits.turn:
                    return Judgment(Verdict.UNREAD, "waits for the proxies' figures of the servers")
            self._soak = Soak(new, old, step.population, step.facts.now)
        gates = self._settings.gates
        return self._soak.judge(gates, step.population, step.facts.now, step.outs.held)

    def _permit(self, step: Step, wave: dict[str, Placed], head: str) -> str:
        """Give this wave's permits as far as the bounds go; what is waited for."""
        reasons: dict[str, list[str]] = {}
        for name, placed in wave.items():
            if placed.state is State.WAITING:
                reason = self._give(step, name, placed)
                placed.why = reason
                if reason:
                    reasons.setdefault(reason, []).append(name)
        away = [name for name, placed in wave.items() if placed.state in AWAY]
        texts = [f"{named(away)} to come back"] if away else []
        texts += [f"{named(names)} to go: {reason}" for reason, names in sorted(reasons.items())]
        return f"{head}: " + "; ".join(texts[:3])

    def _give(self, step: Step, name: str, placed: Placed) -> str:
        """One permit; why not, or empty."""
        one = step.population.get(name)
        if one is None:
            return "not known to the fleet"
        if not one.serving and name not in step.outs.held and not step.plan.back:
            return one.why  # what is not there cannot begin, and is not to be touched
        if name in step.outs.held:
            return f"out already: {step.outs.held[name].why}"
        if not step.facts.settled:
            return "until everybody was heard"
        version = step.plan.wants(name)
        reason = step.grants.give(name, f"release {step.plan.id}", version, step.plan.id)
        if not reason:
            placed.nonce, placed.number = one.nonce, step.turn
            reached = State.PERMITTED
            if step.plan.kind == "proxies" and not one.serving:
                # It is out and may be past hearing: it need not begin, it is to be started as it was.
                placed.trips, reached = placed.trips + 1, State.OUT
            placed.state = reached
        return reason

    def back(self, step: Step) -> None:
        """The way back, in waves as large as the bounds let them be."""
        plan = step.plan
        self.rest()
        waiting = [name for name, p in plan.members.items() if p.state is State.WAITING]
        away = [name for name, p in plan.members.items() if p.state in AWAY]
        if not waiting and not away:
            failed = [name for name, p in plan.members.items() if p.state is State.FAILED]
            plan.stand = Stand.RETURNED
            plan.note = f"nothing; not back: {named(failed)}" if failed else "nothing"
            return
        if not any(plan.members[name].wave == plan.wave for name in waiting + away):
            plan.wave = plan.waves = plan.wave + 1
            most = max(1, step.grants.limits.total.number)
            for name in sorted(waiting, key=lambda n: (step.population[n].serving, len(n), n))[:most]:
                plan.members[name].wave = plan.wave
        wave = {name: p for name, p in plan.members.items() if p.wave == plan.wave}
        plan.note = self._permit(step, wave, f"wave {plan.wave} of the way back")
