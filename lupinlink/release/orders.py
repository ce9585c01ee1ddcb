"""What operators may order, and the rules when orders meet. Pure: from what is known to steps to commit.

- One release at a time: a start while another is under way, or is still to be taken up, is refused.
- A halt beats everything: it needs no condition, and stays until it is lifted by its number.
- A go-on, and an order to go back, lift the halt that they were given for; one that crosses a newer halt does
  nothing.
- Back beats forward: a release that was sent back is never sent on; the next release is started anew.
- An operator's single drain goes before a release at the bound, and keeps the release away from that member.

Each of these holds whatever process was asked, since each is one compare-and-set on the records it was
judged by.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lupinlink.coordination.contract import CheckRevision, Delete, Put, Step
from lupinlink.release.errors import (
    HaltedError,
    NoReleaseError,
    OvertakenError,
    UnderWayError,
    UnknownNameError,
)
from lupinlink.release.halts import Memory, halted
from lupinlink.release.known import Known
from lupinlink.release.records import (
    HALT,
    MEMBERS,
    ORDER,
    PLAN,
    WANTED,
    Halt,
    Order,
    Report,
    Wanted,
    encoded,
)


def under_way(known: Known) -> str:
    """The release that has not ended, or is still to be taken up; empty: none."""
    plan, order = known.plan, known.order
    if plan is not None and not plan.ended:
        return plan.id
    taken = plan.number if plan is not None else 0
    if order is not None and not order.back and order.number > taken:
        return order.id
    return ""


def start(known: Known, wished: Order) -> Sequence[Step]:
    """Start a release. Fails: UnderWayError, HaltedError."""
    going = under_way(known)
    if going:
        raise UnderWayError(f"release {going} has not ended")
    if known.halt.stands:
        raise HaltedError(f"halt {known.halt.number} by {known.halt.by} stands: {known.halt.why}")
    last = max(known.order.number if known.order else 0, known.plan.number if known.plan else 0)
    order = Order(
        last + 1, wished.id or f"r{last + 1}", wished.version, wished.kind, wished.restart,
        pool=wished.pool, zone=wished.zone, by=wished.by,
    )  # fmt: skip
    return [
        Put(ORDER, encoded(order), known.revision(ORDER)),
        CheckRevision(PLAN, known.revision(PLAN)),
        CheckRevision(HALT, known.revision(HALT)),
    ]


def halt(known: Known, by: str, why: str) -> Sequence[Step]:
    """Halt releases, present and to come. Never refused; a halt that stands already is left as it is."""
    if known.halt.stands:
        return []
    return [Put(HALT, encoded(halted(known.halt, by, why)), known.revision(HALT))]


def _lift(known: Known, number: int, by: str, why: str, accept: bool = False) -> Step:
    if known.halt.number != number:
        raise OvertakenError(
            f"halt {known.halt.number} by {known.halt.by} came after the one that was to be lifted "
            f"({known.halt.why})"
        )
    lifted = Halt(known.halt.number + 1, False, by, why, accept)
    return Put(HALT, encoded(lifted), known.revision(HALT))


def go_on(known: Known, number: int, by: str, accept: bool = False) -> Sequence[Step]:
    """Lift the halt of that number; ``accept``: the present wave needs no gate. Fails: NoReleaseError when
    none stands, OvertakenError when it is another."""
    if not known.halt.stands:
        raise NoReleaseError("no halt stands")
    return [_lift(known, number, by, "go on", accept)]


def back(known: Known, number: int, by: str) -> Sequence[Step]:
    """Send the release back, and lift the halt of that number if one stands. Fails: NoReleaseError,
    OvertakenError."""
    plan, order = known.plan, known.order
    if (order is None or order.back) and (plan is None or plan.back):
        raise NoReleaseError("there is no release to send back, or it is on its way back")
    if plan is not None and (order is None or order.number <= plan.number):
        sent = Order(plan.number + 1, plan.id, plan.version, plan.kind, plan.restart, True, by=by)
    else:
        assert order is not None  # it is to be taken up yet: then nothing is
        sent = Order(
            order.number + 1, order.id, order.version, order.kind, order.restart, True,
            order.pool, order.zone, by,
        )  # fmt: skip
    if order is not None and not sent.pool and order.id == sent.id:
        sent.pool, sent.zone = order.pool, order.zone
    steps: list[Step] = [
        Put(ORDER, encoded(sent), known.revision(ORDER)),
        CheckRevision(PLAN, known.revision(PLAN)),
    ]
    if known.halt.stands:
        steps.append(_lift(known, number, by, "back"))
    else:
        steps.append(CheckRevision(HALT, known.revision(HALT)))
    return steps


def server_out(known: Known, name: str, why: str) -> Sequence[Step]:
    """An operator wants an application server out. Asking again changes nothing."""
    if name in known.wanted.servers:
        return []
    servers = {**known.wanted.servers, name: why}
    wanted = Wanted(known.wanted.number + 1, servers)
    return [Put(WANTED, encoded(wanted), known.revision(WANTED))]


def server_in(known: Known, name: str) -> Sequence[Step]:
    """It is wanted out no longer. Fails: UnknownNameError when it was not."""
    if name not in known.wanted.servers:
        raise UnknownNameError(f"no operator has {name} out")
    servers = {other: why for other, why in known.wanted.servers.items() if other != name}
    wanted = Wanted(known.wanted.number + 1, servers)
    return [Put(WANTED, encoded(wanted), known.revision(WANTED))]


def forget(reports: Mapping[str, tuple[int, Report]], name: str) -> Sequence[Step]:
    """A proxy that is gone for good counts no more; one that lives reports again and is known again.

    Fails: UnknownNameError.
    """
    if name not in reports:
        raise UnknownNameError(f"no proxy {name} has reported")
    return [Delete(MEMBERS + name, reports[name][0])]


def again(known: Known, memory: Memory) -> Sequence[Step]:
    """What a service that was restored has forgotten of halts and ways back, as far as it still lacks it."""
    halt, order = memory.missing(known.halt, known.order)
    steps: list[Step] = []
    if halt is not None:
        steps.append(Put(HALT, encoded(halt), known.revision(HALT)))
    if order is not None:
        steps.append(Put(ORDER, encoded(order), known.revision(ORDER)))
    return steps
