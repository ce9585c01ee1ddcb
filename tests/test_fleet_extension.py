"""What a fleet file adds to a real proxy: quota's refusals, calls at the door, and what the host tells."""

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


class Fleet(ProxyProcessTest):
    """A proxy with a fleet side, and two application servers."""

    module: ClassVar[str] = "tests.scripted_extension"
    settings: ClassVar[dict[str, Any]] = {"ReportsIn": "answer"}

    def setUp(self) -> None:
        super().setUp()
        self.servers = [self.peer(ApplicationServer()) for _ in range(2)]
        rows = [row("s-1", self.servers[0]), row("s-2", self.servers[1], state="terminating", **ZONED)]
        self.start(*rows, env={"LB_MGMT": "127.0.0.1:0"})
        self.await_up()  # requests are held until discovery has told

    def door_call(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        connection = http.client.HTTPConnection("127.0.0.1", self.door, timeout=WAIT)
        try:
            connection.request(method, path, body or None)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def told(self) -> dict[str, Any]:
        status, text = self.door_call("GET", "/control/fleet")
        self.assertEqual(status, 200, text)
        found: dict[str, Any] = json.loads(text)
        return found

    def told_when(self, **wanted: Any) -> dict[str, Any]:
        """What the host tells, once these read so."""
        until = time.monotonic() + WAIT
        while any((now := self.told())[name] != figure for name, figure in wanted.items()):
            self.assertLess(time.monotonic(), until, now)
        return now


class Quota(Fleet):
    def quota(self, client: http.client.HTTPConnection, text: str) -> http.client.HTTPResponse:
        headers = {"X-Trace-Id": f"q{next(self.ids)}", "X-Quota": text}
        client.request("GET", "/look/1", headers=headers)
        return client.getresponse()

    def test_a_refusal_is_told_at_once_and_touches_nothing_that_is_admitted(self) -> None:
        go_on = threading.Event()
        self.servers[0].answer = lambda headers: OK if go_on.wait(WAIT) else None
        admitted, client = self.client(), self.client()
        self.send(admitted)
        self.told_when(requests=1)
        for text, after in (("250", "0.250"), ("0", None), ("1500.4", "1.500")):
            answer = self.quota(client, text)
            self.assertEqual((answer.status, answer.headers["Retry-After"]), (429, after))
            self.assertEqual((answer.read(), answer.headers["Connection"]), (b"", None))
        now = self.told()
        self.assertEqual((now["requests"], now["settled"], len(now["asked"])), (1, [], 4))
        counters = now["counters"]
        self.assertEqual(
            [counters.get(n) for n in ("refused", "refused_quota", "requests", "attempts")], [3, 3, 1, 1]
        )
        go_on.set()
        self.assertEqual(admitted.getresponse().read(), b"ok")
        self.assertEqual(self.ask(client).read(), b"ok")  # on the connection that was refused on
        self.assertEqual(
            [self.servers[0].seen.get(timeout=WAIT)[1]["x-trace-id"] for _ in "12"], ["t1", "t5"]
        )
        self.assertEqual(self.told()["settled"], ["t1 127.0.0.1", "t5 127.0.0.1"])

    def test_a_body_is_dropped_and_a_large_one_refused_before_its_end(self) -> None:
        head = b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: t\r\nIdempotency-Key: k\r\nX-Quota: 40\r\n"
        got = self.raw(head + b"Content-Length: 600000\r\n\r\n" + b"x" * 300000)
        self.assertTrue(got.startswith(b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.040\r\n"), got[:80])
        whole = self.connect(head + b"Content-Length: 40000\r\n\r\n" + b"x" * 40000)
        self.assertTrue(whole.recv(4096).startswith(b"HTTP/1.1 429 "))
        self.assertEqual(self.gauges()["bytes_held"], 0)

    def test_a_fault_in_the_quota_fails_that_call_alone(self) -> None:
        client = self.client()
        answer = self.quota(client, "broken")
        self.assertEqual((answer.status, answer.read()), (500, b"internal error\n"))
        self.assertEqual(self.ask(client).read(), b"ok")
        self.assertEqual(self.servers[0].seen.qsize(), 1)

    def test_a_refusal_of_the_decisions_is_counted_in_the_same_place(self) -> None:
        answer = self.ask(ms=1)  # no server answers in that time
        self.assertEqual(answer.status, 503)
        counters = self.told()["counters"]
        self.assertEqual(
            [counters.get(n) for n in ("refused", "refused_module", "refused_quota")], [1, 1, None]
        )


class FleetDoor(test_operations.Door):
    """The door keeps its rules with a fleet side behind it."""

    module: ClassVar[str] = "tests.scripted_extension"


class FleetCalls(Fleet):
    def test_a_call_reads_its_query_and_a_body_of_64_kib(self) -> None:
        body = b"x" * 65535 + b"y"
        path = "/control/fleet?a=1%20%2B+2&b="
        self.assertEqual(self.door_call("POST", path, body), (200, "65536 y {'a': '1 + 2', 'b': ''}\n"))
        self.assertEqual(self.door_call("GET", "/control/ready", b"x" * 9000), (200, "yes\n"))

    def test_what_is_asked_wrongly_is_told_in_one_line(self) -> None:
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
        for method, path, body, status, said in cases:
            with self.subTest(path=path):
                found, text = self.door_call(method, path, body)
                self.assertEqual((found, text.count("\n")), (status, 1), text)
                self.assertIn(said, text)


class Hosted(Fleet):
    def test_what_is_here_is_told(self) -> None:
        server = self.servers[0]
        report = b"\r\nEndpoint-Load-Metrics: TEXT util=0.75\r\n\r\n"
        server.answer = lambda headers: OK.replace(b"\r\n\r\n", report)
        rests = self.client()
        self.ask(rests).read()
        now = self.told_when(idle=1)
        self.assertEqual(
            (now["name"], now["stand"], now["ready"], now["ends_soon"]), ("n1", "in service", True, False)
        )
        self.assertEqual(
            now["servers"], [["s-1", "a", "ready", True, 0.0], ["s-2", "b", "draining", True, 0.0]]
        )
        self.assertEqual((now["use"], now["uses"], now["servers_ready"]), (0.75, {"s-1": 0.75}, 1))
        self.assertEqual((now["connections"], now["busy"], now["oldest_ms"]), (1, 0, 0.0))
        self.assertEqual((now["outcomes"], now["held"]), ({"s-1": [1, 1, 0, 0]}, []))
        # Long answers of which a part is here: what is still to go is known, and how old the oldest is.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
        server.answer = lambda headers: head + b"x" * 20000
        self.assertEqual(self.ask().status, 200)
        sending = self.connect(b"POST /scan/1 HTTP/1.1\r\nX-Trace-Id: b\r\nIdempotency-Key: k\r\n"
                               b"Content-Length: 5000\r\n\r\n" + b"x" * 2000)  # fmt: skip
        now = self.told_when(busy=2, idle=1, requests=0, bytes_to_go=9000000 - 20000 + 5000 - 2000)
        self.assertEqual(now["held"], ["s-1"])
        self.assertTrue(0.0 < now["oldest_ms"] < WAIT * 1000.0, now)
        self.assertEqual((now["untold"], now["unread"]), (0, 0))
        sending.close()
        server.answer = lambda headers: head + b"x" * 8999999
        self.assertEqual(self.ask().status, 200)  # and nothing is read of it
        self.told_when(unread=1)

    def test_a_drain_its_end_and_the_end_go_through_the_host(self) -> None:
        self.assertEqual(self.door_call("PUT", "/control/fleet?do=drain"), (202, "drain\n"))
        self.assertEqual((self.up(), self.told()["stand"], self.told()["drained"]), (503, "draining", True))
        self.assertEqual(self.door_call("PUT", "/control/fleet?do=in-service")[0], 200)
        self.assertEqual((self.up(), self.told()["drained"]), (200, False))
        self.assertEqual(self.door_call("PUT", "/control/fleet?do=end")[0], 202)
        self.line("msg=stopping-told ends_soon=True")
        self.assertEqual(self.door_call("PUT", "/control/fleet?do=in-service")[0], 409)
        self.assertEqual(self.process.wait(WAIT), 0)
        while "msg=counters at=exit" not in (line := self.log.get(timeout=WAIT)):
            self.assertNotIn("stopping-told", line)  # no second time


if __name__ == "__main__":
    unittest.main()
