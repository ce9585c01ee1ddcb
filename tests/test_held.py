"""Requests that a front held for a dead proxy: their clients' time ran before it could read them.

Several real processes; most are killed at once and started again on their addresses. The front has not
yet seen them die and holds what its clients send until the address listens again. The only application
server is silent and discovery never answers (it has too many callers), so every answer is the proxy's
own, at the end of the time it believes a request has.
"""

from __future__ import annotations

import http.client
import socket
import threading
import time
from typing import Any

from tests.stage import WAIT, ApplicationServer, Stage, row

EXPIRES_MS = 2000  # the class's hard limit in the shared settings
SLACK_S = 0.5  # an answer later than this beyond its client's time is lost
HELD_S = 0.7  # the front goes on trying a dead address for so long before the proxy is back


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


class HeldByTheFront(Stage):
    def setUp(self) -> None:
        super().setUp()
        self.silent = self.peer(ApplicationServer(None))

    def fleet_config(self, name: str, port: int) -> dict[str, Any]:
        return {**self.config(row("s-1", self.silent)), "name": name, "listen": f"127.0.0.1:{port}"}

    def serve(self, *ports: int) -> list[Any]:
        """Processes on these addresses, started together; once each of them serves."""
        started = [self.launch(self.fleet_config(f"n{port}", port)) for port in ports]
        for _, log in started:
            self.line("msg=serving", log)
        return [process for process, _ in started]

    def hold(self, port: int, held: threading.Event, answers: list[tuple[float, int]]) -> None:
        """The front: the client sends now; its request goes on once the address takes connections."""
        sent = time.monotonic()
        while True:
            try:
                connection = socket.create_connection(("127.0.0.1", port), WAIT)
                break
            except ConnectionRefusedError:
                if time.monotonic() - sent >= HELD_S:
                    held.set()
                self.assertLess(time.monotonic() - sent, WAIT)
        client = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        client.sock = connection
        self.addCleanup(client.close)
        self.send(client, ms=EXPIRES_MS)
        status = client.getresponse().status
        answers.append((time.monotonic() - sent, status))

    def test_a_held_request_is_answered_within_its_clients_time(self) -> None:
        ports = [free_port() for _ in range(4)]
        fleet = self.serve(*ports)
        for process in fleet[1:]:  # three in four are killed at once
            process.kill()
            process.wait(WAIT)
        answers: list[tuple[float, int]] = []
        fronts = []
        for port in ports[1:]:
            held = threading.Event()
            front = threading.Thread(target=self.hold, args=(port, held, answers), daemon=True)
            front.start()
            fronts.append((front, held))
        for _, held in fronts:
            self.assertTrue(held.wait(WAIT))
        self.serve(*ports[1:])
        for front, _ in fronts:
            front.join(WAIT)
        self.assertEqual(len(answers), 3)
        for took, status in answers:
            self.assertEqual(status, 503)  # refused, never sent on: trying again is harmless
            self.assertLess(took, EXPIRES_MS / 1000.0 + SLACK_S, answers)

    def test_a_fresh_request_has_all_of_its_time(self) -> None:
        port = free_port()
        self.serve(port)
        client = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        self.addCleanup(client.close)
        self.send(client, ms=EXPIRES_MS)  # opens the connection after the first look at the listener
        sent = time.monotonic()
        self.assertIn(client.getresponse().status, (503, 504))
        # Not cut short: the silent server had the time that the client gave, bar the proxy's margins.
        self.assertGreater(time.monotonic() - sent, EXPIRES_MS / 1000.0 - 0.2)
