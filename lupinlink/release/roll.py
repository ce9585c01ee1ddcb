"""Who takes part in a release: its plan made from an order, and who joins while it runs. Pure."""

from __future__ import annotations

from lupinlink.release.known import Facts
from lupinlink.release.presence import Population, Seen
from lupinlink.release.records import Halt, Order, Placed, Plan, State
from lupinlink.release.settings import ReleaseSettings
from lupinlink.release.waves import dealt


def of_release(plan: Plan, facts: Facts) -> Population:
    """Everybody of the release's kind."""
    return facts.proxies if plan.kind == "proxies" else facts.servers


def _chosen(order: Order, one: Seen) -> bool:
    return order.pool in ("", one.pool) and order.zone in ("", one.zone)


def _there(order: Order, one: Seen) -> bool:
    """Whether a member has from the start what the release is to bring."""
    return bool(order.version) and not order.restart and one.version == order.version


def made(
    plan: Plan | None, order: Order | None, halt: Halt, facts: Facts, settings: ReleaseSettings, lead: str
) -> Plan | None:
    """The release that is to be carried on: the one there is, or a new one for a newer order.

    An order is heeded once the one before it has ended. Nothing is made before everybody was heard: who is
    missing would be dealt no wave.
    """
    if order is None or order.back or (plan is not None and (order.number <= plan.number or not plan.ended)):
        return plan
    if not facts.settled:
        return plan
    population = facts.proxies if order.kind == "proxies" else facts.servers
    chosen = {name: one for name, one in population.items() if _chosen(order, one)}
    zones = {name: one.zone for name, one in chosen.items() if not _there(order, one)}
    waves = dealt(zones, settings.wave_growth, settings.wave_most, lead)
    return Plan(
        order.id, order.number, order.version, order.kind, order.restart,
        waves=max(waves.values(), default=-1) + 1, heeded=halt.number,
        members={
            name: Placed(
                State.WAITING if name in waves else State.JUDGED, waves.get(name, 0), one.version, one.nonce
            )
            for name, one in chosen.items()
        },
    )  # fmt: skip


def joined(plan: Plan, order: Order | None, population: Population) -> None:
    """Take up members that came after the release began; a last wave of their own is made for them."""
    if plan.ended or plan.back or order is None or order.number != plan.number:
        return
    new = {name: one for name, one in population.items() if name not in plan.members and _chosen(order, one)}
    late = [name for name, one in new.items() if not _there(order, one) and one.serving]
    for name, one in new.items():
        if name in late and (plan.kind == "proxies" or plan.version):
            plan.members[name] = Placed(State.WAITING, plan.waves, one.version, one.nonce)
        elif one.serving:
            plan.members[name] = Placed(State.JUDGED, plan.wave, one.version, one.nonce)
    if any(placed.wave == plan.waves for placed in plan.members.values()):
        plan.waves += 1
