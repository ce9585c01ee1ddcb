"""Which permits end: given back, taken back before their use, or taken up again after a restore. Pure.

A permit that may be in use is never withdrawn. A member begins by one commit that is guarded on the permits'
revision; a withdrawal is one that is guarded on the member's report as not begun. Of two that cross, the
service lets one through.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lupinlink.release.presence import Population, Seen
from lupinlink.release.records import AWAY, Outs, Permit, Plan, State

WITHDRAWN_AT_ONCE = 8  # reports change with each heartbeat: a commit guarded on many would seldom fit


class Returns:
    """The permits' ends of one decision; ``guards`` are the members that must not have begun."""

    def __init__(self, plan: Plan | None, outs: Outs, population: Population) -> None:
        self._plan, self._outs, self._population = plan, outs, population
        self.guards: list[str] = []

    def _placed(self, name: str, permit: Permit) -> bool:
        plan = self._plan
        return plan is not None and plan.run_for(permit) and plan.away(name)

    def proxies(self, late: Callable[[str], bool], halted: bool) -> None:
        """``late``: whether a member has had its permit for too long without beginning."""
        for name, permit in list(self._outs.held.items()):
            one = self._population.get(name)
            self._version(name, permit)
            if one is None:
                del self._outs.held[name]  # forgotten by an operator
            elif self._placed(name, permit):
                self._of_plan(name, permit, one, late(name), halted)
            elif not permit.plan and not permit.asked:
                continue  # another part's
            elif one.nonce != permit.nonce:
                if one.serving or permit.plan:
                    del self._outs.held[name]
            elif one.begun == permit.number:
                if one.serving and not one.ask:
                    del self._outs.held[name]
            elif permit.plan or not one.ask:
                self._withdraw(name)

    def _version(self, name: str, permit: Permit) -> None:
        """What is to be started in place of one that is out: after an order to go back, another version."""
        plan = self._plan
        placed = plan.members.get(name) if plan is not None and plan.run_for(permit) else None
        if plan is not None and placed is not None and placed.state is not State.PERMITTED:
            permit.version = plan.wants(name)

    def _of_plan(self, name: str, permit: Permit, one: Seen, late: bool, halted: bool) -> None:
        assert self._plan is not None
        placed = self._plan.members[name]
        if placed.state is not State.PERMITTED:
            return
        if (
            (halted or late or permit.version != self._plan.wants(name))
            and one.nonce == permit.nonce
            and self._withdraw(name)
        ):
            placed.state = State.WAITING
            placed.why = "halted" if halted else "did not begin in time" if late else ""

    def _withdraw(self, name: str) -> bool:
        if len(self.guards) >= WITHDRAWN_AT_ONCE:
            return False
        self.guards.append(name)
        del self._outs.held[name]
        return True

    def servers(self, wanted: Mapping[str, str]) -> None:
        """Servers begin nothing themselves: a permit that is no longer wanted ends at once."""
        for name, permit in list(self._outs.held.items()):
            unwanted = name not in self._population or permit.plan or (permit.asked and name not in wanted)
            if unwanted and not self._placed(name, permit):
                del self._outs.held[name]

    def adopt(self) -> None:
        """Members that are out for the plan, as they say themselves, hold a permit; after a restore to an
        older state the record may lack it. It costs nothing: they are out."""
        plan = self._plan
        if plan is None:
            return
        for name, placed in plan.members.items():
            one = self._population.get(name)
            if placed.state in AWAY and name not in self._outs.held and one is not None:
                why = f"release {plan.id}"
                number = placed.number
                self._outs.held[name] = Permit(number, one.zone, placed.nonce, why, plan.wants(name), plan.id)
