"""Reads the ``rate``, ``burst``, ``guaranteed`` and ``during`` statements of a quota."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lupinlink.quota.errors import PolicyError, StatementError, UnitsError
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Place, RateParameters, ScheduledOverride

UNIT_SECONDS = {"/s": 1.0, "/min": 60.0, "/h": 3600.0}
MAX_RATE_OR_BURST = 1e9  # beyond it, floats no longer represent single tokens precisely enough
KEYWORDS = ("rate", "burst", "guaranteed")


@dataclass(frozen=True, slots=True)
class StatedRates:
    """The values stated in one block; None where there is no statement."""

    rate: float | None = None  # per second
    burst: float | None = None
    guaranteed: float | None = None  # per second
    unit: str = ""  # of its rates


def read_rates(nodes: Iterable[Node], unit: str, findings: list[PolicyError]) -> StatedRates:
    """Read the values of a quota or of a ``during`` block; ``unit``: required of the rates unless empty."""
    values: dict[str, float] = {}
    for node in nodes:
        keyword = str(node.data)
        number, given = float(str(node.children[0])), str(node.children[1]) if node.children[1:] else ""
        place = place_of(node)
        if keyword in values:
            findings.append(StatementError(f"'{keyword}' is stated twice", place))
        elif keyword == "burst" and given:
            findings.append(UnitsError(f"a burst is a number of requests and has no {given}", place))
        elif keyword != "burst" and not given:
            findings.append(UnitsError(f"'{keyword}' needs a unit: /s, /min or /h", place))
        elif keyword != "burst" and unit and given != unit:
            findings.append(UnitsError(f"'{keyword}' is in {given}, an earlier rate in {unit}", place))
        elif not 0.0 < number / UNIT_SECONDS.get(given, 1.0) <= MAX_RATE_OR_BURST or (
            keyword == "burst" and number < 1.0
        ):
            least = "1" if keyword == "burst" else "over 0"
            findings.append(
                StatementError(f"'{keyword}' must be {least}, and at most {MAX_RATE_OR_BURST:g}", place)
            )
        else:
            unit = unit or given
        values.setdefault(keyword, number / UNIT_SECONDS.get(given, 1.0))
    return StatedRates(values.get("rate"), values.get("burst"), values.get("guaranteed"), unit)


def default_parameters(own: StatedRates, parent: RateParameters | None) -> RateParameters | None:
    """The parameters outside all schedules; without a rate of its own, a limit inherits its parent's.

    None if the parent has no rate either. The default burst is the tokens of one second, at least 1 and at
    most the parent's burst.
    """
    guaranteed = own.guaranteed or 0.0
    if own.rate is None:
        return (
            None
            if parent is None
            else RateParameters(parent.rate_per_s, own.burst or parent.burst, guaranteed)
        )
    burst = own.burst or max(1.0, own.rate)
    if own.burst is None and parent is not None:
        burst = min(burst, parent.burst)
    return RateParameters(own.rate, burst, guaranteed)


def overrides(
    own: StatedRates,
    blocks: Sequence[tuple[str, Place, StatedRates]],
    base: RateParameters,
    inherited: Sequence[ScheduledOverride],
) -> tuple[ScheduledOverride, ...]:
    """The parameters of a limit during schedules. ``blocks``: those it states; ``inherited``: its
    parent's, used unless the limit states a rate.

    Values that a block does not state are the default ones; a burst stated nowhere scales with the rate.
    """
    found = []
    for name, _, block in blocks:
        rate = base.rate_per_s if block.rate is None else block.rate
        burst = base.burst
        if block.burst is not None:
            burst = block.burst
        elif own.burst is None and block.rate is not None:
            burst = max(1.0, base.burst * rate / base.rate_per_s)
        guaranteed = base.guaranteed_per_s if block.guaranteed is None else block.guaranteed
        found.append(ScheduledOverride(name, RateParameters(rate, burst, guaranteed)))
    if own.rate is None:
        stated_schedules = {override.schedule for override in found}
        for override in inherited:
            if override.schedule not in stated_schedules:
                burst = own.burst or override.parameters.burst
                parameters = RateParameters(override.parameters.rate_per_s, burst, base.guaranteed_per_s)
                found.append(ScheduledOverride(override.schedule, parameters))
    return tuple(found)
