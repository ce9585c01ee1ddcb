"""Base class of all errors that are reported to operators.

Each error type has a ``code``, which is stable and never reused, one line ``about`` what has happened and one
line on the ``remedy``. The message of an instance says what happened this time. docs/operators/errors.md
lists all codes and is generated from these types by tests/test_errors.py.
"""

from __future__ import annotations

from typing import ClassVar


class LupinError(Exception):
    """Base class of the errors that an operator may see."""

    code: ClassVar[str] = "LL000"
    about: ClassVar[str] = "an error without a more specific type occurred"
    remedy: ClassVar[str] = "keep the log and report it"

    def __init__(self, what: str) -> None:
        """``what``: what happened this time; white space is collapsed to make it one line."""
        super().__init__(" ".join(what.split()))

    def line(self) -> str:
        """Format the error as one line for a log or a terminal: code, message and remedy."""
        return f"{self.code} {self}; {self.remedy}"


def error_types(base: type[LupinError] = LupinError) -> list[type[LupinError]]:
    """Return ``base`` and all its imported subclasses, sorted by code."""
    found = [base]
    for subclass in base.__subclasses__():
        found += error_types(subclass)
    return sorted(set(found), key=lambda kind: kind.code)
