"""Calls of operators that wait unread, more of them than the management API keeps connections."""

from __future__ import annotations

import unittest
from contextlib import suppress

from lupinlink.net.management import connection_limit
from tests.loopback_servers import WAIT
from tests.proxy_process import ApplicationServer, row
from tests.test_crossing_clients import PausableProxyTest

CALL = b"GET /control/ready HTTP/1.1\r\nHost: test\r\n\r\n"


class CallsAtOnce(PausableProxyTest):
    # Guards against a call that was written whole being reset unread to make room for a later one.
    def test_calls_that_wait_together_are_all_answered(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())), env={"LB_MGMT": "127.0.0.1:0"})
        self.await_up()
        clients_port, self.port = self.port, self.door
        self.pause()
        callers = [self.connect(CALL) for _ in range(2 * connection_limit(self.limits["sockets"]))]
        self.resume()
        answers = []
        for caller in callers:
            caller.settimeout(WAIT)
            with suppress(ConnectionError):
                answers.append(caller.recv(4096)[:12])
        self.assertEqual(answers, [b"HTTP/1.1 200"] * len(callers))
        self.port = clients_port


if __name__ == "__main__":
    unittest.main()
