"""Resources that real processes use with 200 and with 3,200 backends.

Run as ``python -m tests.production_table 6 30 20``: processes, requests per second to each, seconds. The same
traffic runs first with the usual number of backends and then with sixteen times as many. The rows are those
of the operators' page on production, each checked against its bound.
"""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.answering_backend import AnsweringBackend
from tests.drain_fleet import Member
from tests.many_backends import MANY_BACKENDS, ManyBackendsStage
from tests.open_load import OpenLoad

USUAL_BACKENDS = 200
DEFAULTS = ("6", "30", "20")  # processes, requests a second of each, seconds
CLOCK_TICKS = 100.0  # per second, of the CPU times in /proc
MEGABYTE = 1024.0 * 1024.0


@dataclass
class Usage:
    """The mean usage of one process."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: float = 0.0
    connections: float = 0.0
    list_kb: float = 0.0
    served: float = 0.0


@dataclass(frozen=True)
class Bound:
    """The usual value times ``times``, plus ``more``, plus ``per_thousand`` for each thousand backends."""

    times: float
    more: float
    per_thousand: float = 0.0

    def of(self, usual: float, backends: int) -> float:
        return self.times * usual + self.more + self.per_thousand * backends / 1000.0


BOUNDS = {
    "cpu_s": Bound(1.4, 0.02, 0.12),
    "memory_mb": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_kb": Bound(2.0, 64.0, 500.0),
}
MIN_SERVED = 0.85  # share of the usual number served


class TrafficStage(ManyBackendsStage):
    """Runs the same traffic with a given number of backends."""

    def shared_listener(self) -> Any:
        return AnsweringBackend()

    def play(self, processes: int, per_second: float, seconds: float) -> Usage:
        frontends = [self.shared.frontend() for _ in range(processes)]
        members = [self.spawn(f"n{rank}", frontend, rank=rank) for rank, frontend in enumerate(frontends)]
        self.await_serving(*members)
        for frontend in frontends:
            frontend.watching.get(timeout=30.0)
        before = [cpu_s(member) for member in members]
        loads = [OpenLoad(m.port, per_second, leavers=0.0, seed=i) for i, m in enumerate(members)]
        clients = threading.Thread(target=asyncio.run, args=(play_all(loads, seconds),))
        clients.start()
        for second in range(int(seconds)):
            time.sleep(1.0)
            if second % 4 == 3 and second < 15:
                self.shared.drain(f"s-{second // 4}")
        clients.join()
        return self.measure_usage(members, before, loads)

    def measure_usage(self, members: list[Member], before: list[float], loads: list[OpenLoad]) -> Usage:
        found = Usage()
        share = 1.0 / len(members)
        for member, cpu, load in zip(members, before, loads, strict=True):
            found.cpu_s += share * (cpu_s(member) - cpu)
            found.memory_mb += share * peak_mb(member)
            found.descriptors += share * len(list(Path(f"/proc/{member.process.pid}/fd").iterdir()))
            found.connections += share * self.opened(member)
            found.list_kb += share * sum(frontend.sent_bytes for frontend in member.frontends) / 1024.0
            found.served += share * load.statuses()[200] / len(load.sent)
        return found

    def opened(self, member: Member) -> int:
        self.process, self.log = member.process, member.log
        return self.gauges()["connections_opened"]


async def play_all(loads: list[OpenLoad], seconds: float) -> None:
    """Run the loads of all clients in one event loop."""
    await asyncio.gather(*(load.play_here(seconds) for load in loads))


def cpu_s(member: Member) -> float:
    """CPU time of the process so far, in seconds."""
    fields = Path(f"/proc/{member.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def peak_mb(member: Member) -> float:
    """Peak resident memory of the process, in MiB."""
    status = Path(f"/proc/{member.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024.0


def measure(backends: int, processes: int, per_second: float, seconds: float) -> Usage:
    """Run the traffic once, and return the mean usage of a process."""
    stage = TrafficStage()
    type(stage).backends_listed, type(stage).peers = backends, processes
    stage.setUp()
    try:
        return stage.play(processes, per_second, seconds)
    finally:
        stage.doCleanups()


def main(words: list[str]) -> int:
    """Print the rows; returns 1 if one is over its bound."""
    if len(words) != len(DEFAULTS) or not all(word.isdecimal() and int(word) for word in words):
        print(f"production_table: {' '.join(words)!r} is not PROCESSES PER_SECOND SECONDS", file=sys.stderr)
        return 2
    processes, per_second, seconds = map(int, words)
    usual = measure(USUAL_BACKENDS, processes, per_second, seconds)
    many = measure(MANY_BACKENDS, processes, per_second, seconds)
    over = 0
    for name, bound in BOUNDS.items():
        least, most = getattr(usual, name), getattr(many, name)
        allowed = bound.of(least, MANY_BACKENDS)
        over += most > allowed
        verdict = "OVER" if most > allowed else "ok"
        print(f"{name:12} {least:9.2f} {most:9.2f}  allowed {allowed:9.2f}  {verdict}")
    poor = many.served < MIN_SERVED * usual.served
    print(f"served       {usual.served:9.3f} {many.served:9.3f}  {'UNDER' if poor else 'ok'}")
    return int(over > 0 or poor)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or list(DEFAULTS)))
