"""What a quota's figures say: rates, bursts and guaranteed parts, in which units, and in which seasons."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lupinlink.quota.errors import PolicyError, StatementError, UnitsError
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Place, RateParameters, ScheduledOverride

SECONDS = {"/s": 1.0, "/min": 60.0, "/h": 3600.0}
MAX_AMOUNT = (
    1e9  # a second, and of a burst: beyond it the floats of a bucket no longer tell single tokens well
)
WORDS = ("rate", "burst", "guaranteed")


@dataclass(frozen=True, slots=True)
class Stated:
    """What one block says; None: nothing."""

    rate: float | None = None  # a second
    burst: float | None = None
    guaranteed: float | None = None  # a second
    unit: str = ""  # of its rates


def stated(nodes: Iterable[Node], unit: str, findings: list[PolicyError]) -> Stated:
    """Read the figures of a quota, or of one of its seasons; ``unit``: which its rates must have, if any."""
    values: dict[str, float] = {}
    for node in nodes:
        word = str(node.data)
        number, given = float(str(node.children[0])), str(node.children[1]) if node.children[1:] else ""
        place = place_of(node)
        if word in values:
            findings.append(StatementError(f"'{word}' stands here a second time", place))
        elif word == "burst" and given:
            findings.append(UnitsError(f"a burst is a number of requests and has no {given}", place))
        elif word != "burst" and not given:
            findings.append(UnitsError(f"'{word}' needs a unit: /s, /min or /h", place))
        elif word != "burst" and unit and given != unit:
            findings.append(UnitsError(f"'{word}' is given in {given}, before it stands {unit}", place))
        elif not 0.0 < number / SECONDS.get(given, 1.0) <= MAX_AMOUNT or (word == "burst" and number < 1.0):
            least = "1" if word == "burst" else "over 0"
            findings.append(StatementError(f"'{word}' must be {least}, and at most {MAX_AMOUNT:g}", place))
        else:
            unit = unit or given
        values.setdefault(word, number / SECONDS.get(given, 1.0))
    return Stated(values.get("rate"), values.get("burst"), values.get("guaranteed"), unit)


def default_parameters(said: Stated, outer: RateParameters | None) -> RateParameters | None:
    """The figures outside all seasons; a part that states no rate has that of the limit round it.

    None: there is neither. A burst that is not stated is what the rate gives in a second, at least 1, and not
    more than the limit round it has.
    """
    guaranteed = said.guaranteed or 0.0
    if said.rate is None:
        return (
            None if outer is None else RateParameters(outer.rate_per_s, said.burst or outer.burst, guaranteed)
        )
    burst = said.burst or max(1.0, said.rate)
    if said.burst is None and outer is not None:
        burst = min(burst, outer.burst)
    return RateParameters(said.rate, burst, guaranteed)


def overrides(
    said: Stated,
    blocks: Sequence[tuple[str, Place, Stated]],
    base: RateParameters,
    outer: Sequence[ScheduledOverride],
) -> tuple[ScheduledOverride, ...]:
    """The seasons of a limit. ``blocks``: those it states; ``outer``: those of the limit round it, which it
    has as well while it states no rate of its own.

    What a season does not state is as usual; a burst grows with the rate where neither states it.
    """
    found = []
    for name, _, block in blocks:
        rate = base.rate_per_s if block.rate is None else block.rate
        burst = base.burst
        if block.burst is not None:
            burst = block.burst
        elif said.burst is None and block.rate is not None:
            burst = max(1.0, base.burst * rate / base.rate_per_s)
        guaranteed = base.guaranteed_per_s if block.guaranteed is None else block.guaranteed
        found.append(ScheduledOverride(name, RateParameters(rate, burst, guaranteed)))
    if said.rate is None:
        own = {season.schedule for season in found}
        for season in outer:
            if season.schedule not in own:
                burst = said.burst or season.parameters.burst
                parameters = RateParameters(season.parameters.rate_per_s, burst, base.guaranteed_per_s)
                found.append(ScheduledOverride(season.schedule, parameters))
    return tuple(found)
