"""What the log says of a client's connection that the proxy closes."""

from __future__ import annotations

import unittest

from tests.proxy_process import ApplicationServer, ProxyProcessTest, row

FIRST = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: first\r\nConnection: close\r\n\r\n"
BEHIND = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: behind\r\n\r\n"


class CloseLog(ProxyProcessTest):
    # Guards against a log that tells neither why a connection ended nor whose request went with it.
    def test_a_close_has_its_reason_and_the_requests_that_it_drops(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())), env={"LB_LOG": "debug"})
        self.await_up()
        self.assertTrue(self.raw(FIRST + BEHIND).startswith(b"HTTP/1.1 200 "))
        dropped = self.line("received data dropped by a close")
        for part in ("level=warning", 'why="last answer"', "ids=behind", f"bytes={len(BEHIND)}"):
            self.assertIn(part, dropped)
        self.assertIn('why="last answer"', self.line("client connection closed"))
        self.assertEqual(self.gauges()["bytes_dropped"], len(BEHIND))


if __name__ == "__main__":
    unittest.main()
