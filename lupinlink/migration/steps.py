"""What the next step of a shift is: who comes in, who goes, or what is waited for. Pure; both directions.

A step brings proxies in, waits until they surely serve, has as large a share of the others go, and ends when
the gate has passed with what then comes to the new ones: kept connections stay where they are, so before
somebody has gone the new ones may have nothing to show. Nobody goes while those who surely serve would be
fewer than the least without him, or a pool would pass its capacity.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lupinlink.migration.sight import Sight
from lupinlink.release.gates import Verdict, named


@dataclass(frozen=True, slots=True)
class Move:
    """``add`` and ``drop`` are orders; ``take`` are proxies that need a permit before they may go."""

    add: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()
    take: tuple[str, ...] = ()
    why: str = ""  # what is waited for
    halt: str = ""  # why it goes no further
    done: bool = False  # nobody is left who should go


def next_move(sight: Sight, coming: Sequence[str], going: Sequence[str], gated: bool) -> Move:
    """The next step from ``going`` to ``coming``; ``gated``: new ones soak and the gate must pass first."""
    serving, counted = sight.migration.serving(), set(sight.counted())
    inside = [name for name in coming if name in serving]
    late = sight.stood_ms >= sight.settings.step_ms
    if (missing := [name for name in inside if name not in counted]) and not late:
        return Move(why=f"{named(missing)} to serve")
    left = [name for name in going if name in serving]
    outside = [name for name in coming if name not in serving and sight.well(name)]
    leavers = _leavers(sight, len(counted & set(inside)), coming, going, bool(outside))
    if leavers:
        allowed = [name for name in leavers if name in sight.permitted or not sight.well(name)]
        if allowed:
            take = tuple(name for name in leavers if name not in allowed)
            return Move(drop=tuple(allowed), take=take, why=f"{named(allowed)} to stop")
        return Move(take=tuple(leavers), why=f"permits for {named(leavers)}")
    if gated and inside and (held := _held_up(sight)):
        return held
    if outside:
        # Growing steps: what is wrong with the target is met where it costs least (canarying).
        size = sight.settings.first_step * sight.settings.growth**sight.migration.step
        add = sorted(outside)[: math.ceil(min(size, len(coming)))]
        return Move(add=tuple(add), why=f"{named(add)} to serve")
    if left:
        return _short(sight, counted, left, late and gated)
    return Move(done=True)


def _held_up(sight: Sight) -> Move | None:
    """Whether those who came in last must still show themselves."""
    if sight.migration.accepted >= sight.migration.step or sight.judgment.verdict is Verdict.PASSED:
        return None
    why = f"gate of step {sight.migration.step}: {sight.judgment.why}"
    return Move(halt=why) if sight.judgment.verdict is Verdict.FAILED else Move(why=why)


def _leavers(sight: Sight, inside: int, coming: Sequence[str], going: Sequence[str], more: bool) -> list[str]:
    """Who may go now: while more can come in, no larger share than came in; whoever serves nobody first."""
    serving, counted = sight.migration.serving(), sight.counted()
    left = [name for name in going if name in serving]
    share = inside / len(coming) if more and coming else 1.0
    wanted = math.floor(share * len(going) + 1e-9) - (len(going) - len(left))
    if wanted <= 0 or not inside:
        return []
    ordered = sorted(left, key=lambda name: (sight.serves(name), name))[:wanted]
    while ordered and not sight.fits([name for name in counted if name not in ordered]):
        ordered.pop()
    return ordered


def _short(sight: Sight, counted: set[str], left: Sequence[str], halts: bool) -> Move:
    """Some should go and cannot: those who stay would be too few or too small."""
    stay = len(counted - set(left))
    bounds = f"{sight.least} must, and fill {sight.settings.fill:.0%} of a pool at most"
    why = f"{stay} would serve without {named(left)}: {bounds}"
    return Move(halt=why) if halts else Move(why=why)
