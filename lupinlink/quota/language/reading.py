"""Reads a policy from text and reports statements that are invalid by themselves.

Errors that depend on the settings or on other quotas are found by ``lupinlink.quota.checks``.
"""

from __future__ import annotations

import datetime
from dataclasses import replace

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError
from lupinlink.quota.language.match_statements import ByStatement, integer, text_of
from lupinlink.quota.language.parsing import Node, parse, place_of
from lupinlink.quota.language.quota_blocks import Reading, read_quota
from lupinlink.quota.model import ExpectedCase, Policy, QuotaRequest, Schedule

MAX_COUNT = 10_000  # requests per expected case
MAX_DAYS = 366
MAX_SCHEDULES = 8  # the checks go through every combination of them
NAMES = {"class": "class_name", "tenant": "tenant", "zone": "zone", "key": "key", "address": "address"}


def read_policy(text: str) -> tuple[Policy, list[PolicyError]]:
    """The policy and its findings; it is usable only without any. Raises PolicySyntaxError."""
    tree = parse(text)
    findings: list[PolicyError] = []
    by_kind: dict[str, list[Node]] = {}
    for child in tree.children:
        if not isinstance(child, Token):
            by_kind.setdefault(str(child.data), []).append(child)
    (head,) = by_kind["head"]
    version = text_of(_token(head, 0))
    if not version:
        findings.append(StatementError("the version of a policy must not be empty", place_of(head)))
    schedules: dict[str, Schedule] = {}
    for node in by_kind.get("schedule", []):
        schedule = _schedule(node, findings)
        if schedule.name in schedules or len(schedules) >= MAX_SCHEDULES:
            text = f"schedule {schedule.name} is repeated, or there are over {MAX_SCHEDULES} schedules"
            findings.append(StatementError(text, place_of(node)))
        schedules[schedule.name] = schedule
    reading = Reading(frozenset(schedules), findings=findings)
    for node in by_kind.get("quota", []):
        read_quota(node, None, ByStatement(), 1, reading)
    expected_cases = tuple(_expect(node, findings) for node in by_kind.get("expect", []))
    return Policy(
        version, tuple(reading.limits.values()), tuple(schedules.values()), expected_cases
    ), findings


def _token(node: Node, index: int) -> Token:
    token = node.children[index]
    assert isinstance(token, Token)
    return token


def _schedule(node: Node, findings: list[PolicyError]) -> Schedule:
    span = node.children[1]
    assert not isinstance(span, Token)
    schedule = Schedule(str(node.children[0]), place=place_of(node))
    if span.data == "before":
        period, feast = str(span.children[1]), str(span.children[2])
        days = 7 if period.startswith("week") else 1
        count = integer(_token(span, 0), 1, MAX_DAYS // days, f"{period} before a feast", findings)
        return replace(schedule, feast=feast, days=count * days)
    first, last = (_day(_token(span, i), findings) for i in (0, 1))
    return replace(schedule, first=first, last=last)


def _day(token: Token, findings: list[PolicyError]) -> tuple[int, int]:
    month, day = (int(part) for part in str(token).split("-"))
    try:
        datetime.date(2000, month, day)  # a leap year, so that 02-29 is accepted
    except ValueError:
        findings.append(StatementError(f"there is no day {token}; months go first", place_of(token)))
        return 1, 1
    return month, day


def _expect(node: Node, findings: list[PolicyError]) -> ExpectedCase:
    by_kind: dict[str, list[Node]] = {}
    for child in node.children:
        assert not isinstance(child, Token)
        by_kind.setdefault(str(child.data), []).append(child)
    count = 1
    if "count" in by_kind:
        count = integer(_token(by_kind["count"][0], 0), 1, MAX_COUNT, "the count of a case", findings)
    refused_by = str(by_kind["refusal"][0].children[0]) if "refusal" in by_kind else ""
    admitted = 0
    if "admitted" in by_kind:
        (admitted_node,) = by_kind["admitted"]
        admitted = count
        if admitted_node.children:
            admitted = integer(_token(admitted_node, 0), 0, count, "how many are admitted", findings)
        if refused_by and admitted == count:
            findings.append(
                StatementError(
                    "the case says that all are admitted and that some are refused", place_of(admitted_node)
                )
            )
    limits: tuple[str, ...] | None = None
    if "charged" in by_kind:
        tokens = by_kind["charged"][0].children
        limits = tuple(str(t) for t in tokens if isinstance(t, Token) and t.type == "PATH")
    return ExpectedCase(
        _request(by_kind["about"], findings),
        count,
        admitted,
        refused_by,
        limits,
        _date(by_kind, findings),
        place_of(node),
    )


def _request(nodes: list[Node], findings: list[PolicyError]) -> QuotaRequest:
    values: dict[str, str] = {}
    second_try = False
    for node in nodes:
        field = _token(node, 0)
        if field.type == "SECOND_TRY":
            second_try = True
            continue
        name, value = NAMES[str(field)], node.children[1]
        if name in values:
            findings.append(StatementError(f"'{field}' is stated twice", place_of(node)))
        values[name] = str(value) if isinstance(value, Token) else text_of(_token(value, 0))
    return QuotaRequest(
        values.get("class_name", ""),
        values.get("tenant", ""),
        values.get("zone", ""),
        values.get("key", ""),
        values.get("address", ""),
        second_try,
    )


def _date(by_kind: dict[str, list[Node]], findings: list[PolicyError]) -> datetime.date | None:
    if "on" not in by_kind:
        return None
    token = _token(by_kind["on"][0], 0)
    try:
        return datetime.date.fromisoformat(str(token))
    except ValueError:
        findings.append(StatementError(f"there is no day {token}", place_of(token)))
        return None
