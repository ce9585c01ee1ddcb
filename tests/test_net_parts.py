"""The parts of the network code on their own, without sockets."""

from __future__ import annotations

import math
import unittest
from collections.abc import Callable
from itertools import pairwise
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lupinlink.interface import Endpoint, MembershipKind, Status
from lupinlink.net import http1
from lupinlink.net.application_servers import outcome, read_report
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.deadlines import STALE_FLOOR, Deadlines
from lupinlink.net.list_format import index_or_unknown
from lupinlink.net.log import pair
from lupinlink.net.proxy import AttemptResult, ClientRequest, FailureReason, Proxy, Reply
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import DedupScope, Effect, RequestClass, Settings

STREAM = (
    b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
    b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: t\r\n\r\n"
    b"GET /c HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"
)


class Http1(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, len(STREAM) - 1), max_size=20))
    def test_messages_are_the_same_however_the_bytes_are_cut(self, cuts: list[int]) -> None:
        parser, got = http1.RequestParser(), []
        marks = [0, *sorted(cuts), len(STREAM)]
        for start, end in pairwise(marks):
            parser.feed(STREAM[start:end])
            while (message := parser.next()) is not None:
                got.append((message.target, message.body, message.keeps_open()))
        self.assertEqual(got, [("/a", b"abc", True), ("/b", b"def", True), ("/c", b"", True)])
        self.assertFalse(parser.started())

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200), st.booleans())
    def test_noise_is_a_plain_error_or_waits_for_more(self, noise: bytes, head: bool) -> None:
        for parser in (http1.RequestParser(), http1.ResponseParser()):
            parser.feed((b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if head else b"") + noise)
            try:
                parser.next()
            except http1.MessageError as exc:
                self.assertIn(exc.status, http1.REASONS)

    def test_the_outcome_of_each_answer(self) -> None:
        def end(text: bytes) -> AttemptResult:
            parser = http1.ResponseParser()
            parser.feed(
                text + b"\r\nContent-Length: 0\r\nEndpoint-Load-Metrics: TEXT util=0.5, qps=x\r\n\r\n"
            )
            message = parser.next()
            assert message is not None
            return outcome(message)

        self.assertEqual(end(b"HTTP/1.1 200 OK").status, Status.OK)
        self.assertEqual(end(b"HTTP/1.1 503 No\r\nX-Never-Ran: 1").status, Status.OVERLOADED)
        self.assertEqual(end(b"HTTP/1.1 503 No").status, Status.ERROR)  # it may have run
        self.assertEqual(end(b"HTTP/1.1 500 No\r\nX-Never-Ran: 1").status, Status.ERROR)
        self.assertEqual(end(b"HTTP/1.1 400 Bad Request").status, Status.REJECTED)
        self.assertEqual(end(b"HTTP/1.1 200 OK").report, {"utilization": 0.5})

    def test_reports_zones_and_log_values(self) -> None:
        got = read_report("TEXT inflight=7, queue=2, util=0.61, new=1")
        self.assertEqual(got, {"in_flight": 7.0, "queued": 2.0, "utilization": 0.61})
        self.assertIsNone(read_report("nothing"))
        # The settings may use the simulator's names; none of them may be ignored.
        self.assertEqual(read_report("TEXT busy=0.478, rate=67.6"), {"utilization": 0.478, "rate": 67.6})
        for noise in ("nan", "inf", "-inf", "-1", "1e9", "1e999", "0x1", ""):
            self.assertEqual(read_report(f"TEXT busy={noise}, rate=5"), {"rate": 5.0}, noise)
        self.assertEqual([index_or_unknown(("a", "b"), z) for z in ("b", "c", None)], [1, 2, 2])
        self.assertEqual(pair("why", 'a "b"\nc'), 'why="a \\"b\\"\\nc"')


class Tables(unittest.TestCase):
    def test_a_stale_handle_finds_nothing(self) -> None:
        table: Slots[str] = Slots(1)
        first = table.add("a")
        self.assertTrue(table.full)
        with self.assertRaises(OverflowError):
            table.add("b")
        table.remove(first)
        second = table.add("b")
        self.assertEqual((table.get(first), table.remove(first), table.get(second)), (None, None, "b"))
        self.assertEqual((table.handles(), list(table), len(table)), ([second], ["b"], 1))

    def test_deadlines_come_in_order_and_dropped_ones_do_not_pile_up(self) -> None:
        deadlines, seen = Deadlines(), list[int]()
        numbers = [deadlines.add(1000.0 - i, lambda i=i: seen.append(i)) for i in range(900)]  # type: ignore[misc]
        for n in numbers[3:]:
            deadlines.drop(n)
        self.assertLessEqual(len(deadlines._heap), STALE_FLOOR + 6)
        self.assertEqual(deadlines.next_at(), 998.0)
        for call in deadlines.due(999.5):
            call()
        self.assertEqual((seen, len(deadlines)), ([2, 1], 1))


