"""What one piece of work costs with the number of backends: ``python -m lupinlink.lab.backend_cost``.

Prints, for each piece of work, its cost with the fewest backends and the ratios of the others to that, all of
them from one run: ratios can be compared between machines, times can't.
"""

from __future__ import annotations

import gc
import json
import sys
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.interface import Effect, Endpoint, MembershipKind, RequestClass, Settings, Status
from lupinlink.net.backend_list import BackendList
from lupinlink.net.list_format import ObjectSplitter
from lupinlink.net.list_reader import ListReader

SIZES = (200, 800, 3200, 6400)
PEERS = 6
REPEATS = 5  # the least of so many counts: whatever else the machine does only adds
START_MS = 1e12
SERVED = 500  # requests at a time
Work = Callable[[int], Callable[[], None]]  # for so many backends: what is timed


class Stand:
    """One node with its timers, driven by hand."""

    def __init__(
        self, backends: int, cold: bool = False, keys: bool = False, subscribe: bool = False
    ) -> None:
        cls = RequestClass(300.0, 1000.0, effect=Effect.SAFE)
        settings = Settings(
            classes=(cls,), peers=PEERS, subscribe=subscribe, max_attempts=3, cold_share=0.1, cold_ms=60000.0,
            warm_keys=keys,
        )  # fmt: skip
        self.node, self.now, self.number = Balancer(settings, Random(1)), START_MS, 0
        self.timers: list[tuple[float, int]] = []
        started = START_MS - 100.0 if cold else 0.0
        rows = [Endpoint(f"s-{i}", cell=i % 40, started_ms=started) for i in range(backends)]
        self.give(api.Membership(MembershipKind.FULL, rows))
        self.serve_many()

    def give(self, event: api.Event) -> list[api.Action]:
        """One event."""
        actions = self.node.handle(self.now, event)
        self.timers += [(self.now + a.delay_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def ask(self) -> list[api.Action]:
        """One request."""
        self.number += 1
        name, key = str(self.number), f"k{self.number % 500}"
        return self.give(api.Arrival(name, 0, -1, self.now + 1000.0, key=key))

    def serve(self) -> None:
        """One request and its answer, 20 ms later."""
        for action in self.ask():
            if isinstance(action, api.Send):
                self.until(self.now + 20.0)
                outcome = api.Outcome(action.request_id, Status.OK, 20.0, 0, True, action.endpoint)
                self.give(outcome)

    def serve_many(self) -> None:
        """Some hundred requests, one after another."""
        for _ in range(SERVED):
            self.serve()

    def wait_in_vain(self) -> None:
        """Forty requests that wait for most of a second."""
        for _ in range(40):
            self.ask()
        self.until(self.now + 900.0)

    def until(self, at: float) -> None:
        """Let time pass."""
        while self.timers and min(self.timers)[0] <= at:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.give(api.TimerFired(due[1]))
        self.now = max(self.now, at)


def served(backends: int) -> Callable[[], None]:
    """Ten seconds of requests without keys that are served."""
    return Stand(backends).serve_many


def keyed(backends: int) -> Callable[[], None]:
    """The same with keys."""
    return Stand(backends, keys=True).serve_many


def held(backends: int) -> Callable[[], None]:
    """Forty requests that wait for discovery, for most of a second."""
    stand = Stand(backends, subscribe=True)
    stand.give(api.DiscoveryWatchEnded(last_activity_at=stand.now, timed_out=False))
    stand.until(stand.now + 500.0)

    return stand.wait_in_vain


def cold(backends: int) -> Callable[[], None]:
    """The same for backends that have all just started and have no token."""
    stand = Stand(backends, cold=True)
    for server in stand.node.servers.values():
        server.tokens = -1e6

    return stand.wait_in_vain


def quiet(backends: int) -> Callable[[], None]:
    """Ten seconds without a request."""
    stand = Stand(backends)
    return lambda: stand.until(stand.now + 10000.0)


def changed(backends: int) -> Callable[[], None]:
    """A hundred objects of one backend each, for the module."""
    stand = Stand(backends)

    def work() -> None:
        for i in range(100):
            row = Endpoint(f"s-{i}", cell=i % 40, size_hint=1.0 + i % 2)
            stand.give(api.Membership(MembershipKind.DELTA, [row]))

    return work


def entries(backends: int) -> Iterator[dict[str, Any]]:
    """A list of so many, in discovery's form."""
    for i in range(backends):
        yield {"uid": f"s-{i:08x}", "endpoint": f"10.{i // 250}.0.{i % 250}:7070", "az": "a", "model": "m",
               "pod_group": i % 40, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip


def unchanged_list(backends: int) -> Callable[[], None]:
    """One whole list that is as it was, from its bytes on; a cost for each entry."""
    reader, known = ListReader(Settings(classes=(RequestClass(300.0, 1000.0),))), BackendList()
    raw = {"rev": 1, "all": True, "targets": list(entries(backends))}
    text = json.dumps(raw).encode() + b"\n"
    known.apply(reader.read(raw), MembershipKind.CACHED, START_MS)

    def work() -> None:
        for one in ObjectSplitter().feed(text):
            known.apply(reader.read(one), MembershipKind.FULL, START_MS)

    return work


WORK: dict[str, Work] = {
    "requests served": served,
    "requests with keys served": keyed,
    "requests held": held,
    "requests before cold backends": cold,
    "quiet time": quiet,
    "news of one backend": changed,
    "whole list, unchanged": unchanged_list,
}


def cost_ms(work: Work, backends: int) -> float:
    """The least of some runs."""
    took = []
    for _ in range(REPEATS):
        timed = work(backends)
        gc.collect()
        began = time.process_time()
        timed()
        took.append((time.process_time() - began) * 1000.0)
    return min(took)


def main() -> int:
    """Print the table; there is nothing to choose."""
    if len(sys.argv) > 1:
        print(f"backend_cost: {' '.join(sys.argv[1:])!r}: it takes no words", file=sys.stderr)
        return 2
    print(f"{'work':32}{f'ms at {SIZES[0]}':>12}" + "".join(f"{f'x at {size}':>12}" for size in SIZES[1:]))
    for name, work in WORK.items():
        costs = [cost_ms(work, size) for size in SIZES]
        ratios = "".join(f"{cost / costs[0]:12.2f}" for cost in costs[1:])
        print(f"{name:32}{costs[0]:12.2f}{ratios}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
