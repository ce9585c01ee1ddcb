"""The operators of a played fleet: their calls at the proxies' doors, as the scenario scripts them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from lupinlink.lab.fleet.bank import Bank
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.model.agreement import Call

ANSWER = aiohttp.ClientTimeout(total=3.0)
AGAIN_S = 0.5
MOST_TEXT = 4000


class Operators:
    """Make each call at its time, and again until it is answered with yes."""

    def __init__(self, ground: Ground, bank: Bank, made: Callable[[Call], None]) -> None:
        """``made`` is told of each call that was answered with yes."""
        self.answers: list[dict[str, Any]] = []
        self._ground, self._bank, self._made = ground, bank, made
        self._random = ground.world.streams.generator("operators")

    def plan(self) -> None:
        """Make the calls at their times."""
        ground = self._ground
        for name, call in ground.scenario.orders.items():
            at = ground.world.began + call.at_s * 1000.0
            ground.clock.at(at, lambda name=name, call=call: ground.spawn(self._make(name, call)))  # type: ignore[misc]

    async def _make(self, name: str, call: Call) -> None:
        method, _, path = call.call.partition(" ")
        until = time.monotonic() + call.until_s
        to, status, text = None, 0, "the play was over"
        async with aiohttp.ClientSession(timeout=ANSWER) as session:
            while not self._ground.closing:
                to = self._choose(call)
                status, text = 0, "no proxy runs"
                if to is not None:
                    url = f"http://{self._bank.proxies[to].config['mgmt']}{path}"
                    try:
                        async with session.request(method, url, data=call.body or None) as answer:
                            status, text = answer.status, await answer.text()
                    except (OSError, aiohttp.ClientError, TimeoutError) as exc:
                        text = repr(exc)
                if status // 100 == 2 or time.monotonic() > until:
                    break
                await asyncio.sleep(AGAIN_S)
        at_s = (self._ground.clock.now() - self._ground.world.began) / 1000.0
        self.answers.append({
            "name": name, "at_s": round(at_s, 2), "call": call.call, "to": "" if to is None else f"n{to}",
            "status": status, "text": text[:MOST_TEXT],
        })  # fmt: skip
        if status // 100 == 2:
            self._made(call)

    def _choose(self, call: Call) -> int | None:
        if call.to != "any":
            return int(call.to[1:])
        running = [one.index for one in self._bank.proxies if one.runs and one.index not in self._bank.paused]
        return running[int(self._random.integers(len(running)))] if running else None
