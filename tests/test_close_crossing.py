"""Requests that come while the proxy closes their connection, in a process whose event loop is held up."""

from __future__ import annotations

import signal
import threading
import time
import unittest
from contextlib import suppress
from random import Random
from typing import Any, ClassVar

from lupinlink.net.clients.phases import Phase
from lupinlink.net.lifecycle import DRAIN_IDLE_MS, STOP_IDLE_MS
from tests.crossing_judge import CrossingClient, CrossingTest
from tests.held_process import HOLD_S
from tests.proxy_process import ApplicationServer, row

CLIENTS = 120
SPREAD_S = 6 * HOLD_S  # how far the decision may lie from its due time, as the loop's turns come late
MANAGED = {"LB_MGMT": "127.0.0.1:0"}


class HeldUpProcess(CrossingTest):
    """Clients write evenly over the time in which the proxy may close their connections."""

    module: ClassVar[str] = "tests.held_process"

    def serve(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())), env=MANAGED)
        self.await_up()

    def answered_clients(self, number: int = CLIENTS) -> list[CrossingClient]:
        """Clients whose connections rest after an answer."""
        clients = [self.crossing_client(f"c{i}") for i in range(number)]
        for client in clients:
            client.write()
        self.assertNotIn(None, [client.answer() for client in clients])
        return clients

    def ask_around(self, clients: list[CrossingClient], since: float, due_s: float) -> None:
        """Each client writes one request; the connections are due to be closed ``due_s`` after ``since``."""
        pace_s = 2.0 * SPREAD_S / len(clients)
        Random(1).shuffle(clients)
        threads = [
            threading.Thread(target=self.ask_after, args=(client, since + due_s - SPREAD_S + i * pace_s))
            for i, client in enumerate(clients)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.lost, [])


class IdleConnections(HeldUpProcess):
    # Guards against a request lost to the idle time-out: read after the decision, its connection ended late.
    def test_a_request_at_the_idle_time_out_is_answered_or_crossed_at_once(self) -> None:
        self.serve()
        clients = self.answered_clients()
        self.ask_around(clients, time.monotonic(), Phase.RESTING.limit_ms / 1000.0)

    # Guards against a first request lost to the time-out of a new connection on which nothing has come.
    def test_a_first_request_at_the_time_out_of_a_silent_connection(self) -> None:
        self.serve()
        clients = [self.crossing_client(f"c{i}") for i in range(CLIENTS)]
        self.ask_around(clients, time.monotonic(), Phase.SILENT.limit_ms / 1000.0)

    # Guards against a request lost to the close of idle connections in a drain.
    def test_a_request_as_a_drain_closes_idle_connections(self) -> None:
        self.serve()
        clients = self.answered_clients()
        self.assertEqual(self.call("PUT", "/control/out-of-service"), 200)
        self.ask_around(clients, time.monotonic(), DRAIN_IDLE_MS / 1000.0)

    # Guards against a request lost to the close of idle connections after SIGTERM.
    def test_a_request_as_a_stop_closes_idle_connections(self) -> None:
        self.serve()
        clients = self.answered_clients()
        self.process.send_signal(signal.SIGTERM)
        self.ask_around(clients, time.monotonic(), STOP_IDLE_MS / 1000.0)
        self.assertEqual(self.process.wait(), 0)


class Crowd(HeldUpProcess):
    """Idle clients fill the descriptors, while others use their connections."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 192, "sockets": 200}
    PLAY_S = 6.0
    USERS, IDLERS, IDLER_PACE_S = 60, 150, 0.01

    # Guards against a request lost as its connection is closed to make room for others.
    def test_a_request_as_its_connection_makes_room_for_others(self) -> None:
        self.serve()
        until = time.monotonic() + self.PLAY_S
        threads = [threading.Thread(target=self._fill, args=(until,))]
        threads += [
            threading.Thread(target=self._use, args=(Random(number), until)) for number in range(self.USERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.lost, [])
        self.assertGreater(self.answered, 10 * self.USERS)
        self.assertGreater(self.gauges()["made_room"], 0)

    def _use(self, rng: Random, until: float) -> None:
        client: CrossingClient | None = None
        while time.monotonic() < until:
            with suppress(OSError):
                client = client or CrossingClient(self.port, f"u{rng.random()}")
                if self.ask_after(client, time.monotonic() + rng.uniform(0.0, 0.3)):
                    continue
            if client is not None:
                client.close()
            client = None

    def _fill(self, until: float) -> None:
        idlers = []
        while time.monotonic() < until:
            with suppress(OSError):
                idlers.append(CrossingClient(self.port, "idle"))
            if len(idlers) > self.IDLERS:
                idlers.pop(0).close()
            time.sleep(self.IDLER_PACE_S)
        for idler in idlers:
            idler.close()


if __name__ == "__main__":
    unittest.main()
