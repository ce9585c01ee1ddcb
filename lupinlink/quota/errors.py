"""What can be wrong with a policy of quotas; each finding knows its place. LL320 and on: sharing."""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.errors import LupinError
from lupinlink.quota.model import NOWHERE, Place


class PolicyError(LupinError):
    """Base of this package's errors; a finding in a policy's text."""

    code = "LL300"
    about = "a policy of quotas is not usable"
    remedy = "see docs/operators/quota-language.md; the policy in force before stays in force"

    def __init__(self, what: str, place: Place = NOWHERE) -> None:
        """``what``: one plain line, without the place."""
        super().__init__(what)
        self.place = place

    def finding(self, file: str) -> str:
        """One line in the form that editors and CI read: file, line, column, code, what, what to do."""
        return f"{file}:{self.place.line}:{self.place.column}: {self.line()}"


class PolicySyntaxError(PolicyError):
    """The text is not in the language; nothing after this place was looked at."""

    code = "LL301"
    about = "the text of a policy is not in the language"
    remedy = "write there what the line says may stand there"


class UnknownNameError(PolicyError):
    """Spelled wrongly, or the settings are of another deployment."""

    code = "LL302"
    about = "a policy names a class, tenant, zone, schedule or quota that there is not"
    remedy = "correct the name, or add it to the settings first"


class NeverReachedError(PolicyError):
    """No request can come to this quota."""

    code = "LL303"
    about = "no request ever reaches a quota"
    remedy = "move it before the one that takes its requests, narrow that one, or take it out"


class OverParentError(PolicyError):
    """It would never be what limits."""

    code = "LL304"
    about = "a quota is larger than the one round it"
    remedy = "lower it, or raise the one round it, for the same schedule too"


class UnboundedError(PolicyError):
    """Whoever sends requests could fill the memory."""

    code = "LL305"
    about = "a quota counts by a field without a bound on its values"
    remedy = "add 'most N' after the field, as many values as are active at a time; see the page for memory"


class UnitsError(PolicyError):
    """A figure may be another by a factor of 60 or 3600 than was meant."""

    code = "LL306"
    about = "the units of a quota's figures are mixed up"
    remedy = "give rates of one quota in one unit (/s, /min or /h) and a burst as a plain number"


class GuaranteedError(PolicyError):
    """Not all the promises could be kept at once."""

    code = "LL307"
    about = "more is guaranteed than the quota round it has"
    remedy = "lower the guaranteed parts, or raise the rate or burst of the quota round them"


class RetryAfterError(PolicyError):
    """Clients that are told no time come back at once, or wait without need."""

    code = "LL308"
    about = "refusals by a quota do not go with what the settings say of Retry-After"
    remedy = "allow Retry-After in the settings, or say 'retry-after no' where they do not allow it"


class StatementError(PolicyError):
    """A statement is missing, stands twice, or its figure is out of range."""

    code = "LL309"
    about = "a statement of a policy is missing, stands twice, or is out of range"
    remedy = "correct it as the line says"


class ExpectError(PolicyError):
    """The policy does not do what its author expects."""

    code = "LL310"
    about = "an expected case of a policy came out otherwise"
    remedy = "correct the quota, or the case if the new outcome is what is meant"


class PolicyFileError(PolicyError):
    """The file is missing, unreadable, too large or no UTF-8."""

    code = "LL311"
    about = "the file of a policy cannot be read"
    remedy = "look at the path in the fleet file, the rights, and that it is UTF-8 under 512 KiB"


class BadPolicyError(PolicyError):
    """Raised by loading: at least one finding, all of them in ``findings`` in the order of the text."""

    code = "LL312"
    about = "a policy was not taken because of what was found in it"
    remedy = "run 'lupinlink check --policy=FILE' for all findings; the policy in force before stays in force"

    def __init__(self, file: str, findings: Sequence[PolicyError]) -> None:
        more = f" (and {len(findings) - 1} more)" if len(findings) > 1 else ""
        super().__init__(findings[0].finding(file) + more, findings[0].place)
        self.file, self.findings = file, tuple(findings)
