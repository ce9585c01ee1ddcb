"""Reports invalid input to a command."""

from __future__ import annotations

import sys

from lupinlink.errors import LupinError
from lupinlink.settings import SettingsError


def report_input_error(exc: ValueError) -> int:
    """Print one line on standard error, with code and remedy if the error has them; return the exit code.

    The exit code is 2 for invalid settings and 1 for anything else.
    """
    text = exc.line() if isinstance(exc, LupinError) else " ".join(str(exc).split())
    print(f"lupinlink: {text}", file=sys.stderr)
    return 2 if isinstance(exc, SettingsError) else 1
