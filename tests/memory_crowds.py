"""Crowds of clients that make a real process hold memory, beside sound clients that need their answers.

``python -m tests.memory_crowds KIND [MEMORY_MB [SOCKETS [CLIENTS [SECONDS [SEED]]]]]`` plays one of them by
the run line of the deploy file and prints what was seen; exit 1 if a rule was broken.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lupinlink.settings import ENVIRONMENT_VARIABLES
from tests.crowd_clients import KINDS
from tests.crowd_servers import SERVERS
from tests.loopback_servers import Discovery, listing
from tests.sound_client import SOUND_WAIT_S, SoundClient

ROOT = Path(__file__).resolve().parent.parent
SOUND_CLIENTS, SOUND_PAUSE_S = 6, 0.05
MEASURE_S = 0.02
READY_S = 15.0
MIN_SOCKETS = 64  # fewer are no valid configuration
DEFAULTS = [32.0, 1024.0, 0.0, 8.0, 1.0]  # MB, descriptors, clients (0: a third of those), seconds, seed
CLIENT_SHARE = 1 / 3  # LATER: clients hold at most a third of the descriptors with requests
SETTINGS: dict[str, Any] = {
    "Classes": [{"Name": "look", "AimMs": 800.0, "HardLimitMs": 4000.0, "Effect": "pure"}],
    "Tenants": [{"Name": "acme", "QuotaPerS": 5000.0}],
    "Zones": ["a"],
    "MembershipMode": "subscribe",
    "Limits": {"AttemptsCap": 3, "Cancel": True, "RetryAfter": True, "MaxRetryAfterMs": 2000.0},
}


def own_mb(process_id: int) -> float:
    """The memory of a process that it shares with no file, in MiB; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0.0
    pairs = (line.split(":") for line in lines if line.startswith(("RssAnon", "RssShmem")))
    return sum(int(size.split()[0]) for _, size in pairs) / 1024.0


@dataclass
class Seen:
    """What a play showed."""

    limit_mb: float
    rest_mb: float = 0.0
    peak_mb: float = 0.0
    end_mb: float = 0.0
    exit_code: int | None = None  # None: the process still ran
    sound: Counter[str] = field(default_factory=Counter)  # answers of the sound clients, by status
    log: list[str] = field(default_factory=list)

    def faults(self) -> list[str]:
        """The rules that were broken."""
        found = []
        if self.peak_mb > self.limit_mb:
            found.append(f"{self.peak_mb:.1f} MB of its own, it was told {self.limit_mb:.0f}")
        if self.exit_code is not None:
            found.append(f"the process ended with {self.exit_code}")
        lost = sum(number for end, number in self.sound.items() if end not in ("200", "503"))
        if lost:
            found.append(f"{lost} of {self.sound.total()} sound requests got no final answer in time")
        if not self.sound["200"]:
            found.append("no sound request was served")
        return found

    def __str__(self) -> str:
        ends = " ".join(f"{end}:{number}" for end, number in sorted(self.sound.items()))
        return (
            f"rest {self.rest_mb:.1f} peak {self.peak_mb:.1f} end {self.end_mb:.1f} of {self.limit_mb:.0f} MB"
            f"; sound {ends}; {'; '.join(self.faults()) or 'held'}"
        )


