"""From a ``quota`` of the tree to a limit and those inside it."""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError, UnknownNameError
from lupinlink.quota.language import figures
from lupinlink.quota.language.matching import Counted, counted, matched
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Figures, Limit, Place

MOST_DEPTH = 8  # quotas in one another
MOST_LIMITS = 500  # in a file
MOST_WORTH = 1e6


@dataclass(slots=True)
class Reading:
    """What was read so far."""

    schedules: frozenset[str]
    limits: dict[str, Limit] = field(default_factory=dict)  # by path, in the order of the file
    findings: list[PolicyError] = field(default_factory=list)


def read_quota(node: Node, outer: Limit | None, around: Counted, depth: int, reading: Reading) -> None:
    """Add a limit and all inside it; what is wrong becomes a finding, and the rest is read on."""
    name = str(node.children[0])
    path = f"{outer.path}/{name}" if outer else name
    place, findings = place_of(node), reading.findings
    if path in reading.limits or depth > MOST_DEPTH or len(reading.limits) >= MOST_LIMITS:
        what = f"there is a quota {path} already"
        if path not in reading.limits:
            what = f"quotas stand at most {MOST_DEPTH} deep in one another, and {MOST_LIMITS} in a file"
        findings.append(StatementError(what, place))
        return
    nodes = [child for child in node.children[1:] if not isinstance(child, Token)]
    of: dict[str, list[Node]] = {}
    for child in nodes:
        of.setdefault(str(child.data), []).append(child)
    for kind in ("worth", "borrows", "retry", "shadow"):
        for again in of.get(kind, [])[1:]:
            findings.append(StatementError("this stands here a second time", place_of(again)))
    by = counted(of.get("by", []), around, findings)
    limit = _limit(path, of, outer, by, place, reading)
    if limit is None:
        return
    reading.limits[path] = limit
    inside = Counted(most=by.most)
    for child in of.get("quota", []):
        read_quota(child, limit, inside, depth + 1, reading)


def _limit(
    path: str, of: dict[str, list[Node]], outer: Limit | None, by: Counted, place: Place, reading: Reading
) -> Limit | None:
    findings = reading.findings
    said = figures.stated([n for word in figures.WORDS for n in of.get(word, [])], "", findings)
    base = figures.usual(said, outer.usual if outer else None)
    if base is None:
        findings.append(StatementError(f"{path} has no rate, and no quota round it has one", place))
        return None
    if by.by and said.rate is None:
        findings.append(StatementError(f"{path} counts by {by.by} and has no rate of its own", place))
    blocks: list[tuple[str, Place, figures.Stated]] = []
    for node in of.get("during", []):
        name, spot = str(node.children[0]), place_of(node)
        if name not in reading.schedules:
            findings.append(UnknownNameError(f"there is no schedule {name}", spot))
        if name in [block[0] for block in blocks]:
            findings.append(StatementError(f"'during {name}' stands here a second time", spot))
        inner = [child for child in node.children if not isinstance(child, Token)]
        blocks.append((name, spot, figures.stated(inner, said.unit, findings)))
    limit = Limit(
        path=path,
        rate_per_s=base.rate_per_s,
        burst=base.burst,
        parent=outer.path if outer else "",
        guaranteed_per_s=base.guaranteed_per_s,
        borrows=_yes(of.get("borrows"), True),
        worth=_worth(of.get("worth"), findings),
        by=by.by,
        by_bits=by.bits,
        by_bits6=by.bits6,
        most_values=by.most,
        shadow="shadow" in of or (outer is not None and outer.shadow),
        says_when=_yes(of.get("retry"), outer.says_when if outer else True),
        match=matched(of.get("match", []), findings),
        seasons=figures.seasons(said, blocks, base, outer.seasons if outer else ()),
        usual=base,
        place=place,
    )
    _fits(limit, of, findings)
    return limit


def _fits(limit: Limit, of: dict[str, list[Node]], findings: list[PolicyError]) -> None:
    """Statements that do not go with one another."""
    every = [limit.usual or Figures(0.0, 0.0), *(season.figures for season in limit.seasons)]
    guaranteed = any(one.guaranteed_per_s for one in every)
    if not limit.parent:
        for kind in ("guaranteed", "borrows", "worth"):
            for node in of.get(kind, []):
                text = f"'{kind}' is of the quota round it, and there is none round {limit.path}"
                findings.append(StatementError(text, place_of(node)))
    if guaranteed and limit.by:
        text = f"a guaranteed part is of the whole of {limit.path}, and it counts by {limit.by}"
        findings.append(StatementError(text, limit.place))
    if not limit.borrows and not all(one.guaranteed_per_s for one in every):
        text = f"{limit.path} borrows nothing and is guaranteed nothing: it would never let anything in"
        findings.append(StatementError(text, limit.place))
    if any(one.guaranteed_per_s > one.rate_per_s for one in every):
        text = f"{limit.path} is guaranteed more than its own rate"
        findings.append(StatementError(text, limit.place))


def _yes(nodes: list[Node] | None, default: bool) -> bool:
    return str(nodes[0].children[0]) == "yes" if nodes else default


def _worth(nodes: list[Node] | None, findings: list[PolicyError]) -> float:
    if not nodes:
        return 1.0
    worth = float(str(nodes[0].children[0]))
    if not 0.0 < worth <= MOST_WORTH:
        findings.append(StatementError(f"'worth' must be over 0, at most {MOST_WORTH:g}", place_of(nodes[0])))
        return 1.0
    return worth
