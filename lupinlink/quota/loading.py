"""A policy's text or file, taken whole or not at all."""

from __future__ import annotations

from pathlib import Path

from lupinlink.coordination.contract import MAX_VALUE_BYTES
from lupinlink.quota.cases import failed
from lupinlink.quota.checks import checked
from lupinlink.quota.errors import BadPolicyError, PolicyError, PolicyFileError, SyntaxFaultError
from lupinlink.quota.language.reading import read
from lupinlink.quota.model import NOWHERE, Policy
from lupinlink.quota.reach import Known


def look(text: str, known: Known) -> tuple[Policy | None, list[PolicyError]]:
    """The policy, None if it is not to be used, and all that was found, in the order of the text."""
    if len(text.encode()) > MAX_VALUE_BYTES:
        return None, [PolicyFileError(f"a policy has at most {MAX_VALUE_BYTES} bytes", NOWHERE)]
    try:
        policy, findings = read(text)
    except SyntaxFaultError as exc:
        return None, [exc]
    findings += checked(policy, known)
    if not findings:
        findings += failed(policy)
    findings.sort(key=lambda one: (one.place.line, one.place.column))
    return (None, findings) if findings else (policy, [])


def load(text: str, known: Known, file: str) -> Policy:
    """The policy of a text; ``file`` names it in errors. Raises BadPolicyError with every finding."""
    policy, findings = look(text, known)
    if policy is None:
        raise BadPolicyError(file, findings)
    return policy


def read_text(file: str) -> str:
    """A policy's file. Raises PolicyFileError."""
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise PolicyFileError(f"{file}: {exc}") from exc


def load_file(file: str, known: Known) -> Policy:
    """The policy of a file. Raises PolicyFileError, BadPolicyError."""
    return load(read_text(file), known, file)
