"""The agreement service in memory and as emulated Consul, for tests, with switches that simulate faults."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any

from twisted.internet import reactor

from lupinlink.coordination.client import AgreementClient
from lupinlink.coordination.consul import ConsulSettings, ConsulTransport
from lupinlink.coordination.kv_store import StoreSnapshot
from lupinlink.coordination.memory import MemoryService, MemoryTransport
from lupinlink.coordination.rate_limit import CallTiming
from lupinlink.net.timer_wheel import ReactorClock
from tests.proxy_process import ROOT

CALL_TIMING = CallTiming(ask_ms=20.0, wait_ms=150.0, retry_ms=50.0)
LOCK_DELAY_MS = 200.0
CALL_MS = 400.0


class InMemoryService:
    """The service in memory."""

    def __init__(self) -> None:
        self.clock = ReactorClock(reactor)
        self._service = MemoryService(self.clock, LOCK_DELAY_MS, late=1.5)
        self._transports: list[MemoryTransport] = []
        self._saved = StoreSnapshot(1)

    def client(self) -> AgreementClient:
        transport = self._service.transport()
        self._transports.append(transport)
        return AgreementClient(
            transport, self.clock, random.Random(len(self._transports)).random, CALL_TIMING
        )

    def cut(self, number: int, on: bool = True) -> None:
        """Cut one client off from the service, or connect it again."""
        self._transports[number].cut = on

    def gone(self, on: bool = True) -> None:
        self._service.reachable = not on
        self._service.changed()

    def busy(self, on: bool = True) -> None:
        for transport in self._transports:
            transport.busy = on

    def lose_answer(self) -> None:
        for transport in self._transports:
            transport.lost_responses = 1

    def save(self) -> None:
        self._saved = self._service.save()

    def restore(self) -> None:
        self._service.restore(self._saved)

    def expire(self, lease: str) -> None:
        self._service.expire(lease)

    def close(self) -> None:
        """Nothing to clean up."""


class ConsulStandIn:
    """The lab's emulation of Consul's API, in a process of its own that all tests of a class share."""

    _process: subprocess.Popen[str] | None = None
    _ports: dict[str, int]
    _run_numbers = count(1)

    def __init__(self) -> None:
        kind = type(self)
        if kind._process is None:
            kind._process = subprocess.Popen(
                [sys.executable, "-m", "lupinlink.lab.fleet.consul", "--ttl-floor", "0.1"],
                cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
            )  # fmt: skip
            assert kind._process.stdout is not None
            kind._ports = json.loads(kind._process.stdout.readline())
        self.clock = ReactorClock(reactor)
        self._prefix = f"run{next(self._run_numbers)}/"
        self._hosts: list[str] = []
        self._transports: list[ConsulTransport] = []
        self._faults: set[str] = set()

    def client(self) -> AgreementClient:
        host = f"127.0.1.{len(self._hosts) + 1}"
        settings = ConsulSettings(host, self._ports["port"], self._prefix, "", CALL_MS, LOCK_DELAY_MS)
        transport = ConsulTransport(reactor, settings)
        self._hosts.append(host)
        self._transports.append(transport)
        return AgreementClient(transport, self.clock, random.Random(len(self._hosts)).random, CALL_TIMING)

    def call(self, what: str, method: str = "PUT", **body: Any) -> Any:
        """Call the control port of the service."""
        url = f"http://127.0.0.1:{self._ports['control']}/_stand_in/{what}"
        request = urllib.request.Request(url, json.dumps(body).encode(), method=method)
        with urllib.request.urlopen(request, timeout=10) as answer:
            return json.load(answer)

    @property
    def port(self) -> int:
        return self._ports["port"]

    def until(self, prefix: str, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Wait until ``condition`` is true of the records below a prefix, by key; return them."""
        index = 0
        for _ in range(200):
            url = f"http://127.0.0.1:{self.port}/v1/kv/{prefix}?recurse&wait=2s&index={index}"
            try:
                with urllib.request.urlopen(url, timeout=10) as answer:
                    index, rows = int(answer.headers["X-Consul-Index"]), json.load(answer)
            except urllib.error.HTTPError as none:  # 404: there are no records
                index, rows = int(none.headers["X-Consul-Index"]), []
            found = {row["Key"]: row for row in rows}
            if condition(found):
                return found
        raise AssertionError(f"{prefix}: {found}")

    def _fault(self, kind: str, on: bool, **more: Any) -> None:
        (self._faults.add if on else self._faults.discard)(kind)
        self.call("fault", kind=kind, on=on, **more)

    def cut(self, number: int, on: bool = True) -> None:
        self._fault("cut", on, clients=[self._hosts[number]])

    def gone(self, on: bool = True) -> None:
        self._fault("gone", on)

    def busy(self, on: bool = True) -> None:
        self._fault("too_many", on)

    def hang(self, on: bool = True) -> None:
        """Connections come up, nothing is answered and nothing is done."""
        self._fault("hang", on)

    def no_leader(self, on: bool = True) -> None:
        self._fault("no_leader", on)

    def slow(self, ms: float, on: bool = True) -> None:
        self._fault("slow", on, ms=ms)

    def lose_answer(self) -> None:
        self._fault("lose_answers", True, count=1)

    def save(self) -> None:
        self.call("save")

    def restore(self) -> None:
        self.call("restore")

    def expire(self, lease: str) -> None:
        self.call(f"expire?session={lease}")

    def close(self) -> None:
        for kind in list(self._faults):
            self._fault(kind, False)
        for transport in self._transports:
            transport.stop()

    @classmethod
    def end(cls) -> None:
        """End the process of the service."""
        if cls._process is not None:
            with suppress(OSError):
                cls._process.communicate(timeout=10)
            cls._process = None
