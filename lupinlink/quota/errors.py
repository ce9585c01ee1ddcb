"""Errors in quota policies, each with its position in the file. LL320 and up belong to quota.sharing."""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.errors import LupinError
from lupinlink.quota.model import NOWHERE, Place


class PolicyError(LupinError):
    """Base of this package's errors: a finding in the text of a policy."""

    code = "LL300"
    about = "a quota policy is not usable"
    remedy = "see docs/operators/quota-language.md; the previous policy stays in force"

    def __init__(self, what: str, place: Place = NOWHERE) -> None:
        """``what``: one line, without the position."""
        super().__init__(what)
        self.place = place

    def finding(self, file: str) -> str:
        """One line in the format that editors and CI parse: file, line, column, code, finding, remedy."""
        return f"{file}:{self.place.line}:{self.place.column}: {self.line()}"


class PolicySyntaxError(PolicyError):
    """The text violates the grammar; nothing after this position was read."""

    code = "LL301"
    about = "a policy has a syntax error"
    remedy = "write one of the tokens that the message lists as expected there"


class UnknownNameError(PolicyError):
    """A name is misspelled, or the settings belong to another deployment."""

    code = "LL302"
    about = "a policy names a class, tenant, zone, schedule or quota that does not exist"
    remedy = "correct the name, or add it to the settings first"


class NeverReachedError(PolicyError):
    """No request can match this quota."""

    code = "LL303"
    about = "a quota never matches a request"
    remedy = "move it before the quota that matches its requests, narrow that quota, or remove it"


class OverParentError(PolicyError):
    """The parent would always be the tighter limit."""

    code = "LL304"
    about = "a quota is larger than its parent"
    remedy = "lower it or raise its parent, also during the schedule that the message names"


class UnboundedError(PolicyError):
    """Clients could exhaust the memory by sending ever new values."""

    code = "LL305"
    about = "a quota counts by a field without a limit on the number of its values"
    remedy = "add 'most N' after the field, N being the values active at a time; see the page for memory"


class UnitsError(PolicyError):
    """A rate may be off by a factor of 60 or 3600."""

    code = "LL306"
    about = "the units of a quota do not match"
    remedy = "give rates of one quota in one unit (/s, /min or /h) and a burst as a plain number"


class GuaranteedError(PolicyError):
    """The guarantees could not all be met at the same time."""

    code = "LL307"
    about = "the children of a quota are guaranteed more than it has"
    remedy = "lower the guaranteed rates, or raise the rate or burst of the parent"


class RetryAfterError(PolicyError):
    """Without Retry-After, clients retry at once or wait longer than needed."""

    code = "LL308"
    about = "a quota and the settings disagree on Retry-After"
    remedy = "allow Retry-After in the settings, or set 'retry-after no' in the quota"


class StatementError(PolicyError):
    """A statement is missing, repeated, contradicts another, or its value is out of range."""

    code = "LL309"
    about = "a statement of a policy is missing, repeated or out of range"
    remedy = "correct the statement as the message says"


class ExpectError(PolicyError):
    """The policy does not give the outcome that an expected case states."""

    code = "LL310"
    about = "an expected case of a policy has another outcome"
    remedy = "correct the quota, or the case if the new outcome is intended"


class PolicyFileError(PolicyError):
    """The file is missing, unreadable, too large or not UTF-8."""

    code = "LL311"
    about = "a policy file cannot be read"
    remedy = "check the path in the fleet file, the permissions, and that it is UTF-8 under 512 KiB"


class BadPolicyError(PolicyError):
    """Raised on loading; ``findings`` has at least one finding, in the order of the text."""

    code = "LL312"
    about = "a policy was rejected because of the findings in it"
    remedy = "run 'lupinlink check --policy=FILE' for all findings; the previous policy stays in force"

    def __init__(self, file: str, findings: Sequence[PolicyError]) -> None:
        more = f" (and {len(findings) - 1} more)" if len(findings) > 1 else ""
        super().__init__(findings[0].finding(file) + more, findings[0].place)
        self.file, self.findings = file, tuple(findings)
