"""The platform and the clients: starts proxies by the deploy file, sends requests, writes the record."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.common.stand_ins import Discovery

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 20.0
ZONES = ["catania", "palermo"]
# The example of WIRE-lupinlink.md, which is the deployment trinacria-smist with two proxies.
CLASSES = [
    {"Name": "item-status", "AimMs": 800.0, "HardLimitMs": 2000.0, "Effect": "pure", "Group": "all",
     "Importance": 1.0, "LateWorth": 0.2, "MemorySpanMs": 5000.0, "Stream": False},
    {"Name": "route-lookup", "AimMs": 750.0, "HardLimitMs": 4000.0, "Effect": "pure", "Group": "all",
     "Importance": 5.0, "LateWorth": 0.25, "MemorySpanMs": 5000.0, "Stream": False},
    {"Name": "bin-update", "AimMs": 800.0, "HardLimitMs": 4000.0, "Effect": "pure", "Group": "all",
     "Importance": 2.0, "LateWorth": 0.2, "MemorySpanMs": 5000.0, "Stream": False},
    {"Name": "scan-record", "AimMs": 750.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "zone",
     "Importance": 2.0, "LateWorth": 0.5, "MemorySpanMs": 2000.0, "Stream": False},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "Classes": CLASSES,
    "ClientHabits": {"MarksRetry": True},
    "Family": "proxy",
    "FamilyInfo": {"WarmKeys": True},
    "Invariants": {"AnswerSlackMs": 20.0, "ColdMs": 22000.0, "ColdShare": 0.13, "DrainGraceMs": 250.0,
                   "FallMs": 3000.0, "FallMultiple": 3.0, "MustAskInMs": 10000.0},
    "Limits": {"AttemptsCap": 5, "Cancel": True, "CpuUsPerRequest": 0.0, "CpuUsPerS": 500000,
               "DialTimeoutMs": 200.0, "IdleCloseMs": 10000.0, "MaxRetryAfterMs": 2000.0,
               "MayTell": False, "MostHeld": 20000, "Probes": True, "RetryAfter": True,
               "SecondCopies": False, "StreamsPerConn": 1},
    "MachineTypes": ["standard-2c"],
    "MembershipMode": "subscribe",
    "MyZone": 0,
    "OverShareWorth": 0.1,
    "PeersTotal": 2,
    "Rank": 0,
    "Report": {"Fields": ["busy", "rate"], "How": "answers"},
    "Tenants": [{"Fraction": 0.38, "Name": "corrieri-etna", "QuotaPerS": 61.0},
                {"Fraction": 0.36, "Name": "posta-conca-doro", "QuotaPerS": 58.0},
                {"Fraction": 0.26, "Name": "recapiti-iblei", "QuotaPerS": 42.0}],
    "TickMs": 5.0,
    "ValueBy": "request",
    "Weights": "none",
    "Zones": ZONES,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not be set up."""


