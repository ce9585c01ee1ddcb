"""Servers whose address gets another owner: picture (e) of incident 5e36ff, work at the wrong place."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections import Counter
from functools import partial
from itertools import count
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, chunk, listing
from tests.scripted_peers import Exchange, ScriptedServer, answer, ask, request

SWAPS, SWAP_S, CLIENTS = 6, 0.5, 6
WORK_S = 0.02


class AddressOwners(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [
            {"Name": "look", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "pure"},
            {"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"},
        ],
    }

    def setUp(self) -> None:
        super().setUp()
        self.runs: Counter[str] = Counter()
        self.places: list[tuple[float, str, str]] = []  # when, the id, the process
        self.lock = threading.Lock()
        self.revisions = count(42)
        self.halt = threading.Event()
        self.addCleanup(self.halt.set)
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        for listener in self.listeners:
            listener.close()

    def work(self, name: str, exchange: Exchange) -> None:
        with self.lock:
            self.runs[exchange.identity] += 1
            self.places.append((time.monotonic(), exchange.identity, name))
        exchange.read_body()
        time.sleep(WORK_S)
        exchange.send(answer(exchange.identity.encode()))

    def process_at(self, port: int, name: str) -> Any:
        """A new server process at this address."""
        return self.peer(ScriptedServer({"x": partial(self.work, name)}, port=port))

    def entry(self, uid: str, port: int, state: str = "in_service", boot_ms: int = 0) -> dict[str, Any]:
        return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "a", "model": "m", "pod_group": 0,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}  # fmt: skip

    def load(self, results: list[tuple[str, int, float]]) -> None:
        numbers = count()

        def client(number: int) -> None:
            while not self.halt.is_set():
                cls, identity = ("look", "note")[number % 2], f"c{number}-{next(numbers)}"
                found = ask(self.port, request(f"/{cls}/x", identity, 1.5))
                results.append((identity, found.status, found.last_s))

        for number in range(CLIENTS):
            threading.Thread(target=client, args=(number,), daemon=True).start()

    # Guards against: a new process at the address of one that has gone is taken for it.
    def test_processes_that_take_over_the_address_of_another(self) -> None:
        steady = self.entry("s-steady", self.ports[0])
        self.process_at(self.ports[0], "s-steady")
        owner = self.process_at(self.ports[1], "s-0")
        self.start(steady, self.entry("s-0", self.ports[1]))
        watch = self.discovery.watch()
        self.await_up()
        results: list[tuple[str, int, float]] = []
        self.load(results)
        for number in range(SWAPS):
            time.sleep(SWAP_S)
            owner.die()
            name, before = f"s-{number + 1}", f"s-{number}"
            owner = self.process_at(self.ports[1], name)
            time.sleep(0.02 * number)  # the list tells of it that much later
            rows = [self.entry(before, self.ports[1], "terminated"), self.entry(name, self.ports[1])]
            watch.sendall(chunk(json.dumps(listing(next(self.revisions), False, *rows)) + "\n"))
        time.sleep(SWAP_S)
        self.halt.set()
        time.sleep(0.3)
        self.assertFalse([one for one in results if not one[1] or one[2] > 2.0])
        twice = [identity for identity, runs in self.runs.items() if runs > 1 and int(identity[1]) % 2]
        self.assertFalse(twice)
        self.assertTrue({name for _, _, name in self.places} >= {f"s-{n}" for n in range(1, SWAPS + 1)})
