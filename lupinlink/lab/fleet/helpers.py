"""The rig's own processes: their start, what it tells them, what they say, and their end."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from lupinlink.lab.fleet.ground import RIG, Ground
from lupinlink.lab.fleet.helper import Task
from lupinlink.lab.fleet.processes import HOME
from lupinlink.lab.fleet.wire import Channel

LAST_S = 30.0  # so long may the rig's own processes take to tell their last
HELLO_S = 60.0  # so long may the rig's own processes take to begin


class Part:
    """One helper process."""

    def __init__(self, number: int, role: str, process: subprocess.Popen[bytes], channel: Channel) -> None:
        self.number, self.role, self.process, self.channel = number, role, process, channel
        self.ready = asyncio.Event()
        self.over = asyncio.Event()
        self.figures: dict[str, float] = {}


class Helpers:
    """One front a zone, and the shares of the application servers."""

    def __init__(
        self, ground: Ground, second: Callable[..., None], up: Callable[[int, bool, float, bool], None]
    ) -> None:
        """``second`` is told of servers' seconds, ``up`` of proxies that a front finds up or not."""
        self.parts: list[Part] = []
        self.ports: dict[str, int] = {}  # of places, by name
        self._ground, self._second, self._up = ground, second, up

    async def start(self, port: int) -> None:
        """Start all; ``port`` is the proxies', and the first of those that servers may take."""
        ground, shares = self._ground, self._ground.shares
        for zone in range(len(ground.scenario.network.zones)):
            await self._start_one("front", zone, 0, port)
        for share in range(shares):
            await self._start_one("backends", share, shares, port + 100 + 500 * share)

    async def _start_one(self, role: str, number: int, of: int, port: int) -> None:
        ground = self._ground
        ours, theirs = socket.socketpair()
        process = subprocess.Popen(
            [sys.executable, "-m", "lupinlink.lab.fleet.helper", str(theirs.fileno())],
            pass_fds=[theirs.fileno()], stdin=subprocess.DEVNULL, start_new_session=True, cwd=HOME,
        )  # fmt: skip
        theirs.close()
        part = Part(len(self.parts) + 1, role, process, await Channel.over(ours))
        self.parts.append(part)
        task = Task(role, ground.scenario, ground.seed, ground.clock.offset_ms, number, of, port)
        part.channel.send("task", msgspec.to_builtins(task))
        ground.spawn(self._listen(part))

    async def ready(self) -> None:
        """Wait until all have begun; raises FleetError."""
        await self._ground.within(
            HELLO_S, "its own processes do not begin", lambda: all(part.ready.is_set() for part in self.parts)
        )

    def tell(self, *message: Any) -> None:
        """Tell all of them."""
        for part in self.parts:
            part.channel.send(*message)

    async def _listen(self, part: Part) -> None:
        ground = self._ground
        while (message := await part.channel.receive()) is not None:
            what, figures = message[0], message[1:]
            if what == "reports":
                ground.hearing.put(part.number, *figures)
            elif what == "second":
                self._second(*figures)
            elif what == "up":
                self._heard_up(part, *figures)
            elif what == "port":
                self.ports[figures[0]] = figures[1]
            elif what == "ready":
                part.ready.set()
            elif what == "figures":
                part.figures = figures[0]
                part.over.set()
            elif what == "failed":
                ground.fail(figures[0])
        if not part.over.is_set():
            ground.fail(f"the rig's {part.role} process has ended by itself")
            part.over.set()

    def _heard_up(self, part: Part, proxy: int, up: bool, at: float, told: bool) -> None:
        self._up(proxy, up, at, told)
        for other in self.parts:
            if other is not part and other.role == "front":
                other.channel.send("up", proxy, up)

    async def last_words(self) -> None:
        """Let all tell what they have not told yet."""
        self.tell("stop")
        waits = [asyncio.wait_for(part.over.wait(), LAST_S) for part in self.parts]
        await asyncio.gather(*waits, return_exceptions=True)
        self._ground.hearing.put(RIG, self._ground.clock.now(), self._ground.witness.take())

    async def end(self) -> None:
        """End each by its number."""
        for part in self.parts:
            part.channel.close()
            try:
                await self._ground.loop.run_in_executor(None, partial(part.process.wait, 2.0))
            except subprocess.TimeoutExpired:
                part.process.kill()
                part.process.wait()

    def figures(self) -> dict[str, float]:
        """The most of each figure among those of one role."""
        found: dict[str, float] = {}
        for part in self.parts:
            for name, value in part.figures.items():
                key = f"{part.role}_{name}"
                found[key] = max(found.get(key, 0.0), value)
        return found
