"""The one hierarchy of errors: a stable code, what happened, and what an operator can do.

Each error type states its ``code`` (stable, never used again for something else), a one-line ``about`` and a
one-line ``remedy``; the text given at the raise says what happened this time. docs/operators/errors.md lists
every code; a test keeps list and code equal.
"""

from __future__ import annotations

from typing import ClassVar


class LupinError(Exception):
    """Base of all errors that an operator may meet."""

    code: ClassVar[str] = "LL000"
    about: ClassVar[str] = "something went wrong that has no type of its own"
    remedy: ClassVar[str] = "keep the log and report it"

    def __init__(self, what: str) -> None:
        """``what``: what happened this time, one plain line."""
        super().__init__(" ".join(what.split()))

    def line(self) -> str:
        """One line for a log or a terminal: code, what happened, what to do."""
        return f"{self.code} {self}; {self.remedy}"


def error_types(base: type[LupinError] = LupinError) -> list[type[LupinError]]:
    """Every error type that has been imported so far, by code."""
    found = [base]
    for one in base.__subclasses__():
        found += error_types(one)
    return sorted(set(found), key=lambda kind: kind.code)
