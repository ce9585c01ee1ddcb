"""When a release halts by itself, and how a halt that was asked for outlives everything. Pure.

Rules: a halt stands until somebody lifts it **by its number**; a go-on, or an order to go back, that crosses
a newer halt does nothing. What is out when a halt comes goes on to its end and comes back; permits that
nobody began to use are withdrawn; no new ones are given for the release. An operator's own single drain is
not a release: a halt leaves it alone.
"""

from __future__ import annotations

from lupinlink.release.gates import named
from lupinlink.release.known import Facts
from lupinlink.release.permits import without
from lupinlink.release.records import Halt, Order, Outs, Plan, Stand, State
from lupinlink.release.settings import ReleaseSettings

ITSELF = "the release itself"


def lost_most(settings: ReleaseSettings, members: int) -> int:
    """How many may be out without a permit before a release halts."""
    return max(settings.lost_most, int(settings.lost_share * members + 1e-9))


def reason(plan: Plan, facts: Facts, proxies: Outs, servers: Outs, settings: ReleaseSettings) -> str:
    """Why a running release must halt now; empty: nothing speaks against it. The way back is not halted:
    it is what leads out of trouble, and its bounds hold it up while the fleet is hurt."""
    if plan.stand is not Stand.RUNNING:
        return ""
    if facts.deaf_ms > settings.deaf_ms:
        return f"the agreement service was not heard for {facts.deaf_ms / 1000.0:.0f} s"
    failed = {name: placed for name, placed in plan.members.items() if placed.state is State.FAILED}
    new = {name: placed for name, placed in failed.items() if not placed.told}
    if new:
        for placed in new.values():
            placed.told = True
        name, placed = min(new.items())
        return (
            f"{named(new)} failed: {placed.why}"
            if len(new) == 1
            else f"{named(new)} failed, {name}: {placed.why}"
        )
    if not facts.settled:
        return ""
    for kind, population, outs in (
        ("proxies", facts.proxies, proxies),
        ("servers", facts.servers, servers),
    ):
        lost = without(population, outs.held)
        most = lost_most(settings, len(population))
        if len(lost) > most:
            return f"{len(lost)} {kind} out without a permit, {most} may be: {named(lost)}"
    return ""


def halted(halt: Halt, by: str, why: str) -> Halt:
    """The next record of a halt."""
    return Halt(halt.number + 1, True, by, why)


class Memory:
    """What this process saw of halts and of orders to go back: a service that was restored to an older state
    is told of them anew. A go-on is not repeated: of two that contradict each other the halt holds."""

    def __init__(self) -> None:
        self._halt = Halt()
        self._back: Order | None = None
        self._plan = ""  # the release that was last seen

    def saw(self, halt: Halt, order: Order | None) -> None:
        """Take what stands in a view that is newer than all before."""
        if halt.stands or halt.number >= self._halt.number:
            # Numbers go back with a restore; a halt that was asked for after it must not be forgotten.
            number = max(halt.number, self._halt.number)
            self._halt = Halt(number, halt.stands, halt.by, halt.why)
        if order is not None and (self._back is None or order.number >= self._back.number):
            self._back = order if order.back else None

    def missing(self, halt: Halt, order: Order | None) -> tuple[Halt | None, Order | None]:
        """What must be written again over what stands in a view after a restore."""
        lost = self._halt.stands and not halt.stands and halt.number <= self._halt.number
        back = self._back
        forgot = (
            back is not None and order is not None and not order.back and order.number < back.number
            and order.id == back.id
        )  # fmt: skip
        return (
            Halt(self._halt.number + 1, True, self._halt.by, self._halt.why) if lost else None,
            back if forgot else None,
        )
