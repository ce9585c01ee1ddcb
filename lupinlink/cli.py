"""lupinlink: one real proxy around the decision module, and the tools beside it.

Usage:
  lupinlink [serve] [--config=FILE] [--fleet=FILE]
  lupinlink check [--config=FILE]
  lupinlink lab COMMAND [ARGUMENTS...]
  lupinlink version
  lupinlink (-h | --help)

Commands:
  serve    Run one proxy; this is what a plain start does.
  check    Read the configuration, say what is wrong with it or what it holds, and exit.
  lab      Play scenarios against the decisions and report what came of it (needs lupinlink[lab]).
  version  Print the version.

lupinlink COMMAND --help tells more of each.

Options:
  --config=FILE  The configuration; else LB_CONFIG names it.
  --fleet=FILE   What it agrees on with the fleet; else LB_FLEET names it; without one it serves alone.
  -h --help      Show this text.

LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT go before what the configuration says.
"""

from __future__ import annotations

import sys
from importlib import import_module

COMMANDS = ("serve", "check", "lab", "version")


def main(argv: list[str] | None = None) -> int:
    """Run the command line; returns the exit code."""
    words = sys.argv[1:] if argv is None else argv
    name = words[0] if words else "serve"
    if name in ("-h", "--help"):
        print((__doc__ or "").strip())
        return 0
    if name.startswith("-"):
        name = "serve"  # options alone: a plain start
    if name not in COMMANDS:
        print(f"lupinlink: {name!r} is no command; there are {', '.join(COMMANDS)}", file=sys.stderr)
        return 2
    # Each command brings its own imports: a plain serve must not load what only others need.
    return int(import_module(f"lupinlink.commands.{name}").main(words))
