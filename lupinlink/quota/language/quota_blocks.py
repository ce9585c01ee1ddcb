"""Turns ``quota`` nodes of the tree into limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError, UnknownNameError
from lupinlink.quota.language import rate_statements
from lupinlink.quota.language.match_statements import ByStatement, read_by, read_match
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Limit, Place, RateParameters

MAX_DEPTH = 8  # levels of nested quotas
MAX_LIMITS = 500  # per file
MAX_WORTH = 1e6


@dataclass(slots=True)
class Reading:
    """State while a policy is read."""

    schedules: frozenset[str]
    limits: dict[str, Limit] = field(default_factory=dict)  # by path, in the order of the file
    findings: list[PolicyError] = field(default_factory=list)


def read_quota(
    node: Node, parent: Limit | None, parent_by: ByStatement, depth: int, reading: Reading
) -> None:
    """Add a limit and its descendants; errors become findings, and reading continues."""
    name = str(node.children[0])
    path = f"{parent.path}/{name}" if parent else name
    place, findings = place_of(node), reading.findings
    if path in reading.limits or depth > MAX_DEPTH or len(reading.limits) >= MAX_LIMITS:
        what = f"there is already a quota {path}"
        if path not in reading.limits:
            what = f"quotas nest at most {MAX_DEPTH} deep, and a file has at most {MAX_LIMITS}"
        findings.append(StatementError(what, place))
        return
    nodes = [child for child in node.children[1:] if not isinstance(child, Token)]
    by_kind: dict[str, list[Node]] = {}
    for child in nodes:
        by_kind.setdefault(str(child.data), []).append(child)
    for kind in ("worth", "borrows", "retry", "shadow"):
        for repeated in by_kind.get(kind, [])[1:]:
            findings.append(StatementError("this statement is stated twice", place_of(repeated)))
    by = read_by(by_kind.get("by", []), parent_by, findings)
    limit = _limit(path, by_kind, parent, by, place, reading)
    if limit is None:
        return
    reading.limits[path] = limit
    child_by = ByStatement(most=by.most)
    for child in by_kind.get("quota", []):
        read_quota(child, limit, child_by, depth + 1, reading)


def _limit(
    path: str,
    by_kind: dict[str, list[Node]],
    parent: Limit | None,
    by: ByStatement,
    place: Place,
    reading: Reading,
) -> Limit | None:
    findings = reading.findings
    own = rate_statements.read_rates(
        [n for keyword in rate_statements.KEYWORDS for n in by_kind.get(keyword, [])], "", findings
    )
    base = rate_statements.default_parameters(own, parent.default_parameters if parent else None)
    if base is None:
        findings.append(StatementError(f"{path} has no rate, and no parent to inherit one from", place))
        return None
    if by.by and own.rate is None:
        findings.append(StatementError(f"{path} counts by {by.by} and has no rate of its own", place))
    blocks: list[tuple[str, Place, rate_statements.StatedRates]] = []
    for node in by_kind.get("during", []):
        name, during_place = str(node.children[0]), place_of(node)
        if name not in reading.schedules:
            findings.append(UnknownNameError(f"there is no schedule {name}", during_place))
        if name in [block[0] for block in blocks]:
            findings.append(StatementError(f"'during {name}' is stated twice", during_place))
        inner = [child for child in node.children if not isinstance(child, Token)]
        blocks.append((name, during_place, rate_statements.read_rates(inner, own.unit, findings)))
    limit = Limit(
        path=path,
        rate_per_s=base.rate_per_s,
        burst=base.burst,
        parent=parent.path if parent else "",
        guaranteed_per_s=base.guaranteed_per_s,
        borrows=_yes(by_kind.get("borrows"), True),
        worth=_worth(by_kind.get("worth"), findings),
        by=by.by,
        by_ipv4_bits=by.bits,
        by_ipv6_bits=by.bits6,
        max_values=by.most,
        shadow="shadow" in by_kind or (parent is not None and parent.shadow),
        sends_retry_after=_yes(by_kind.get("retry"), parent.sends_retry_after if parent else True),
        match=read_match(by_kind.get("match", []), findings),
        overrides=rate_statements.overrides(own, blocks, base, parent.overrides if parent else ()),
        default_parameters=base,
        place=place,
    )
    _report_conflicts(limit, by_kind, findings)
    return limit


def _report_conflicts(limit: Limit, by_kind: dict[str, list[Node]], findings: list[PolicyError]) -> None:
    """Report statements that contradict each other."""
    all_parameters = [
        limit.default_parameters or RateParameters(0.0, 0.0),
        *(override.parameters for override in limit.overrides),
    ]
    guaranteed = any(one.guaranteed_per_s for one in all_parameters)
    if not limit.parent:
        for kind in ("guaranteed", "borrows", "worth"):
            for node in by_kind.get(kind, []):
                text = f"'{kind}' refers to the parent, and {limit.path} has none"
                findings.append(StatementError(text, place_of(node)))
    if guaranteed and limit.by:
        text = f"{limit.path} counts by {limit.by}, so it cannot have a guaranteed rate"
        findings.append(StatementError(text, limit.place))
    if not limit.borrows and not all(one.guaranteed_per_s for one in all_parameters):
        text = f"{limit.path} neither borrows nor has a guaranteed rate: it would admit nothing"
        findings.append(StatementError(text, limit.place))
    if any(one.guaranteed_per_s > one.rate_per_s for one in all_parameters):
        text = f"the guaranteed rate of {limit.path} is above its own rate"
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
