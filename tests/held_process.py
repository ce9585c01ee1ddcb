"""Runs the program with its event loop held up before each wait: ``python -m tests.held_process``.

What a turn of the loop has decided and not done by then reaches its socket that much later.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from lupinlink.cli import main
from lupinlink.net.loop_iterations import TimedPoller

HOLD_S = 0.1


def hold_before_each_wait() -> None:
    """Hold the process up wherever it is about to wait for events."""
    wait = TimedPoller.poll

    def poll(poller: TimedPoller, *args: Any) -> Any:
        time.sleep(HOLD_S)
        return wait(poller, *args)

    TimedPoller.poll = poll  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    hold_before_each_wait()
    sys.exit(main())
