"""Requests that a load balancer held while their proxies were restarted, and that have little time left.

The server and the discovery are silent, so that every answer is the proxy's own, when it thinks the time is
over.
"""

from __future__ import annotations

import http.client
import socket
import subprocess
import threading
import time

from tests.proxy_process import OK, WAIT, ApplicationServer, ProxyProcessTest, row

EXPIRES_MS = 2000  # the class's hard limit in the shared settings
SLACK_S = 0.5  # an answer is lost if it comes later than this after its client's time
HELD_S = 0.7  # how long the load balancer retries a dead address before the proxy is back


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


class HeldByTheFront(ProxyProcessTest):
    def serve(self, *ports: int) -> list[subprocess.Popen[str]]:
        """Start processes on these addresses together; returns once each of them serves."""
        rows = [row("s-1", self.silent)]
        started = [self.launch({**self.config(*rows), "listen": f"127.0.0.1:{port}"}) for port in ports]
        for _, log in started:
            self.line("msg=serving", log)
        return [process for process, _ in started]

    def hold(self, port: int, held: threading.Event, answers: list[tuple[float, int]]) -> None:
        """A load balancer: forwards a request of now as soon as the address accepts connections."""
        sent = time.monotonic()
        while time.monotonic() - sent < WAIT:
            try:
                client = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
                client.sock = socket.create_connection(("127.0.0.1", port), WAIT)
            except ConnectionRefusedError:
                if time.monotonic() - sent >= HELD_S:
                    held.set()
                continue
            self.addCleanup(client.close)
            self.send(client, ms=EXPIRES_MS)
            answers.append((time.monotonic() - sent, client.getresponse().status))
            return

    def test_proxies_after_a_kill_of_three_in_four_refuse_held_requests_in_time(self) -> None:
        self.silent = self.peer(ApplicationServer(None))
        ports = [free_port() for _ in range(4)]
        for process in self.serve(*ports)[1:]:  # three in four are killed at once
            process.kill()
            process.wait(WAIT)
        answers: list[tuple[float, int]] = []
        held = {port: threading.Event() for port in ports[1:]}
        fronts = [threading.Thread(target=self.hold, args=(p, e, answers)) for p, e in held.items()]
        for front in fronts:
            front.start()
        self.assertTrue(all(event.wait(WAIT) for event in held.values()))
        self.serve(*ports[1:])
        for front in fronts:
            front.join(WAIT)
        self.assertEqual([status for _, status in answers], [503] * 3)  # never sent on: a retry is safe
        self.assertLess(max(took for took, _ in answers), EXPIRES_MS / 1000.0 + SLACK_S, answers)
        # A connection that is made now has not waited, so its request is sent to the server.
        self.silent.answer = lambda headers: OK
        for port in ports[1:]:
            client = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
            self.addCleanup(client.close)
            self.send(client, ms=EXPIRES_MS)
            self.assertEqual(client.getresponse().status, 200)

    def test_a_fresh_request_has_all_of_its_time(self) -> None:
        self.silent = self.peer(ApplicationServer(None))
        port = free_port()
        self.serve(port)
        client = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        self.addCleanup(client.close)
        sent = time.monotonic()
        self.send(client, ms=EXPIRES_MS)  # connects after the accept queue was empty
        self.assertIn(client.getresponse().status, (503, 504))
        self.assertGreater(time.monotonic() - sent, EXPIRES_MS / 1000.0 - 0.2)  # not cut short