class RecordingResponder:
    """A Responder that records its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def has_left(self) -> bool:
        return False

    def served(self, reply: Reply) -> None:
        self.answers.append("served")

    def refused(self, retry_after_ms: float, over_quota: bool = False) -> None:
        self.answers.append("refused")

    def failed(self, why: FailureReason) -> None:
        self.answers.append(why.name)


class PendingAttempt:
    on_answer_data: Callable[[], None] | None = None  # it ends when the test says so

    def __init__(self) -> None:
        self.ended: Deferred[AttemptResult] = Deferred()

    def give_up(self, status: Status) -> None:
        self.ended.callback(AttemptResult(status))

    def cancel_if_unsent(self) -> None:
        """It has been sent."""

    def set_deadline(self, at_ms: float) -> None:
        raise NotImplementedError


class Servers:
    def __init__(self) -> None:
        self.attempts: list[PendingAttempt] = []
        self.timeouts: list[float] = []

    def start(
        self, server: str, call: ClientRequest, timeout_ms: float, begin_ms: float, wanted: Callable[[], bool]
    ) -> PendingAttempt:
        self.timeouts.append(timeout_ms)
        self.attempts.append(PendingAttempt())
        return self.attempts[-1]

    def probe(self, server: str) -> Deferred[AttemptResult]:
        raise NotImplementedError


class OneAnswer(unittest.TestCase):
    def setUp(self) -> None:
        reactor: Any = Clock()
        keyed = RequestClass(300.0, 1000.0, 1.0, 0.0, Effect.KEYED, DedupScope.ZONE, 500.0)
        self.servers, self.side, self.counters = Servers(), RecordingResponder(), Counters()
        told = Settings(classes=(keyed,), max_attempts=3, may_cancel=True)
        clock = ReactorClock(reactor)
        self.proxy = Proxy(told, 1, clock, self.servers, lambda: None, self.counters)
        self.proxy.membership_changed(MembershipKind.FULL, [Endpoint("a")])

    def offer(self, waited: float = 0.0) -> int | None:
        call = ClientRequest(
            f"t{waited}", 0, 0, 900.0, False, "POST", "/", [], Body.from_bytes(b""), waited_ms=waited
        )
        return self.proxy.submit(call, self.side)

    def submit(self, waited: float = 0.0) -> int:
        handle = self.offer(waited)
        assert handle is not None
        return handle

    def test_a_request_keeps_what_is_left_of_its_clients_time(self) -> None:
        clock: Any = self.proxy._clock
        now = clock.now()
        clock.now = lambda: now  # fixed, as half a ms could pass on a busy machine
        self.offer()  # read at once: all of its time but the margin for the answer's way back
        self.servers.attempts[0].ended.callback(AttemptResult(Status.OK, Reply([], b"")))
        self.offer(600.0)  # waited in the accept queue
        self.offer(math.inf)  # held by a load balancer before the start: how much time is left is unknown
        self.assertEqual([round(t) for t in self.servers.timeouts], [880, 280])
        self.assertEqual(self.side.answers, ["served", "refused"])  # refused at once, without an attempt

    def test_an_internal_error_still_gives_a_whole_answer(self) -> None:
        self.proxy._module.request_arrived = lambda request, now: 1 / 0  # type: ignore[method-assign,assignment]
        with self.assertLogs("lupinlink.net.proxy"):
            self.submit()
        self.assertEqual((self.side.answers, self.proxy.open), (["INTERNAL"], 0))

    def test_a_module_that_breaks_on_an_outcome_does_not_lose_the_request(self) -> None:
        self.submit()
        self.proxy._module.attempt_ended = lambda *args: 1 / 0  # type: ignore[method-assign,assignment]
        with self.assertLogs("lupinlink.net.proxy"):
            self.servers.attempts[0].ended.callback(AttemptResult(Status.RESET))
        self.assertEqual(self.side.answers, ["INTERNAL"])

    def test_only_one_answer_and_nothing_for_a_client_that_left(self) -> None:
        self.submit()
        self.servers.attempts[0].ended.callback(AttemptResult(Status.OK, Reply([], b"")))
        self.assertEqual(self.side.answers, ["served"])
        gone = self.submit(1.0)  # with an id of its own
        self.proxy.client_left(gone)
        self.assertEqual(self.servers.attempts[1].ended.called, True)  # given up
        self.proxy.end(gone, FailureReason.TOO_LATE)
        self.assertEqual((self.side.answers, self.counters["clients_gone"]), (["served"], 1))

    def test_a_call_is_settled_once_though_an_answer_crosses_its_end(self) -> None:
        settled: list[str] = []
        self.proxy.on_settled = lambda call: settled.append(call.identity)
        handle, crossing = self.submit(), self.servers.attempts[0]
        crossing.give_up = lambda status: None  # type: ignore[method-assign]
        self.proxy.client_left(handle)
        crossing.ended.callback(AttemptResult(Status.OK, Reply([], b"")))
        self.assertEqual(settled, ["t0.0"])

    def test_a_request_that_the_module_leaves_open_is_ended(self) -> None:
        handle = self.submit()
        with self.assertLogs("lupinlink.net.proxy"):
            self.proxy.end_all()
            self.proxy.end(handle, FailureReason.TOO_LATE)
        self.assertEqual(self.side.answers, ["TOO_LATE"])


if __name__ == "__main__":
    unittest.main()
