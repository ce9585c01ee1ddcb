"""Read a proxy's configuration, say what is wrong with it or what it holds, and exit.

Usage:
  lupinlink check [--config=FILE]
  lupinlink check (-h | --help)

Options:
  --config=FILE  The configuration; else LB_CONFIG names it.
  -h --help      Show this text.

LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT go before what the configuration says.

Exit: 0 it is good; 1 its list of servers is bad; 2 it is bad.
"""

from __future__ import annotations

import os

from docopt import docopt

from lupinlink.commands.told import told_off
from lupinlink.settings import load_config


def main(argv: list[str]) -> int:
    """Check one configuration; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    from lupinlink.net.lists import read_list

    try:
        config = load_config(os.environ, args["--config"])
        _, _, rows = read_list(config.known or {"rev": 0, "all": True, "targets": []}, config.settings)
    except ValueError as exc:
        return told_off(exc)
    host, port = config.listen
    classes = len(config.settings.classes)
    print(f"{config.name}: listens on {host}:{port}, {classes} classes, {len(rows)} known")
    return 0
