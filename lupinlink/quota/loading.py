"""Loads a policy from text or a file; a policy with any finding is rejected."""

from __future__ import annotations

from pathlib import Path

from lupinlink.coordination.contract import MAX_VALUE_BYTES
from lupinlink.quota.cases import failed_cases
from lupinlink.quota.checks import check_policy
from lupinlink.quota.errors import BadPolicyError, PolicyError, PolicyFileError, PolicySyntaxError
from lupinlink.quota.language.reading import read_policy
from lupinlink.quota.model import NOWHERE, Policy
from lupinlink.quota.reachability import KnownNames


def check_text(text: str, known: KnownNames) -> tuple[Policy | None, list[PolicyError]]:
    """The policy, or None if there are findings, and all findings in the order of the text."""
    if len(text.encode()) > MAX_VALUE_BYTES:
        return None, [PolicyFileError(f"a policy has at most {MAX_VALUE_BYTES} bytes", NOWHERE)]
    try:
        policy, findings = read_policy(text)
    except PolicySyntaxError as exc:
        return None, [exc]
    findings += check_policy(policy, known)
    if not findings:
        findings += failed_cases(policy)
    findings.sort(key=lambda one: (one.place.line, one.place.column))
    return (None, findings) if findings else (policy, [])


def load_policy(text: str, known: KnownNames, file: str) -> Policy:
    """Parse and check a text; ``file`` is named in errors. Raises BadPolicyError with all findings."""
    policy, findings = check_text(text, known)
    if policy is None:
        raise BadPolicyError(file, findings)
    return policy


def read_policy_file(file: str) -> str:
    """The text of a policy file. Raises PolicyFileError."""
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise PolicyFileError(f"{file}: {exc}") from exc


def load_policy_file(file: str, known: KnownNames) -> Policy:
    """Read, parse and check a file. Raises PolicyFileError, BadPolicyError."""
    return load_policy(read_policy_file(file), known, file)
