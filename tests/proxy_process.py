"""The base of tests that run the real program as a process, with application servers and a discovery."""

from __future__ import annotations

import http.client
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections import deque
from contextlib import suppress
from functools import cache
from itertools import count
from pathlib import Path
from typing import Any, ClassVar

from lupinlink.settings import ENVIRONMENT_VARIABLES
from tests.loopback_servers import (
    BROKEN_BYTES,
    NEVER_RAN,
    OK,
    WAIT,
    ApplicationServer,
    Discovery,
    LoopbackServer,
    chunk,
    listing,
    read_request,
    row,
)  # fmt: skip

__all__ = [
    "BROKEN_BYTES", "NEVER_RAN", "OK", "WAIT", "ApplicationServer", "Discovery", "LoopbackServer",
    "ProxyProcessTest", "chunk",
    "listing", "read_request", "row",
]  # fmt: skip
UP = b"GET /up HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
POLL_S = 0.05
ROOT = Path(__file__).resolve().parent.parent
SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": "look", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "pure"},
        {"Name": "scan", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "zone",
         "MemorySpanMs": 2000.0},
    ],
    "Tenants": [{"Name": "acme", "QuotaPerS": 100.0}],
    "Zones": ["a", "b"],
    "MembershipMode": "subscribe",
    "Limits": {"AttemptsCap": 3, "Cancel": True, "RetryAfter": True, "MaxRetryAfterMs": 2000.0},
}  # fmt: skip


