"""A node whose server records count how often their attributes are read."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from lupinlink import interface as api
from lupinlink import node as node_module
from lupinlink.interface import Endpoint, MembershipKind, Server, Settings
from tests.helpers import NodeHarness


class CountedServer(Server):
    """Counts attribute reads over all servers."""

    reads = 0

    def __getattribute__(self, name: str) -> object:
        CountedServer.reads += 1
        return super().__getattribute__(name)


class CountedNodeHarness(NodeHarness):
    """A node with ``backends`` backends; times are Unix time in ms, as on sockets."""

    def __init__(self, settings: Settings, backends: int, started_ms: float = 0.0) -> None:
        with ExitStack() as patches:
            patches.enter_context(patch.object(node_module, "Server", CountedServer))
            super().__init__(settings, "")
            self.now = 1e12
            rows = [
                Endpoint(f"s-{i}", cell=i % 40, started_ms=started_ms and self.now - started_ms)
                for i in range(backends)
            ]
            self.discover(rows)
            self.rng = Random(1)
            for i in range(50):  # work done only once is not counted
                self.finish_all(f"warm-{i}", self.ask(f"warm-{i}"))

    def finish_all(self, name: str, actions: list[api.Action], status: api.Status = api.Status.OK) -> None:
        """End the attempts among ``actions`` with ``status``, 20 ms later each."""
        for action in actions:
            if isinstance(action, api.Send):
                self.advance_to(self.now + 20.0)
                self.end(name, status, action.endpoint)

    def update_endpoint(self, number: int) -> None:
        """Update one backend of the list."""
        self.discover([Endpoint(f"s-{number}", cell=number % 40, size_hint=2.0)], MembershipKind.DELTA)


def count_reads(work: Callable[[], None]) -> int:
    """Attribute reads of servers while ``work`` runs."""
    before = CountedServer.reads
    work()
    return CountedServer.reads - before
