"""What an operator reads at the door: what is out, what is waited for and why, what may be done. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from lupinlink.release.gates import named
from lupinlink.release.known import Known
from lupinlink.release.orders import under_way
from lupinlink.release.records import Outs, Plan, Stand, State

UNHEARD_S = 6.0  # a silence of the service that an operator must know of; reports are answered sooner
ROWS = 40  # of members in one table; the rest are counted
HEAD = "{:<16} {:<10} {:>4}  {:<9} {:<9} {}"


def _plural(number: int, word: str) -> str:
    return f"{number} {word}" + ("" if number == 1 else "s")


def _what(plan: Plan) -> str:
    if plan.kind == "servers":
        return f"servers to {plan.version or 'a new start'}"
    return "proxies started anew" if plan.restart else f"proxies to {plan.version}"


def _members(plan: Plan) -> list[str]:
    """Those that are not at rest first: they are what somebody looks for at night."""
    moving = (State.FAILED, State.OUT, State.DRAINING, State.PERMITTED, State.BACK)
    rank = {state: number for number, state in enumerate(moving)}
    names = sorted(
        plan.members, key=lambda n: (rank.get(plan.members[n].state, len(moving)), plan.members[n].wave, n)
    )
    lines = [HEAD.format("member", "state", "wave", "from", "to", "why").rstrip()]
    for name in names[:ROWS]:
        placed = plan.members[name]
        had = plan.version if plan.back else placed.old
        lines.append(
            HEAD.format(
                name, placed.state.value, max(placed.wave, 0) + 1, had or "-", plan.wants(name) or "-",
                placed.why,
            ).rstrip()
        )  # fmt: skip
    if len(names) > ROWS:
        counts = Counter(plan.members[name].state.value for name in names[ROWS:])
        lines.append("and " + ", ".join(f"{number} {state}" for state, number in sorted(counts.items())))
    return lines


def outs(kind: str, told: Outs) -> list[str]:
    """Who is out among the proxies, or the servers."""
    away = len(told.held) + len(told.without)
    lines = [
        f"{kind}: {away} of {told.members} out, {told.allowed} may be ({told.bound or 'no lead has told'})"
    ]
    for name, permit in sorted(told.held.items()):
        lines.append(f"  {name:<14} by permit {permit.number}: {permit.why}")
    for name, why in sorted(told.without.items())[:ROWS]:
        lines.append(f"  {name:<14} without a permit: {why}")
    for name, why in sorted(told.waiting.items())[:ROWS]:
        lines.append(f"  {name:<14} waits to go: {why}")
    return lines


def choices(known: Known) -> list[str]:
    """What may be done next."""
    found = []
    plan, halt = known.plan, known.halt
    going = under_way(known)
    if halt.stands:
        found.append("go on:  PUT /control/release/go-on (?accept=1: this wave without its gate)")
    else:
        found.append("halt:   PUT /control/release/halt?why=...")
    if plan is not None and not plan.back:
        found.append("back:   PUT /control/release/back")
    if not going and not halt.stands:
        found.append("start:  PUT /control/release/start?version=...")
    gone = sorted(n for n, why in known.permits.proxies.without.items() if why.startswith("silent"))
    if gone:
        found.append(f"if gone for good: PUT /control/permit/forget?name={gone[0]}")
    return found


def state(known: Known, silent_s: float, orders: Sequence[str], lead: str) -> str:
    """The whole of it. ``silent_s``: so long nothing was heard of the service."""
    plan, halt = known.plan, known.halt
    lines: list[str] = []
    if silent_s > UNHEARD_S:
        lines.append(f"the agreement service was not heard for {silent_s:.0f} s; what follows is as old")
    if plan is None:
        lines.append("release: none")
    else:
        counts = Counter(placed.state.value for placed in plan.members.values())
        summed = ", ".join(f"{counts[s.value]} {s.value}" for s in State if counts[s.value])
        lines.append(f"release {plan.id}: {_what(plan)}, {plan.stand.value}; {summed or 'no members'}")
    if known.order is not None and under_way(known) == known.order.id and (plan is None or plan.ended):
        lines.append(f"release {known.order.id} was asked for; it begins once everybody was heard")
    if halt.stands:
        lines.append(f"HALTED (halt {halt.number}, by {halt.by}): {halt.why}")
    if plan is not None and not plan.ended:
        lines.append(f"waits for: {plan.note or 'its first step'}")
    elif plan is not None and plan.stand is Stand.RETURNED and plan.note != "nothing":
        lines.append(plan.note)
    lines.append(
        f"lead: {known.permits.lead or 'none yet'}"
        + (" (this proxy)" if lead and lead == known.permits.lead else "")
    )
    lines.append("")
    lines += outs("proxies", known.permits.proxies) + outs("servers", known.permits.servers)
    if plan is not None and not plan.ended:
        lines += ["", *_members(plan)]
    elif plan is not None and any(p.state is State.FAILED for p in plan.members.values()):
        lines.append(f"failed: {named(n for n, p in plan.members.items() if p.state is State.FAILED)}")
    lines += ["", "may be done next:", *("  " + one for one in choices(known))]
    if orders:
        lines += ["", "orders at this door:", *("  " + one for one in orders)]
    return "\n".join(lines) + "\n"


def permits(known: Known, orders: Iterable[str]) -> str:
    """Who is out only."""
    lines = outs("proxies", known.permits.proxies) + outs("servers", known.permits.servers)
    return "\n".join([*lines, *orders]) + "\n"
