"""A process of the rig: one zone's front, or a share of the application servers. The rig starts it.

    python -m lupinlink.lab.fleet.helper DESCRIPTOR

It speaks with the rig over the connected socket of that number and ends when the rig does.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
import time
from collections import deque
from contextlib import suppress
from typing import Any

import msgspec

from lupinlink.lab.callers import LACKING
from lupinlink.lab.fleet.backends import SAMPLE_MS, Backends
from lupinlink.lab.fleet.fronts import FleetAsking, ZoneFront
from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.fleet.wire import Channel
from lupinlink.lab.loop import Lag, LoopClock
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.witnesses import Witness
from lupinlink.lab.model.world import World

FLUSH_S = 0.05
LOOK_MS, TURNS = 10.0, 4  # between two looks, on a machine at ease; looks that are remembered
NICE = -10  # before the proxies, where that is allowed: the rig must not be what is late


class Task(msgspec.Struct, frozen=True):
    """What a helper is: the first message to it."""

    role: str  # front or backends
    scenario: Scenario
    seed: int
    offset_ms: float  # of the rig's clock
    number: int  # the zone, or the share
    of: int  # shares
    port: int  # of the proxies; of a share: the first to try


class Helper:
    """One process's part of the world."""

    def __init__(self, task: Task, channel: Channel, loop: asyncio.AbstractEventLoop) -> None:
        self._task, self._channel, self._loop = task, channel, loop
        self._clock = clock = LoopClock(loop, task.offset_ms)
        self._witness = Witness(task.scenario, clock)
        asking = FleetAsking(task.scenario, clock)
        zone = task.number if task.role == "front" else None
        self._world = asking.world = World(
            task.scenario, task.seed, clock, asking.ask, asking.leave, referee=self._witness, zone=zone
        )
        self._front: ZoneFront | None = None
        self._backends: Backends | None = None
        if task.role == "front":
            self._front = ZoneFront(
                task.scenario, self._world, asking, clock, loop, task.number, task.port,
                lambda *figures: channel.send("up", *figures), self.lacking,
            )  # fmt: skip
        else:
            self._backends = Backends(
                self._world, loop, task.number, task.of, task.port,
                lambda name, port: channel.send("port", name, port),
            )  # fmt: skip
        self._lag: Lag | None = None
        self._cpu = self._began = self._start_ms = self._planned = 0.0
        self._looks: deque[float] = deque(maxlen=TURNS)
        self._second = 0

    def lacking(self, exc: OSError) -> None:
        """This machine has run out of something: no figure is worth anything from here on."""
        what = os.strerror(exc.errno or 0).lower()
        self._channel.send("failed", f"the rig's {self._task.role} {self._task.number} cannot go on: {what}")

    def trouble(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What the loop could not give to anybody."""
        exc = context.get("exception")
        if isinstance(exc, OSError) and exc.errno in LACKING:
            self.lacking(exc)
        else:
            text = " ".join(f"{context.get('message')} {exc!r}".split())
            self._channel.send("failed", f"the rig's {self._task.role} {self._task.number}: {text}")

    def _look(self) -> None:
        """A turn of the loop. What came before it is read, and a turn later told to its protocol."""
        self._looks.append(self._clock.now())
        self._witness.looked_at = self._looks[0]
        self._clock.after(LOOK_MS, self._look)

    async def serve(self) -> None:
        """Do as the rig says until it says no more."""
        self._look()
        flush = self._loop.create_task(self._flush())
        self._channel.send("ready")
        while (message := await self._channel.receive()) is not None and message[0] != "stop":
            self._do(message[0], *message[1:])
        flush.cancel()
        if message is not None:
            self._send()
            self._channel.send("figures", self._figures())

    async def close(self) -> None:
        """End what is open."""
        if self._front is not None:
            await self._front.close()

    def _do(self, what: str, *figures: Any) -> None:
        if what == "start":
            self._start_ms = figures[0]
            self._clock.at(self._start_ms, self._start)
        elif what == "fault":
            self._fault(*figures)
        elif what == "drain":
            self._world.farm.drain(*figures)
        elif what == "restart":
            self._world.farm.restart(*figures)
        elif self._front is not None and what == "up":
            self._front.put(*figures)
        elif self._front is not None and what == "leaving":
            self._front.leaving(*figures)

    def _start(self) -> None:
        # What the world is made of stays for good: full collections over it would be pauses of their own.
        gc.collect()
        gc.freeze()
        self._lag = Lag(self._clock)
        self._cpu, self._began = time.process_time(), time.monotonic()
        if self._front is not None:
            self._world.agents.start()
        if self._backends is not None:
            self._backends.second()  # what came before the start is no window of it
            self._planned = self._start_ms
            self._sample()

    def _fault(self, name: str, targets: list[str]) -> None:
        self._world.script.play(name, targets)
        fault = self._task.scenario.faults[name]
        if fault.kind == "cut" and self._backends is not None:
            backends, zone = self._backends, self._task.scenario.network.zones.index(fault.zone or "")
            backends.cut(zone, True)
            self._clock.after(fault.for_s * 1000.0, lambda: backends.cut(zone, False))

    def _sample(self) -> None:
        assert self._backends is not None
        self._backends.sample()
        self._planned += SAMPLE_MS
        if self._planned >= self._start_ms + 1000.0 * (self._second + 1):
            self._channel.send("second", self._second, self._backends.second())
            self._second += 1
        self._clock.at(self._planned, self._sample)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._send()

    def _send(self) -> None:
        # The time first: what is seen after it comes with the next message.
        now = self._clock.now()
        self._channel.send("reports", now, self._witness.take())

    def _figures(self) -> dict[str, float]:
        if self._lag is None:
            return {}
        span = max(1e-9, time.monotonic() - self._began)
        found = {**self._lag.figures(), "cpu_share": (time.process_time() - self._cpu) / span}
        if self._front is not None:
            found["behind_ms"] = self._world.agents.behind_ms
        return found


async def work(number: int) -> int:
    """Serve the rig on the descriptor of that number; returns the exit code."""
    loop = asyncio.get_running_loop()
    channel = await Channel.over(socket.socket(fileno=number))
    first = await channel.receive()
    if first is None:
        return 1
    try:
        helper = Helper(msgspec.convert(first[1], Task), channel, loop)
    except FleetError as exc:
        channel.send("failed", str(exc))
        await channel.receive()
        return 1
    loop.set_exception_handler(helper.trouble)
    await helper.serve()
    await channel.receive()  # the rig closes once it has read all
    await helper.close()
    return 0


if __name__ == "__main__":
    with suppress(PermissionError):
        os.setpriority(os.PRIO_PROCESS, 0, NICE)
    for one in (signal.SIGINT, signal.SIGTERM):
        signal.signal(one, signal.SIG_IGN)  # the rig ends it
    sys.exit(asyncio.run(work(int(sys.argv[1]))))
