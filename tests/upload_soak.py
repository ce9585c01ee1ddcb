"""Uploads to servers that die, hang or are slow: ``python -m tests.upload_soak N [SEED] [JOBS]``.

Each seed draws the servers, the times at which each of them changes, the uploads, and the memory, which is
half or less of what the other tests tell.
"""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Answered, ask, paced, request
from tests.soak import play_on, play_seeds
from tests.upload_servers import Condition, Run, UploadServer

SERVERS, CLIENTS, LASTS_S = 6, 40, 8.0
# Any size, and those about which a body is streamed while memory is short, or always.
SIZES = ((64 * 1024, 1024 * 1024), (64 * 1024, 84 * 1024), (256 * 1024, 276 * 1024))
MEMORY_MB = (54, 64, 96)  # a process at rest takes 46 with the packages of the tests
CONDITIONS = {  # and how often each is drawn
    Condition.SOUND: 3,
    Condition.SLOW: 3,
    Condition.HANGING: 1,
    Condition.RESETTING: 1,
    Condition.DEAD: 1,
}
CONDITION_S = (0.2, 1.2)  # how long a server keeps its condition
EXPIRES_S = (0.6, 3.0)
CLIENT_BYTES_PER_S = 300_000.0  # of a slow client; the pages' slowest takes 64 kB a second
LOST_AFTER_S = 0.5  # a final answer later than so long after its request's time is lost
SLACK_S = 0.2  # the pages' 50 ms for every limit, and 150 ms for a process that is held up
KEYED, UNSAFE = "scan", "note"


@dataclass
class UploadVerdict:
    """What a soak of uploads has shown."""

    seed: int
    answers: Counter[int] = field(default_factory=Counter)
    altered: list[str] = field(default_factory=list)  # ran with other bytes than its client sent
    overdue: list[str] = field(default_factory=list)  # answered later than the pages allow, or never
    twice: list[str] = field(default_factory=list)  # ran again where that may not be
    wrong: list[str] = field(default_factory=list)  # answered with what was made for another request
    memory_mb: float = 0.0
    limit_mb: float = 0.0

    @property
    def sound(self) -> bool:
        """Whether nothing happened that must not, and something was served."""
        faults = self.altered or self.overdue or self.twice or self.wrong
        return not faults and self.memory_mb <= self.limit_mb and self.answers[200] > 0

    def __str__(self) -> str:
        return (
            f"seed={self.seed} sound={self.sound} answers={dict(sorted(self.answers.items()))} "
            f"altered={self.altered[:3]} overdue={self.overdue[:3]} twice={self.twice[:3]} "
            f"wrong={self.wrong[:3]} memory_mb={self.memory_mb:.1f} of {self.limit_mb}"
        )


class UploadSoak(ProxyProcessTest):
    """One process under uploads."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "sockets": 512}
    window_s: float = 1.0

    def soak(self, seed: int) -> UploadVerdict:
        """Play one seed."""
        self.draw = Random(seed)
        self.window_s = self.draw.uniform(0.5, 2.0)
        self.settings = {  # type: ignore[misc]
            "Classes": [
                {"Name": UNSAFE, "AimMs": 500.0, "HardLimitMs": 3000.0, "Effect": "side_effect"},
                {"Name": KEYED, "AimMs": 500.0, "HardLimitMs": 3000.0, "Effect": "token", "Group": "all",
                 "MemorySpanMs": 1000.0 * self.window_s},
            ],
        }  # fmt: skip
        self.limits = {**self.limits, "memory_mb": self.draw.choice(MEMORY_MB)}  # type: ignore[misc]
        self.verdict, self.lock, self.halt = UploadVerdict(seed), threading.Lock(), threading.Event()
        self.servers = [self.peer(UploadServer(self.draw.randrange(1 << 30))) for _ in range(SERVERS)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(self.servers)))
        self.await_up()
        seeds = [self.draw.randrange(1 << 30) for _ in range(CLIENTS + SERVERS)]
        clients = [partial(self._send_uploads, number, Random(seeds.pop())) for number in range(CLIENTS)]
        changes = [partial(self._change, server, Random(seeds.pop())) for server in self.servers]
        threads = [threading.Thread(target=act) for act in (*clients, *changes)]
        for thread in threads:
            thread.start()
        time.sleep(LASTS_S)
        self.halt.set()
        for thread in threads:
            thread.join()
        self._judge_servers()
        self._judge_memory()
        return self.verdict

    def _change(self, server: UploadServer, draw: Random) -> None:
        """Give a server one condition after another."""
        while not self.halt.is_set():
            (condition,) = draw.choices(list(CONDITIONS), list(CONDITIONS.values()))
            server.begin(condition)
            self.halt.wait(draw.uniform(*CONDITION_S))
        server.begin(Condition.SOUND)

    def _send_uploads(self, number: int, draw: Random) -> None:
        """Send one upload after another."""
        count = 0
        while not self.halt.is_set():
            count += 1
            cls, size = draw.choice((UNSAFE, KEYED)), draw.randint(*draw.choice(SIZES))
            identity, expires_s = f"{number}-{count}", draw.uniform(*EXPIRES_S)
            data = request(
                f"/{cls}/1", identity, expires_s, body_of(identity, size), chunked=draw.random() < 0.3
            )
            parts: list[bytes | float] = [data]
            if draw.random() < 0.2:
                parts = list(paced(data, CLIENT_BYTES_PER_S))
            elif draw.random() < 0.3:
                at = draw.randrange(len(data))
                parts = [data[:at], draw.uniform(0.0, 0.1), data[at:]]
            self._judge(cls, identity, expires_s, ask(self.port, *parts))
            self.halt.wait(draw.uniform(0.0, 0.2))

    def _judge(self, cls: str, identity: str, expires_s: float, answered: Answered) -> None:
        with self.lock:
            self.verdict.answers[answered.status] += 1
            if not answered.written_whole:
                return  # it is not a request yet
            if answered.status == 0 or answered.last_s > expires_s + LOST_AFTER_S:
                self.verdict.overdue.append(
                    f"{cls} {identity}: {answered.status} {answered.last_s:.2f} s after its last byte, "
                    f"it had {expires_s:.2f}"
                )
            if answered.status == 200 and answered.body != identity.encode():
                self.verdict.wrong.append(f"{identity} got {answered.body[:40]!r}")

    def _judge_servers(self) -> None:
        runs: dict[str, list[Run]] = {}
        for server in self.servers:
            for run in server.runs:
                if run.body != body_of(run.identity, len(run.body)):
                    self.verdict.altered.append(f"{run.identity}, {len(run.body)} bytes")
                runs.setdefault(run.identity, []).append(run)
        for identity, found in runs.items():
            first, *again = sorted(found, key=lambda run: run.at)
            until = first.at + (self.window_s + SLACK_S if first.cls == KEYED else 0.0)
            late = [round(run.at - first.at, 3) for run in again if run.arrived_from > until]
            if late or (again and first.cls != KEYED):
                self.verdict.twice.append(
                    f"{first.cls} {identity} again after {late}, window {self.window_s:.2f}"
                )

    def _judge_memory(self) -> None:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.verdict.memory_mb = int(line.split()[1]) / 1024.0
        self.verdict.limit_mb = self.limits["memory_mb"]


def body_of(identity: str, size: int) -> bytes:
    """The body that the client with this id sends, of this size."""
    return Random(identity).randbytes(size)


def play(seed: int) -> tuple[bool, str]:
    """One seed of the soak of uploads."""
    return play_on(UploadSoak(), seed)


if __name__ == "__main__":
    sys.exit(play_seeds("upload_soak", play, sys.argv[1:]))