class Play:
    """One play: a proxy by the deploy file, its servers and its clients."""

    def __init__(self, memory_mb: float, sockets: int) -> None:
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self._log_reader: threading.Thread | None = None
        self._over = threading.Event()
        self.seen = Seen(memory_mb)

    def run(self, kind: str, clients: int, seconds: float, seed: int = 1) -> Seen:
        """Play a crowd of this kind for this time."""
        discovery = Discovery()
        servers = subprocess.Popen(
            [sys.executable, "-m", "tests.crowd_servers"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert servers.stdout is not None
        ports = [int(servers.stdout.readline()) for _ in range(SERVERS)]
        with tempfile.TemporaryDirectory() as folder:
            proxy = self._start(Path(folder), discovery.port, ports)
            try:
                self._play(proxy, kind, clients, seconds, seed)
            finally:
                proxy.kill()
                if self._log_reader is not None:
                    self._log_reader.join()  # before its pipe is closed
                for process in (proxy, servers):
                    process.kill()
                    process.communicate()
                discovery.close()
        return self.seen

    def _start(self, folder: Path, discovery: int, ports: list[int]) -> subprocess.Popen[str]:
        rows = [
            {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{port}", "az": "a", "state": "in_service",
             "capacity_hint": 1.0, "boot_ms": 0}
            for n, port in enumerate(ports)
        ]  # fmt: skip
        config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery}",
                  "seed": "8c1f30d27a5be964", "limits": self._limits, "known": listing(41, True, *rows),
                  "settings": SETTINGS}  # fmt: skip
        file = folder / "config.json"
        file.write_text(json.dumps(config))
        kept = {n: v for n, v in os.environ.items() if n not in ENVIRONMENT_VARIABLES}
        return subprocess.Popen(
            ["/bin/sh", "-c", run_line()], cwd=ROOT, env={**kept, "LB_CONFIG": str(file)},
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip

    def _play(self, proxy: subprocess.Popen[str], kind: str, clients: int, seconds: float, seed: int) -> None:
        assert proxy.stderr is not None
        lines, port, until = self.seen.log, 0, time.monotonic() + READY_S
        while not port and time.monotonic() < until and (line := proxy.stderr.readline()):
            lines.append(line.rstrip())
            port = int(line.rsplit("port=", 1)[1]) if "msg=serving" in line else 0
        assert port, lines
        reader = threading.Thread(target=lambda: lines.extend(map(str.rstrip, proxy.stderr or [])))
        self._log_reader = reader
        await_up(port)
        self.seen.rest_mb = own_mb(proxy.pid)
        sound = [threading.Thread(target=self._be_sound, args=(port, n)) for n in range(SOUND_CLIENTS)]
        for thread in (reader, *sound):
            thread.daemon = True
            thread.start()
        words = [str(port), kind, str(clients), str(seconds), str(seed)]
        crowd = subprocess.Popen([sys.executable, "-m", "tests.crowd_clients", *words], cwd=ROOT)
        while crowd.poll() is None:
            self.seen.peak_mb = max(self.seen.peak_mb, own_mb(proxy.pid))
            if proxy.poll() is not None:
                crowd.kill()
                crowd.wait()
                break
            time.sleep(MEASURE_S)
        self._over.set()
        for thread in sound:
            thread.join(SOUND_WAIT_S + 1.0)
        self.seen.end_mb, self.seen.exit_code = own_mb(proxy.pid), proxy.poll()
        if self.seen.exit_code is None:
            proxy.send_signal(signal.SIGUSR1)
            time.sleep(0.2)

    def _be_sound(self, port: int, number: int) -> None:
        client = SoundClient(port, number, self.seen.sound)
        while not self._over.is_set():
            client.ask()
            time.sleep(SOUND_PAUSE_S)
        client.close()


def run_line() -> str:
    """How the platform starts one proxy."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def await_up(port: int) -> None:
    """Wait until the proxy says that it serves."""
    until = time.monotonic() + READY_S
    while time.monotonic() < until:
        with suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0) as client:
            client.sendall(b"GET /up HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
            if b" 200 " in client.recv(4096):
                return
        time.sleep(0.05)
    raise AssertionError("never up")


def main(words: list[str]) -> int:
    """The command."""
    try:
        kind, *figures = words
        told = [float(figure) for figure in figures]
        memory_mb, sockets, clients, seconds, seed = told + DEFAULTS[len(told) :]
        if min(memory_mb, sockets, clients + 1.0, seconds, seed + 1.0) <= 0.0 or sockets < MIN_SOCKETS:
            raise ValueError(words)
        if kind not in {*KINDS, "mixed"}:
            raise ValueError(kind)
    except ValueError:
        names = "|".join(sorted({*KINDS, "mixed"}))
        print(f"usage: python -m tests.memory_crowds {names} [MB [SOCKETS [CLIENTS [SECONDS [SEED]]]]]",
              file=sys.stderr)  # fmt: skip
        return 2
    clients = clients or sockets * CLIENT_SHARE
    seen = Play(memory_mb, int(sockets)).run(kind, int(clients), seconds, int(seed))
    print(f"{kind:8} {memory_mb:.0f} MB {sockets:.0f} descriptors {clients:.0f} clients: {seen}")
    if os.environ.get("SHOW_LOG"):
        print("\n".join(seen.log[-int(os.environ["SHOW_LOG"]) :]))
    return bool(seen.faults())


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
