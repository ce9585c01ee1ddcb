"""A pool of one application server on a reactor that the test iterates, to force an order of events."""

from __future__ import annotations

import select
import socket
import unittest
from collections.abc import Callable
from typing import Any

from lupinlink.interface import Endpoint, EndpointState
from lupinlink.net.request_types import AttemptResult
from tests import test_crossing_answers


class ManualReactorTest(unittest.TestCase):
    """One pool on a reactor that only runs when the test iterates it."""

    def setUp(self) -> None:
        self.loop = test_crossing_answers.Crossings()
        self.loop.setUp()
        self.addCleanup(self.loop.doCleanups)
        self.servers, self.reactor = self.loop.servers, self.loop.reactor

    def update_server(self, state: EndpointState = EndpointState.READY, **more: Any) -> None:
        host, port = more.pop("address", self.loop.listener.getsockname())
        self.servers.update_list([(Endpoint("s-1", state=state, **more), host, port)], False)

    def drain(self) -> None:
        self.update_server(EndpointState.DRAINING)

    def iterate(self, times: int = 5) -> None:
        for _ in range(times):
            self.reactor.iterate(0.01)

    def until_ended(self, ends: list[AttemptResult]) -> None:
        self.loop.iterate_until(lambda: ends)

    def received_by(self, server: socket.socket) -> bytes:
        """What has reached the server by now, without an iteration of the reactor."""
        return server.recv(1 << 20) if select.select([server], [], [], 0)[0] else b""

    @staticmethod
    def end_of(server: socket.socket) -> bytes:
        """What the server still receives when its connection is closed; empty for a close or reset."""
        try:
            return server.recv(65536)
        except ConnectionResetError:
            return b""


def update_that(act: Callable[[], object]) -> Callable[[], bool]:
    """A ``read_pending_updates`` during which ``act`` happens, and that leaves no update incomplete."""

    def look() -> bool:
        act()
        return False

    return look
