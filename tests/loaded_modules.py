"""Runs the program and, at its end, prints which modules it has loaded; started by tests."""

from __future__ import annotations

import atexit
import sys

from lupinlink.cli import main

FLEET_MODULES = ("coordination", "config", "release", "quota", "migration", "net.fleet", "net.fleet_host")
LIBRARIES = ("msgspec", "treq", "lark", "aiohttp", "xxhash")


def print_loaded() -> None:
    """Print the loaded modules that only a fleet file should load."""
    ours = tuple(f"lupinlink.{name}" for name in FLEET_MODULES)
    found = [name for name in sys.modules if name.startswith(ours) or name.split(".")[0] in LIBRARIES]
    print(f"msg=loaded count={len(sys.modules)} fleet={','.join(found)}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    atexit.register(print_loaded)
    sys.exit(main())
