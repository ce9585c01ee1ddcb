"""The program, which says at its end what it has loaded; run by the tests."""

from __future__ import annotations

import atexit
import sys

from lupinlink.cli import main

NOT_PLAIN = ("coordination", "config", "release", "quota", "migration", "net.fleet", "net.fleet_host")
LIBRARIES = ("msgspec", "treq", "lark", "aiohttp", "xxhash")


def tell() -> None:
    """What only a fleet file should bring."""
    ours = tuple(f"lupinlink.{name}" for name in NOT_PLAIN)
    found = [name for name in sys.modules if name.startswith(ours) or name.split(".")[0] in LIBRARIES]
    print(f"msg=loaded count={len(sys.modules)} fleet={','.join(found)}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    atexit.register(tell)
    sys.exit(main())
