"""What happens within one turn of the reactor: a pool of one application server, turned by hand."""

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
    """One pool on a reactor that turns only when told to."""

    def setUp(self) -> None:
        self.loop = test_crossing_answers.Crossings()
        self.loop.setUp()
        self.addCleanup(self.loop.doCleanups)
        self.servers, self.reactor = self.loop.servers, self.loop.reactor

    def learn(self, state: EndpointState = EndpointState.READY, **more: Any) -> None:
        host, port = more.pop("address", self.loop.listener.getsockname())
        self.servers.update_list([(Endpoint("s-1", state=state, **more), host, port)], False)

    def drain(self) -> None:
        self.learn(EndpointState.DRAINING)

    def turn(self, times: int = 5) -> None:
        for _ in range(times):
            self.reactor.iterate(0.01)

    def until_ended(self, ends: list[AttemptResult]) -> None:
        self.loop.turn_until(lambda: ends)

    def came(self, server: socket.socket) -> bytes:
        """What has reached the server by now, without a turn of the reactor."""
        return server.recv(1 << 20) if select.select([server], [], [], 0)[0] else b""

    @staticmethod
    def end_of(server: socket.socket) -> bytes:
        """What is still to come there once its connection is closed."""
        try:
            return server.recv(65536)
        except ConnectionResetError:
            return b""


def news_that(act: Callable[[], object]) -> Callable[[], bool]:
    """A look for news in which this happens, and all that has come is whole."""

    def look() -> bool:
        act()
        return False

    return look
