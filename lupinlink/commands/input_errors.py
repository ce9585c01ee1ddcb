"""How a command says that what it was given cannot be used."""

from __future__ import annotations

import sys

from lupinlink.errors import LupinError
from lupinlink.settings import SettingsError


def report_input_error(exc: ValueError) -> int:
    """One line on standard error, with its code and what to do where it has a type of its own; the exit code:
    2 for settings that are bad, 1 for anything else."""
    text = exc.line() if isinstance(exc, LupinError) else " ".join(str(exc).split())
    print(f"lupinlink: {text}", file=sys.stderr)
    return 2 if isinstance(exc, SettingsError) else 1
