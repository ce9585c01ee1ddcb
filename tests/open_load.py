"""Load on one proxy that does not wait for answers, by clients of which some leave, and what became of it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from tests.drain_fleet import Receipt

GIVES_UP_S = 0.5  # a client's wait beyond its time, after which its request is lost
LEFT_S = 0.1  # an attempt that begins so long after its client's close is lost
STAY_S = (0.02, 0.6)  # how long a client that leaves waits


@dataclass(slots=True)
class Sent:
    """One request: what its client saw. Times are on the monotonic clock, in seconds."""

    trace: str
    sent_at: float
    status: int = 0  # 0: no whole answer came
    took_s: float = 0.0
    left_at: float | None = None  # when its client closed, of one that left


@dataclass
class OpenLoad:
    """So many requests a second, each on a connection of its own."""

    port: int
    per_second: float
    leavers: float = 1 / 3  # share of clients that leave before their time is over
    expires_s: float = 1.5
    seed: int = 1
    sent: list[Sent] = field(default_factory=list)

    def play(self, seconds: float) -> None:
        """Blocks until the last of these requests is over."""
        asyncio.run(self.play_here(seconds))

    async def play_here(self, seconds: float) -> None:
        """The same in the event loop that runs."""
        rng, begin, tasks = Random(self.seed), time.monotonic(), []
        for number in range(int(seconds * self.per_second)):
            await asyncio.sleep(max(0.0, begin + number / self.per_second - time.monotonic()))
            stay = rng.uniform(*STAY_S) if rng.random() < self.leavers else None
            tasks.append(asyncio.create_task(self._ask(f"load-{self.seed}-{number}", stay)))
        await asyncio.gather(*tasks)

    async def _ask(self, trace: str, stay: float | None) -> None:
        one = Sent(trace, time.monotonic())
        self.sent.append(one)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = (
            f"GET /look/1 HTTP/1.1\r\nHost: test\r\nX-Trace-Id: {trace}\r\nX-Customer: acme\r\n"
            f"X-Expires-In-Ms: {int(self.expires_s * 1000)}\r\n\r\n"
        )
        one.sent_at = time.monotonic()
        writer.write(head.encode())
        patience = self.expires_s + GIVES_UP_S if stay is None else stay
        try:
            line = await asyncio.wait_for(reader.readline(), patience)
            one.status = int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0
        except (TimeoutError, ConnectionError):
            pass
        one.took_s = time.monotonic() - one.sent_at
        writer.close()
        if stay is not None and not one.status:
            one.left_at = time.monotonic()
        with suppress(ConnectionError):
            await writer.wait_closed()

    def unanswered(self) -> list[Sent]:
        """Those whose clients stayed and got no final answer."""
        return [one for one in self.sent if not one.status and one.left_at is None]

    def sent_on_too_late(self, receipts: Iterable[Receipt]) -> list[str]:
        """Attempts that began over ``LEFT_S`` after their client's close."""
        left = {one.trace: one.left_at for one in self.sent if one.left_at is not None}
        return [
            f"{receipt.trace} {receipt.at - left[receipt.trace]:.3f} s after its client left"
            for receipt in receipts
            if receipt.trace in left and receipt.at > left[receipt.trace] + LEFT_S
        ]

    def statuses(self) -> Counter[int]:
        """How many clients that stayed got which status; 0: none."""
        return Counter(one.status for one in self.sent if one.left_at is None)
