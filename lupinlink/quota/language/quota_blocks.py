"""From a ``quota`` of the tree to a limit and those inside it."""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError, UnknownNameError
from lupinlink.quota.language import rate_statements
from lupinlink.quota.language.match_statements import Counted, counted, matched
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Limit, Place, RateParameters

MAX_DEPTH = 8  # quotas in one another
MAX_LIMITS = 500  # in a file
MAX_WORTH = 1e6


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
    if path in reading.limits or depth > MAX_DEPTH or len(reading.limits) >= MAX_LIMITS:
        what = f"there is a quota {path} already"
        if path not in reading.limits:
            what = f"quotas stand at most {MAX_DEPTH} deep in one another, and {MAX_LIMITS} in a file"
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
    said = rate_statements.stated(
        [n for word in rate_statements.WORDS for n in of.get(word, [])], "", findings
    )
    base = rate_statements.default_parameters(said, outer.default_parameters if outer else None)
    if base is None:
        findings.append(StatementError(f"{path} has no rate, and no quota round it has one", place))
        return None
    if by.by and said.rate is None:
        findings.append(StatementError(f"{path} counts by {by.by} and has no rate of its own", place))
    blocks: list[tuple[str, Place, rate_statements.Stated]] = []
    for node in of.get("during", []):
        name, spot = str(node.children[0]), place_of(node)
        if name not in reading.schedules:
            findings.append(UnknownNameError(f"there is no schedule {name}", spot))
        if name in [block[0] for block in blocks]:
            findings.append(StatementError(f"'during {name}' stands here a second time", spot))
        inner = [child for child in node.children if not isinstance(child, Token)]
        blocks.append((name, spot, rate_statements.stated(inner, said.unit, findings)))
    limit = Limit(
        path=path,
        rate_per_s=base.rate_per_s,
        burst=base.burst,
        parent=outer.path if outer else "",
        guaranteed_per_s=base.guaranteed_per_s,
        borrows=_yes(of.get("borrows"), True),
        worth=_worth(of.get("worth"), findings),
        by=by.by,
        by_ipv4_bits=by.bits,
        by_ipv6_bits=by.bits6,
        max_values=by.most,
        shadow="shadow" in of or (outer is not None and outer.shadow),
        sends_retry_after=_yes(of.get("retry"), outer.sends_retry_after if outer else True),
        match=matched(of.get("match", []), findings),
        overrides=rate_statements.overrides(said, blocks, base, outer.overrides if outer else ()),
        default_parameters=base,
        place=place,
    )
    _fits(limit, of, findings)
    return limit


def _fits(limit: Limit, of: dict[str, list[Node]], findings: list[PolicyError]) -> None:
    """Statements that do not go with one another."""
    every = [
        limit.default_parameters or RateParameters(0.0, 0.0),
        *(season.parameters for season in limit.overrides),
    ]
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
    if not 0.0 < worth <= MAX_WORTH:
        findings.append(StatementError(f"'worth' must be over 0, at most {MAX_WORTH:g}", place_of(nodes[0])))
        return 1.0
    return worth
