"""Open-loop load on one proxy (a fixed rate, whatever the answers), with some clients that leave early."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from tests.drain_fleet import Receipt

GIVES_UP_S = 0.5  # a request is lost if it has no answer this long after its time is over
LEFT_S = 0.1  # an attempt may begin at most this long after its client has closed
STAY_S = (0.02, 0.6)  # the range of waits of the clients that leave


@dataclass(slots=True)
class Sent:
    """One request, as its client saw it. Times are seconds of the monotonic clock."""

    trace: str
    sent_at: float
    status: int = 0  # 0: no answer
    took_s: float = 0.0
    left_at: float | None = None  # when its client left; None: it stayed


@dataclass
class OpenLoad:
    """Requests at a constant rate, each on a connection of its own."""

    port: int
    per_second: float
    leavers: float = 1 / 3  # share of clients that leave before their time is over
    expires_s: float = 1.5
    seed: int = 1
    sent: list[Sent] = field(default_factory=list)

    def play(self, seconds: float) -> None:
        """Play the load for that long; returns when its last request is over."""
        asyncio.run(self.play_here(seconds))

    async def play_here(self, seconds: float) -> None:
        """As ``play``, in the running event loop."""
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
        """The requests whose clients stayed and got no answer."""
        return [one for one in self.sent if not one.status and one.left_at is None]

    def sent_on_too_late(self, receipts: Iterable[Receipt]) -> list[str]:
        """The attempts that began more than ``LEFT_S`` after their client had left."""
        left = {one.trace: one.left_at for one in self.sent if one.left_at is not None}
        return [
            f"{receipt.trace} {receipt.at - left[receipt.trace]:.3f} s after its client left"
            for receipt in receipts
            if receipt.trace in left and receipt.at > left[receipt.trace] + LEFT_S
        ]

    def statuses(self) -> Counter[int]:
        """The statuses that the clients that stayed got, and how often; 0: no answer."""
        return Counter(one.status for one in self.sent if one.left_at is None)