def free_port() -> int:
    """A free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclass
class Answer:
    """What a client got: status 0 for none; ``whole``: it has all its bytes."""

    status: int = 0
    body: bytes = b""
    whole: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    took: float = 0.0


async def ask(port: int, method: str, path: str, ident: str, expires_ms: int, wait_s: float) -> Answer:
    """Send one request on a new connection and wait for its whole answer, no longer than ``wait_s``."""
    answer, began = Answer(), time.monotonic()
    head = (f"{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {ident}\r\n"
            f"X-Customer: corrieri-etna\r\nX-Expires-In-Ms: {expires_ms}\r\n\r\n")  # fmt: skip
    with suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(head.encode())
                await read_answer(reader, answer)
            finally:
                writer.close()
    answer.took = time.monotonic() - began
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; what has come stays in ``answer`` if it breaks off."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    answer.headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:] if line)}
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readline()
        answer.whole = True
        return
    length = int(answer.headers["content-length"])
    while len(answer.body) < length:
        piece = await reader.read(65536)
        if not piece:
            return
        answer.body += piece
    answer.whole = True


class Platform:
    """One run of a case: its record, its temporary folder and the processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.say(f"trouble: {'on' if TROUBLE else 'off'}")

    def say(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    def say_all(self, lines: list[tuple[float, str]]) -> None:
        """Write lines that were kept, each with its time by the monotonic clock."""
        self._record.write("".join(f"{at - self.began:8.3f} {text}\n" for at, text in lines))

    def proxy(self, rank: int, discovery: Discovery, **more: Any) -> Proxy:
        """Prepare a proxy; ``start`` starts a process of it."""
        return Proxy(self, f"n{rank}", rank, discovery.port, dict(discovery.object()), **more)

    def run(self, name: str, env: dict[str, str]) -> subprocess.Popen[bytes]:
        """Start the run line of the deploy file."""
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        process = subprocess.Popen(
            ["/bin/sh", "-c", line], cwd=ROOT, env={**os.environ, **env}, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=self._log(name),
        )  # fmt: skip
        self._processes.append(process)
        self.say(f"platform: started process {process.pid} of {name}")
        return process

    def _log(self, name: str) -> Any:
        return (self.folder / f"{name}-{len(self._processes)}.log").open("wb")

    @property
    def folder(self) -> Path:
        return Path(self._temporary.name)

    def close(self) -> None:
        """End all processes that this run started."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if kept := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()
        self.say("platform: all processes have ended")


@dataclass
class Proxy:
    """One proxy of the deployment, whose processes keep its name and address."""

    platform: Platform
    name: str
    rank: int
    discovery: int
    known: dict[str, Any]
    sockets: int = 1024
    port: int = field(default_factory=free_port)

    def __post_init__(self) -> None:
        self.config = self.platform.folder / f"{self.name}.json"
        self.scratch = self.platform.folder / f"tmp-{self.name}"
        self.scratch.mkdir()
        self.write_config()

    def write_config(self) -> None:
        """Write the configuration, whole: the file is replaced in one step."""
        text = json.dumps({
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery}", "seed": f"8c1f30d27a5be9{self.rank:02x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}, "known": self.known,
            "settings": {**SETTINGS, "Rank": self.rank, "MyZone": self.rank % 2},
        })  # fmt: skip
        new = self.config.with_suffix(".new")
        new.write_text(text)
        new.replace(self.config)

    def start(self) -> subprocess.Popen[bytes]:
        """Start a process."""
        env = {"LB_NAME": self.name, "LB_LISTEN": f"127.0.0.1:{self.port}",
               "LB_DISCOVERY": f"127.0.0.1:{self.discovery}", "LB_CONFIG": str(self.config),
               "TMPDIR": str(self.scratch)}  # fmt: skip
        return self.platform.run(self.name, env)

    async def up(self, wait_s: float = 1.0) -> int:
        """The status of ``GET /up``, as the front asks for it; 0: no answer."""
        return (await ask(self.port, "GET", "/up", "-", 1000, wait_s)).status

    async def await_up(self) -> None:
        """Wait until the front would take it in."""
        until = time.monotonic() + READY_S
        while await self.up() != 200:
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} is not up within {READY_S} s")
            await asyncio.sleep(0.1)
        self.platform.say(f"front: {self.name} is up")


def play(folder: str, case: Callable[[Platform], Awaitable[int]]) -> int:
    """Play a case; returns its exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    platform = Platform(Path(folder).resolve().parent)
    try:
        code = asyncio.run(asyncio.wait_for(case(platform), 110))
    except Exception as exc:  # a fault of the case itself is no broken rule
        platform.say(f"the case could not run: {exc!r}")
        code = NOT_RUN
    finally:
        platform.close()
    platform.say(f"verdict: {['the rule held', 'the rule was broken', 'could not run'][code]}")
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    return code
