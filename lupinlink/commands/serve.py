"""Run one proxy in the foreground; the log goes to standard error.

Usage:
  lupinlink [serve] [--config=FILE] [--fleet=FILE]
  lupinlink serve (-h | --help)

Options:
  --config=FILE  The configuration; else LB_CONFIG names it.
  --fleet=FILE   The fleet file; else LB_FLEET names it; without one the proxy serves on its own.
  -h --help      Show this text.

LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override the configuration.
LB_LOG is debug, info (by default) or warning; debug logs a line for each attempt.

Signals: SIGTERM and SIGINT stop it, SIGHUP reloads the configuration, SIGUSR1 logs the counters.
Exit: 0 stopped; 1 it could not serve; 2 the configuration or the fleet file is invalid.
"""

from __future__ import annotations

import os
import sys
from functools import partial
from typing import TYPE_CHECKING, Any, cast

from docopt import docopt

from lupinlink.commands.input_errors import report_input_error
from lupinlink.lazy_modules import defer_unused_modules
from lupinlink.settings import Config, load_config

if TYPE_CHECKING:
    from lupinlink.net.fleet_extension import FleetExtension


def main(argv: list[str]) -> int:
    """Serve until a signal ends it; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    file = args["--fleet"] or os.environ.get("LB_FLEET", "")
    defer_unused_modules()
    try:
        config = load_config(os.environ, args["--config"])
        from lupinlink.net.service import serve

        load = partial(load_config, os.environ, args["--config"], reload=True)
        if not file:
            return serve(config, load)
        extension = load_fleet_extension(file, config)
        return serve(config, load, extension) if extension is not None else 2
    except ValueError as exc:
        return report_input_error(exc)


def load_fleet_extension(file: str, config: Config) -> FleetExtension | None:
    """Load the fleet extension; None, after one line on standard error, if the fleet file is unusable.

    Its modules are imported only here, since serving without a fleet file must not load them.
    """
    from twisted.internet import reactor

    from lupinlink import __version__
    from lupinlink.errors import LupinError

    try:
        try:
            from lupinlink.config.files import load_fleet
            from lupinlink.net.fleet import Fleet
        except ModuleNotFoundError as exc:
            if (exc.name or "").startswith("lupinlink"):
                raise
            from lupinlink.config.errors import FleetExtraError

            raise FleetExtraError(f"{file}: {exc}") from exc
        return Fleet(load_fleet(file), config, cast(Any, reactor), __version__)
    except LupinError as exc:
        print(f"lupinlink: {exc.line()}", file=sys.stderr)
        return None
