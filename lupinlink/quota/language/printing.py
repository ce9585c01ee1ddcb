"""Prints a policy in canonical form: every rate is written out, in requests per second."""

from __future__ import annotations

import re

from lupinlink.quota.model import ExpectedCase, Limit, Policy, QuotaRequest, RateParameters, Schedule

NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]*")


def print_policy(policy: Policy) -> str:
    """Text that ``read_policy`` parses into the same policy; equal policies give equal text."""
    children_of: dict[str, list[Limit]] = {}
    for limit in policy.limits:
        children_of.setdefault(limit.parent, []).append(limit)
    by_path = {limit.path: limit for limit in policy.limits}
    lines = [f"policy {_quoted(policy.version)}"]
    lines += [_schedule(schedule) for schedule in policy.schedules]
    for root in children_of.get("", []):
        lines += _quota(root, children_of, by_path, "")
    lines += [_expect(expect) for expect in policy.expected_cases]
    return "\n".join(lines) + "\n"


def _quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def _name_or_string(text: str) -> str:
    return text if NAME.fullmatch(text) else _quoted(text)


def _schedule(schedule: Schedule) -> str:
    if schedule.feast:
        return f"schedule {schedule.name}: {schedule.days} days before {schedule.feast}"
    (month, day), (month_2, day_2) = schedule.first, schedule.last
    return f"schedule {schedule.name}: from {month:02}-{day:02} to {month_2:02}-{day_2:02}"


def _rates(parameters: RateParameters) -> str:
    text = f"rate {parameters.rate_per_s!r}/s burst {parameters.burst!r}"
    return text + (f" guaranteed {parameters.guaranteed_per_s!r}/s" if parameters.guaranteed_per_s else "")


def _quota(
    limit: Limit, children_of: dict[str, list[Limit]], by_path: dict[str, Limit], indent: str
) -> list[str]:
    parent = by_path.get(limit.parent)
    default_parameters = limit.default_parameters or RateParameters(
        limit.rate_per_s, limit.burst, limit.guaranteed_per_s
    )
    statements = [_rates(default_parameters)]
    statements += [
        f"during {override.schedule} {{ {_rates(override.parameters)} }}" for override in limit.overrides
    ]
    match = limit.match
    for kind, names in (
        ("class", match.classes), ("tenant", match.tenants), ("zone", match.zones),
        ("key", match.key_prefixes),
    ):  # fmt: skip
        if names:
            statements.append(f"match {kind} {', '.join(map(_name_or_string, names))}")
    if match.networks:
        statements.append(f"match address {', '.join(map(str, match.networks))}")
    if match.second_try is not None:
        statements.append("match second-try" if match.second_try else "match first-try")
    if limit.by:
        bits = f" /{limit.by_ipv4_bits} /{limit.by_ipv6_bits}" if limit.by == "address" else ""
        statements.append(f"by {limit.by}{bits} most {limit.max_values}")
    if limit.worth != 1.0:
        statements.append(f"worth {limit.worth!r}")
    if not limit.borrows:
        statements.append("borrows no")
    if limit.sends_retry_after != (parent.sends_retry_after if parent else True):
        statements.append(f"retry-after {'yes' if limit.sends_retry_after else 'no'}")
    if limit.shadow and not (parent and parent.shadow):
        statements.append("shadow")
    lines = [f"{indent}quota {limit.path.rpartition('/')[2]} {{", *(f"{indent}  {one}" for one in statements)]
    for child in children_of.get(limit.path, []):
        lines += _quota(child, children_of, by_path, indent + "  ")
    return [*lines, f"{indent}}}"]


def _request_fields(request: QuotaRequest) -> str:
    statements = [
        f"{kind} {_name_or_string(value)}"
        for kind, value in (
            ("class", request.class_name), ("tenant", request.tenant),
            ("zone", request.zone), ("key", request.key),
        )
        if value
    ]  # fmt: skip
    statements += [f"address {request.address}"] if request.address else []
    statements += ["second-try"] if request.second_try else []
    return " ".join(statements)


def _expect(expect: ExpectedCase) -> str:
    text = f"expect {expect.count} of {_request_fields(expect.request)}"
    text += f" on {expect.on.isoformat()}" if expect.on else ""
    if expect.refused_by:
        text += f": admitted {expect.admitted} refused by {expect.refused_by}"
    else:
        text += f": admitted {expect.admitted}"
    if expect.limits is not None:
        text += f" charged {', '.join(expect.limits) or 'nothing'}"
    return text