@cache
def rest_mb() -> float:
    """The memory that the program takes before any client comes, in this environment."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}, file)
        file.flush()
        process = subprocess.Popen(
            [sys.executable, "-m", "lupinlink"],
            cwd=ROOT, env={**os.environ, "LB_CONFIG": file.name},
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert process.stderr is not None
        line = next(line for line in process.stderr if 'msg="memory at rest"' in line)
        process.kill()
        process.communicate()
    return float(line.partition(" rest_mb=")[2].split()[0])


class ProxyProcessTest(unittest.TestCase):
    """A test with the real program, and with application servers and a discovery of its own."""

    module: ClassVar[str] = "lupinlink"  # the module that is run
    settings: ClassVar[dict[str, Any]] = {}
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    spare_mb: ClassVar[float | None] = None  # the limit on memory leaves so much beside the program at rest

    def setUp(self) -> None:
        self.ids = count(1)
        self.discovery = self.peer(Discovery())

    def peer(self, peer: Any) -> Any:
        self.addCleanup(peer.close)
        return peer

    def told_limits(self) -> dict[str, Any]:
        """The limits of the configuration."""
        if self.spare_mb is None:
            return self.limits
        return {**self.limits, "memory_mb": rest_mb() + self.spare_mb}

    def config(self, *rows: dict[str, Any]) -> dict[str, Any]:
        return {"name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.discovery.port}",
                "seed": "8c1f30d27a5be964", "limits": self.told_limits(), "known": listing(41, True, *rows),
                "settings": {**SETTINGS, **self.settings}}  # fmt: skip

    def program(
        self, config: object, *words: str, env: dict[str, str] | None = None
    ) -> subprocess.Popen[str]:
        """Run the program with this configuration file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = file = Path(folder.name) / "config.json"
        file.write_text(config if isinstance(config, str) else json.dumps(config))
        kept = {n: v for n, v in os.environ.items() if n not in ENVIRONMENT_VARIABLES}
        process = subprocess.Popen(
            [sys.executable, "-m", self.module, *words],
            cwd=ROOT, env={**kept, "LB_CONFIG": str(file), **(env or {})},
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def start(self, *rows: dict[str, Any], env: dict[str, str] | None = None) -> None:
        """Start it and wait until it serves."""
        self.process, self.log = self.launch(self.config(*rows), env)
        if {**self.config(), **(env or {})}.keys() & {"mgmt", "LB_MGMT"}:
            self.door = int(self.line("msg=door").rsplit("mgmt_port=", 1)[1])
        self.port = int(self.line("msg=serving").rsplit("port=", 1)[1])

    def launch(
        self, config: dict[str, Any], env: dict[str, str] | None = None
    ) -> tuple[subprocess.Popen[str], queue.Queue[str]]:
        """Start another process of the program; returns it and the queue of its log lines."""
        process = self.program(config, env=env)
        stderr = process.stderr
        assert stderr is not None
        log: queue.Queue[str] = queue.Queue()
        threading.Thread(target=lambda: deque(map(log.put, stderr), 0), daemon=True).start()
        return process, log

    def call(self, method: str, path: str) -> int:
        """Make one call to the management API; returns the status."""
        connection = http.client.HTTPConnection("127.0.0.1", self.door, timeout=WAIT)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        finally:
            connection.close()

    def up(self) -> int:
        """The status of ``/up``, as a load balancer gets it."""
        client = self.client()
        client.request("GET", "/up")
        return client.getresponse().status

    def await_up(self) -> None:
        """Wait until ``/up`` answers 200."""
        until = time.monotonic() + WAIT
        while b" 200 " not in self.raw(UP):
            self.assertLess(time.monotonic(), until)
            time.sleep(POLL_S)

    def line(self, part: str, log: queue.Queue[str] | None = None) -> str:
        """The next log line with ``part``, of this process or of the one whose ``log`` is given."""
        while part not in (text := (log or self.log).get(timeout=WAIT)):
            pass
        return text

    def client(self) -> http.client.HTTPConnection:
        client = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)
        self.addCleanup(client.close)
        return client

    def ask(
        self, client: http.client.HTTPConnection | None = None, path: str = "/look/1", ms: int = 1500
    ) -> http.client.HTTPResponse:
        """Send one request; returns its answer, with the body still to be read."""
        client = client or self.client()
        self.send(client, path, ms)
        return client.getresponse()

    def send(self, client: http.client.HTTPConnection, path: str = "/look/1", ms: int = 1500) -> None:
        headers = {"X-Trace-Id": f"t{next(self.ids)}", "X-Customer": "acme", "X-Expires-In-Ms": str(ms)}
        if path.startswith("/scan"):
            client.request("POST", path, b"body", {"Idempotency-Key": "k1", **headers})
        else:
            client.request("GET", path, headers=headers)

    def connect(self, data: bytes = b"") -> socket.socket:
        """A connection on which this was written."""
        connection = socket.create_connection(("127.0.0.1", self.port), WAIT)
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    def raw(self, data: bytes, port: int = 0) -> bytes:
        """Send this on a new connection; returns what comes back until the proxy closes it."""
        with socket.create_connection(("127.0.0.1", port or self.port), WAIT) as connection:
            with suppress(ConnectionError):
                connection.sendall(data)
            got = b""
            while piece := connection.recv(65536):
                got += piece
            return got

    def gauges(self) -> dict[str, int]:
        """The counters and the size of every table, as logged on SIGUSR1."""
        self.process.send_signal(signal.SIGUSR1)
        pairs = (pair.partition("=") for pair in self.line("msg=counters at=signal").split())
        return {name: int(value) for name, _, value in pairs if value.isdigit()}

    def settle(self, **wanted: int) -> dict[str, int]:
        """Wait until these gauges have these values."""
        until = time.monotonic() + WAIT
        while any((now := self.gauges()).get(name, 0) != figure for name, figure in wanted.items()):
            self.assertLess(time.monotonic(), until, now)
        return now

    def answered_last(
        self, client: http.client.HTTPConnection, process: subprocess.Popen[str], log: queue.Queue[str]
    ) -> None:
        """Assert that an idle connection gets a last answer of this process, or was closed to make room."""
        try:
            answer = self.ask(client)
        except http.client.RemoteDisconnected:
            latest = self.process, self.log
            self.process, self.log = process, log
            self.assertEqual(self.gauges()["made_room"], 1)
            self.process, self.log = latest
        else:
            self.assertEqual((answer.read(), answer.headers["Connection"]), (b"ok", "close"))

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT)
