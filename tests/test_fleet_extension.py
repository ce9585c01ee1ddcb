"""A proxy with a fleet extension: refusals by quota, management calls, and the state of the host."""

from __future__ import annotations

import http.client
import json
import threading
import time
import unittest
from typing import Any, ClassVar

from tests import test_operations
from tests.proxy_process import OK, WAIT, ApplicationServer, ProxyProcessTest, row

ZONED: dict[str, Any] = {"az": "b"}


class ExtensionStage(ProxyProcessTest):
    """A proxy with the scripted extension, and two application servers."""

    module: ClassVar[str] = "tests.scripted_extension"
    settings: ClassVar[dict[str, Any]] = {"ReportsIn": "answer"}

    def setUp(self) -> None:
        super().setUp()
        self.servers = [self.peer(ApplicationServer()) for _ in range(2)]
        rows = [row("s-1", self.servers[0]), row("s-2", self.servers[1], state="terminating", **ZONED)]
        self.start(*rows, env={"LB_MGMT": "127.0.0.1:0"})
        self.await_up()  # requests are held until discovery has answered

    def management_call(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        connection = http.client.HTTPConnection("127.0.0.1", self.door, timeout=WAIT)
        try:
            connection.request(method, path, body or None)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def host_state(self) -> dict[str, Any]:
        status, text = self.management_call("GET", "/control/fleet")
        self.assertEqual(status, 200, text)
        found: dict[str, Any] = json.loads(text)
        return found

    def host_state_when(self, **expected: Any) -> dict[str, Any]:
        """The host's state, once it has these values."""
        until = time.monotonic() + WAIT
        while any((state := self.host_state())[name] != value for name, value in expected.items()):
            self.assertLess(time.monotonic(), until, state)
        return state


class QuotaRefusals(ExtensionStage):
    def quota(self, client: http.client.HTTPConnection, text: str) -> http.client.HTTPResponse:
        headers = {"X-Trace-Id": f"q{next(self.ids)}", "X-Quota": text}
        client.request("GET", "/look/1", headers=headers)
        return client.getresponse()

    def test_a_refusal_is_immediate_and_does_not_affect_admitted_requests(self) -> None:
        release = threading.Event()
        self.servers[0].answer = lambda headers: OK if release.wait(WAIT) else None
        admitted, client = self.client(), self.client()
        self.send(admitted)
        self.host_state_when(requests=1)
        for text, after in (("250", "0.250"), ("0", None), ("1500.4", "1.500")):
            answer = self.quota(client, text)
            self.assertEqual((answer.status, answer.headers["Retry-After"]), (429, after))
            self.assertEqual((answer.read(), answer.headers["Connection"]), (b"", None))
        state = self.host_state()
        self.assertEqual((state["requests"], state["settled"], len(state["asked"])), (1, [], 4))
        counters = state["counters"]
        self.assertEqual(
            [counters.get(n) for n in ("refused", "refused_quota", "requests", "attempts")], [3, 3, 1, 1]
        )
        release.set()
        self.assertEqual(admitted.getresponse().read(), b"ok")
        self.assertEqual(self.ask(client).read(), b"ok")  # on the connection of the refusals
        self.assertEqual(
            [self.servers[0].seen.get(timeout=WAIT)[1]["x-trace-id"] for _ in "12"], ["t1", "t5"]
        )
        self.assertEqual(self.host_state()["settled"], ["t1 127.0.0.1", "t5 127.0.0.1"])

    def test_a_body_is_dropped_and_a_large_one_refused_before_its_end(self) -> None:
        head = b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: t\r\nIdempotency-Key: k\r\nX-Quota: 40\r\n"
        got = self.raw(head + b"Content-Length: 600000\r\n\r\n" + b"x" * 300000)
        self.assertTrue(got.startswith(b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.040\r\n"), got[:80])
        whole = self.connect(head + b"Content-Length: 40000\r\n\r\n" + b"x" * 40000)
        self.assertTrue(whole.recv(4096).startswith(b"HTTP/1.1 429 "))
        self.assertEqual(self.gauges()["bytes_held"], 0)

    def test_an_exception_in_the_quota_fails_that_request_only(self) -> None:
        client = self.client()
        answer = self.quota(client, "broken")
        self.assertEqual((answer.status, answer.read()), (500, b"internal error\n"))
        self.assertEqual(self.ask(client).read(), b"ok")
        self.assertEqual(self.servers[0].seen.qsize(), 1)

    def test_refusals_of_the_decision_module_are_counted_separately(self) -> None:
        answer = self.ask(ms=1)  # no server answers in that time
        self.assertEqual(answer.status, 503)
        counters = self.host_state()["counters"]
        self.assertEqual(
            [counters.get(n) for n in ("refused", "refused_module", "refused_quota")], [1, 1, None]
        )


class ManagementWithExtension(test_operations.ManagementApi):
    """The management API works the same with an extension."""

    module: ClassVar[str] = "tests.scripted_extension"


class ExtensionCalls(ExtensionStage):
    def test_a_call_gets_its_query_and_a_body_of_64_kib(self) -> None:
        body = b"x" * 65535 + b"y"
        path = "/control/fleet?a=1%20%2B+2&b="
        self.assertEqual(self.management_call("POST", path, body), (200, "65536 y {'a': '1 + 2', 'b': ''}\n"))
        self.assertEqual(self.management_call("GET", "/control/ready", b"x" * 9000), (200, "yes\n"))

    def test_a_wrong_call_is_answered_with_one_line(self) -> None:
        cases = [
            ("POST", "/control/fleet", b"x" * 65537, 413, "body too large"),
            ("PUT", "/control/fleet?now", b"", 400, "query: bad query field: 'now'"),
            ("PUT", "/control/fleet?do=drain&do=end", b"", 400, "query: 'do' is given twice"),
            ("PUT", "/control/fleet?do=%ff", b"", 400, "query: 'utf-8' codec"),
            ("PUT", "/control/fleet?do=x", b"", 422, "do: 'x' is none of"),
            ("PUT", "/control/fleet?do=withhold", b"", 500, "internal error"),
            ("DELETE", "/control/fleet", b"", 405, "method not allowed"),
            ("GET", "/control/fleets", b"", 404, "no such call"),
        ]
        for method, path, body, status, expected in cases:
            with self.subTest(path=path):
                found, text = self.management_call(method, path, body)
                self.assertEqual((found, text.count("\n")), (status, 1), text)
                self.assertIn(expected, text)


class HostState(ExtensionStage):
    def test_the_host_reports_connections_requests_and_servers(self) -> None:
        server = self.servers[0]
        report = b"\r\nEndpoint-Load-Metrics: TEXT util=0.75\r\n\r\n"
        server.answer = lambda headers: OK.replace(b"\r\n\r\n", report)
        idle = self.client()
        self.ask(idle).read()
        state = self.host_state_when(idle=1)
        self.assertEqual(
            (state["name"], state["stand"], state["ready"], state["ends_soon"]),
            ("n1", "in service", True, False),
        )
        self.assertEqual(
            state["servers"], [["s-1", "a", "ready", True, 0.0], ["s-2", "b", "draining", True, 0.0]]
        )
        self.assertEqual((state["use"], state["uses"], state["servers_ready"]), (0.75, {"s-1": 0.75}, 1))
        self.assertEqual((state["connections"], state["busy"], state["oldest_ms"]), (1, 0, 0.0))
        self.assertEqual((state["outcomes"], state["held"]), ({"s-1": [1, 1, 0, 0]}, []))
        # For partly transferred answers and bodies, the remaining bytes and the age of the oldest are known.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
        server.answer = lambda headers: head + b"x" * 20000
        self.assertEqual(self.ask().status, 200)
        sending = self.connect(b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: b\r\nIdempotency-Key: k\r\n"
                               b"Content-Length: 5000\r\n\r\n" + b"x" * 2000)  # fmt: skip
        state = self.host_state_when(busy=2, idle=1, requests=0, bytes_to_go=9000000 - 20000 + 5000 - 2000)
        self.assertEqual(state["held"], ["s-1"])
        self.assertTrue(0.0 < state["oldest_ms"] < WAIT * 1000.0, state)
        self.assertEqual((state["untold"], state["unread"]), (0, 0))
        sending.close()
        server.answer = lambda headers: head + b"x" * 8999999
        self.assertEqual(self.ask().status, 200)  # none of its body is read
        self.host_state_when(unread=1)

    def test_drain_return_to_service_and_stop_through_the_host(self) -> None:
        self.assertEqual(self.management_call("PUT", "/control/fleet?do=drain"), (202, "drain\n"))
        self.assertEqual(
            (self.up(), self.host_state()["stand"], self.host_state()["drained"]), (503, "draining", True)
        )
        self.assertEqual(self.management_call("PUT", "/control/fleet?do=in-service")[0], 200)
        self.assertEqual((self.up(), self.host_state()["drained"]), (200, False))
        self.assertEqual(self.management_call("PUT", "/control/fleet?do=end")[0], 202)
        self.line("msg=stopping-told ends_soon=True")
        self.assertEqual(self.management_call("PUT", "/control/fleet?do=in-service")[0], 409)
        self.assertEqual(self.process.wait(WAIT), 0)
        while "msg=counters at=exit" not in (line := self.log.get(timeout=WAIT)):
            self.assertNotIn("stopping-told", line)  # no second time


if __name__ == "__main__":
    unittest.main()
