"""lupinlink: one real proxy around the decision module.

Usage:
  lupinlink [serve] [--config=FILE]
  lupinlink check [--config=FILE]
  lupinlink version
  lupinlink (-h | --help)

Commands:
  serve    Run one proxy; this is what a plain start does.
  check    Read the configuration, say what is wrong with it or what it holds, and exit.
  version  Print the version.

Options:
  --config=FILE  The configuration; else LB_CONFIG names it.
  -h --help      Show this text.

LB_NAME, LB_LISTEN and LB_DISCOVERY go before what the configuration says.
"""

from __future__ import annotations

import os
import sys
from functools import partial
from importlib import import_module

from docopt import docopt

from lupinlink import __version__
from lupinlink.settings import SettingsError, load_config


def main(argv: list[str] | None = None) -> int:
    """Run the command line; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    if args["version"]:
        print(f"lupinlink {__version__}")
        return 0
    try:
        config = load_config(os.environ, args["--config"])
        if not args["check"]:
            again = partial(load_config, os.environ, args["--config"], again=True)
            return int(import_module("lupinlink.net.service").serve(config, again))
        farm = import_module("lupinlink.net.farm")
        _, _, rows = farm.read_list(config.known or {"rev": 0, "all": True, "targets": []}, config.settings)
    except ValueError as exc:
        print(f"lupinlink: {' '.join(str(exc).split())}", file=sys.stderr)
        return 2 if isinstance(exc, SettingsError) else 1
    host, port = config.listen
    print(
        f"{config.name}: listens on {host}:{port}, {len(config.settings.classes)} classes, {len(rows)} known"
    )
    return 0
