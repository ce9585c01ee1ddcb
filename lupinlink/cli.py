"""lupinlink: an HTTP proxy built around a decision module, and its tools.

Usage:
  lupinlink [serve] [--config=FILE] [--fleet=FILE]
  lupinlink check [--config=FILE]
  lupinlink lab COMMAND [ARGUMENTS...]
  lupinlink version
  lupinlink (-h | --help)

Commands:
  serve    Run one proxy; the default command.
  check    Validate the configuration, print it or its errors, and exit.
  lab      Run scenarios against the decision module and report the results (needs lupinlink[lab]).
  version  Print the version.

lupinlink COMMAND --help shows the options of a command.

Options:
  --config=FILE  The configuration file; default: the one that LB_CONFIG names.
  --fleet=FILE   The fleet file; default: the one that LB_FLEET names. Without one the proxy serves alone.
  -h --help      Show this text.

LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override the configuration file.
"""

from __future__ import annotations

import sys
from importlib import import_module

COMMANDS = ("serve", "check", "lab", "version")


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    name = arguments[0] if arguments else "serve"
    if name in ("-h", "--help"):
        print((__doc__ or "").strip())
        return 0
    if name.startswith("-"):
        name = "serve"  # options without a command
    if name not in COMMANDS:
        print(f"lupinlink: {name!r} is no command; the commands are {', '.join(COMMANDS)}", file=sys.stderr)
        return 2
    # Import only the chosen command: serve must not load what only the other commands need.
    return int(import_module(f"lupinlink.commands.{name}").main(arguments))
