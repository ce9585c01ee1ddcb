"""Where each member of a release stands now, by what is seen of it. Pure; nothing is granted here.

Forward, a member goes ``waiting, permitted, draining, out, back, judged``, or ``failed``. On the way back it
goes through the same states towards the version it had. What a member was permitted names one process
(``nonce``): a later process of that name is the one that came back, never one to send out again.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from lupinlink.release.presence import Population, Seen
from lupinlink.release.records import AWAY, Permit, Placed, Plan, Stand, State


def arrived(plan: Plan, name: str, one: Seen) -> bool:
    """Whether it serves as the release wants it: with its version, and, where that says nothing, anew."""
    placed = plan.members[name]
    if not one.serving:
        return False
    if plan.kind == "servers" and not plan.version and not plan.back:
        return placed.left or bool(one.nonce and one.nonce != placed.nonce)
    if plan.restart and not plan.back:
        return one.nonce != placed.nonce and one.version == placed.old
    return one.version == plan.wants(name)


def follow(
    plan: Plan, population: Population, held: Mapping[str, Permit], quiet: Container[str] = ()
) -> None:
    """Bring every member's state up to what is seen; members that are no longer known leave the plan.

    ``quiet``: servers to which no proxy sends any more.
    """
    for name in [name for name in plan.members if name not in population and name not in held]:
        del plan.members[name]
    for name, placed in plan.members.items():
        one = population.get(name)
        if one is not None:
            _one(plan, name, placed, one, name in quiet)


def _one(plan: Plan, name: str, placed: Placed, one: Seen, quiet: bool) -> None:
    there = arrived(plan, name, one)
    if placed.state is State.PERMITTED:
        if there and one.nonce != placed.nonce:
            _reached(plan, placed)
        elif one.begun == placed.number or plan.kind == "servers":
            _begin(placed)
        elif one.nonce != placed.nonce:
            # It died before it began: what came in its place was not sent out by the plan.
            _move(placed, State.WAITING, "started anew before its turn")
    elif placed.state in (State.WAITING, State.FAILED):
        if one.acts == plan.id and one.begun and (one.nonce, one.begun) != (placed.nonce, placed.number):
            # The plan stands at an older state than the member: the service was restored.
            placed.nonce, placed.number = one.nonce, one.begun
            _begin(placed)
        elif there:
            _reached(plan, placed)
    if placed.state is State.DRAINING:
        if plan.kind == "servers":
            placed.left = placed.left or not one.serving
            if placed.left or quiet:
                _move(placed, State.OUT, "may be stopped and started anew")
        elif not one.heard or one.nonce != placed.nonce:
            _move(placed, State.OUT, "ended, not yet heard again")
        elif one.serving and one.begun != placed.number:
            _move(placed, State.FAILED, "serves again without having ended")
    if placed.state is State.OUT:
        placed.left = placed.left or (plan.kind == "servers" and not one.serving)
        _return(plan, placed, one, there)


def _return(plan: Plan, placed: Placed, one: Seen, there: bool) -> None:
    if there:
        _reached(plan, placed)
        return
    servers = plan.kind == "servers"
    again = placed.left if servers else one.nonce != placed.nonce or one.begun != placed.number
    if one.serving and again:
        if plan.back and one.nonce == placed.nonce and not servers:
            placed.trips = 0  # it was only not heard, and never went
        if plan.back and placed.trips == 0:
            placed.nonce, placed.left = one.nonce, False
            _move(placed, State.WAITING, f"came up with {one.version}")
        else:
            wanted = placed.old if plan.back or plan.restart else plan.version
            _move(placed, State.FAILED, f"came back with {one.version}, {wanted} is wanted")


def _begin(placed: Placed) -> None:
    placed.trips += 1
    _move(placed, State.DRAINING, "")


def _reached(plan: Plan, placed: Placed) -> None:
    _move(placed, State.JUDGED if plan.back else State.BACK, "")


def _move(placed: Placed, state: State, why: str) -> None:
    placed.state, placed.why = state, why


def turn_back(plan: Plan, population: Population) -> None:
    """Send the release back. Who is out comes back as it was; who was never out is done; the others wait for
    their way back. ``trips`` count anew: each direction takes a member out once at most."""
    plan.stand, plan.wave, plan.waves = Stand.RETURNING, 0, 0
    for name, placed in plan.members.items():
        one = population.get(name)
        placed.told, placed.wave = False, -1
        if placed.state in AWAY:
            placed.wave = 0
            placed.trips = 0 if placed.state is not State.PERMITTED else placed.trips
            continue
        untouched = placed.state is State.WAITING and placed.trips == 0
        still_out = placed.state is State.FAILED and one is not None and not one.serving
        placed.trips = 0
        if still_out:
            placed.wave = 0
            _move(placed, State.OUT, "was not back")
            continue
        if one is not None:
            placed.nonce, placed.left = one.nonce, False
        if untouched or (one is not None and arrived(plan, name, one)):
            _move(placed, State.JUDGED, "")
        else:
            _move(placed, State.WAITING, "")
