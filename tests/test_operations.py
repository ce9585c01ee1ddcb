"""Operation of a running proxy: the management API, drains, and the lifecycle behind them."""

from __future__ import annotations

import signal
import socket
import time
import unittest
from typing import Any, ClassVar

from lupinlink.lab.operations import Operated as OperationResult
from lupinlink.lab.operations import operate
from lupinlink.net.lifecycle import (
    DRAIN_IDLE_MS,
    HANDED_OVER_IDLE_MS,
    STOP_IDLE_MS,
    STOP_STAY_MS,
    Lifecycle,
    LifecycleState,
)
from tests.proxy_process import OK, WAIT, ApplicationServer, ProxyProcessTest, row


class LifecycleStates(unittest.TestCase):
    def setUp(self) -> None:
        self.lifecycle = Lifecycle()
        self.lifecycle.settle_list()

    def test_a_new_process_gets_no_clients_until_its_list_is_settled(self) -> None:
        new = Lifecycle()
        new.serve()
        self.assertEqual((new.up(1), new.ready(1), new.keeps_connections()), (False, True, True))
        new.settle_list()
        self.assertEqual((new.up(1), new.ready(1)), (True, True))

    def test_not_up_or_ready_before_listening_or_without_servers(self) -> None:
        self.assertEqual(
            (self.lifecycle.up(1), self.lifecycle.ready(1), self.lifecycle.state),
            (False, False, LifecycleState.STARTING),
        )
        self.lifecycle.serve()
        self.assertEqual((self.lifecycle.up(1), self.lifecycle.ready(1)), (True, True))
        self.assertEqual((self.lifecycle.up(0), self.lifecycle.ready(0)), (False, False))

    def test_a_drain_is_timed_from_its_first_call_and_ends_at_once(self) -> None:
        self.lifecycle.serve()
        self.lifecycle.out_of_service(1000.0)
        self.lifecycle.out_of_service(9000.0)
        self.assertEqual(
            (self.lifecycle.up(1), self.lifecycle.ready(1), self.lifecycle.keeps_connections()),
            (False, True, False),
        )
        self.assertEqual(self.lifecycle.close_idle_from(), 1000.0 + DRAIN_IDLE_MS)
        self.assertFalse(self.lifecycle.may_exit(1e9, 0, 0))
        self.lifecycle.in_service()
        self.lifecycle.in_service()
        self.assertEqual(
            (self.lifecycle.up(1), self.lifecycle.keeps_connections(), self.lifecycle.state),
            (True, True, LifecycleState.IN_SERVICE),
        )

    def test_a_stop_takes_precedence_over_a_drain_and_only_the_first_one_counts(self) -> None:
        self.lifecycle.serve()
        self.lifecycle.out_of_service(0.0)
        self.lifecycle.stop(100.0)
        self.lifecycle.stop(5000.0)
        self.lifecycle.in_service()
        self.assertEqual(
            (self.lifecycle.up(1), self.lifecycle.ready(1), self.lifecycle.state),
            (False, False, LifecycleState.STOPPING),
        )
        self.assertEqual(self.lifecycle.close_idle_from(), 100.0 + STOP_IDLE_MS)
        self.assertEqual([self.lifecycle.must_answer_now(100.0 + t) for t in (3349.0, 3350.0)], [False, True])
        at = [(STOP_STAY_MS - 1.0, 0), (STOP_STAY_MS, 1), (STOP_STAY_MS, 0), (3400.0, 1)]
        self.assertEqual(
            [self.lifecycle.may_exit(100.0 + t, left, 0) for t, left in at], [False, False, True, True]
        )

    def test_an_answer_that_is_being_delivered_holds_the_exit_back_however_long(self) -> None:
        # Guards against the cut of long answers 3.6 s after SIGTERM (review case 3).
        self.lifecycle.serve()
        self.lifecycle.stop(0.0)
        self.assertEqual([self.lifecycle.may_exit(t, 1, 1) for t in (3400.0, 1e9)], [False, False])
        self.assertTrue(self.lifecycle.may_exit(1e9, 1, 0))

    def test_a_stopping_process_ends_accepting_when_no_new_connection_can_come(self) -> None:
        # Guards against an address that the next process can't listen at while a long answer is delivered.
        self.lifecycle.serve()
        self.assertFalse(self.lifecycle.end_accepting(1e9, False))
        self.lifecycle.stop(0.0)
        self.assertEqual(
            [self.lifecycle.end_accepting(t, True) for t in (STOP_STAY_MS, 3399.0)], [False, False]
        )
        self.assertFalse(self.lifecycle.end_accepting(STOP_STAY_MS - 1.0, False))
        self.assertTrue(self.lifecycle.accepts())
        self.assertTrue(self.lifecycle.end_accepting(STOP_STAY_MS, False))
        self.lifecycle.hand_over(5000.0)
        self.lifecycle.cancel_handover()  # a successor that ends does not bring it back
        self.assertFalse(self.lifecycle.accepts())

    def test_with_a_successor_idle_connections_may_reach_their_limit(self) -> None:
        self.lifecycle.serve()
        self.lifecycle.hand_over(0.0)
        self.assertEqual(
            (self.lifecycle.up(1), self.lifecycle.keeps_connections(), self.lifecycle.may_exit(1.0, 0, 0)),
            (True, False, False),
        )
        self.lifecycle.stop(10.0)
        self.assertEqual(self.lifecycle.close_idle_from(), 10.0 + HANDED_OVER_IDLE_MS)
        self.assertEqual([self.lifecycle.may_exit(11.0, left, 0) for left in (1, 0)], [False, True])
        self.lifecycle.cancel_handover()
        self.assertFalse(self.lifecycle.may_exit(11.0, 0, 0))


class OperationsUnderLoad(unittest.TestCase):
    """A few rounds of the operations that ``lupinlink lab operate`` repeats many times."""

    def run_operation(
        self, kind: str, times: int, idle_connections: int = 0, memory_mb: float = 80.0
    ) -> OperationResult:
        found = operate(kind, times, 100.0, idle_connections, 192, memory_mb, 1)
        self.assertTrue(found.sound, found)
        self.assertEqual((found.rounds, found.answers), (times, {"200": found.sent}))
        self.assertLessEqual(found.descriptors, 192)
        return found

    def test_upgrades_lose_no_request_and_both_processes_keep_the_limits(self) -> None:
        self.assertLess(self.run_operation("upgrade", 4).memory_mb, 60.0)

    def test_a_drain_loses_no_request_and_leaves_no_connection(self) -> None:
        self.run_operation("drain", 1)

    def test_a_restart_with_many_silent_connections_loses_no_request(self) -> None:
        self.run_operation("restart", 2, idle_connections=300, memory_mb=40.0)

    def test_bodies_of_32_mb_at_once_stay_within_the_memory(self) -> None:
        self.assertLess(self.run_operation("bulk", 1, memory_mb=48.0).memory_mb, 48.0)


class ManagedProxy(ProxyProcessTest):
    """A proxy with a management API and one application server."""

    def setUp(self) -> None:
        super().setUp()
        self.server = self.peer(ApplicationServer())
        self.start(row("s-1", self.server), env={"LB_MGMT": "127.0.0.1:0"})


class ManagementApi(ManagedProxy):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 32, "sockets": 128}

    def test_the_calls_and_what_is_not_one(self) -> None:
        cases = [("GET", "/control/ready", 200), ("PUT", "/control/out-of-service", 200),
                 ("PUT", "/control/out-of-service", 200), ("PUT", "/control/in-service", 200),
                 ("PUT", "/control/in-service", 200), ("GET", "/control/nothing", 404), ("GET", "/up", 404),
                 ("POST", "/control/in-service", 405), ("PUT", "/control/ready", 405)]  # fmt: skip
        for method, path, status in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual(self.call(method, path), status)
        for noise in (b"\x00\xff\r\n\r\n", b"GET /control/ready\r\n\r\n", b"GET /x HTTP/1.1\nA: b\n\n"):
            self.assertTrue(self.raw(noise, self.door).startswith(b"HTTP/1.1 400 "), noise)
        self.assertEqual(self.ask().read(), b"ok")

    def test_a_full_proxy_and_many_silent_callers_delay_no_call(self) -> None:
        self.server.answer = lambda headers: None
        for _ in range(60):  # more than the limit, each with an open request
            self.send(self.client(), ms=2000)
        silent = [socket.create_connection(("127.0.0.1", self.door), WAIT) for _ in range(40)]
        for _ in range(5):
            began = time.monotonic()
            self.assertEqual(self.call("GET", "/control/ready"), 200)
            self.assertLess(time.monotonic() - began, 1.0)
        self.assertLessEqual(self.gauges()["callers"], 5)
        for connection in silent:
            connection.close()

    def test_a_slow_caller_is_still_answered(self) -> None:
        with socket.create_connection(("127.0.0.1", self.door), WAIT) as slow:
            for piece in (b"GET /control/ready HT", b"TP/1.1\r\nHost: x\r\n\r\n"):
                self.assertEqual(self.call("GET", "/control/ready"), 200)  # other calls do not wait for it
                slow.sendall(piece)
            self.assertTrue(slow.recv(4096).startswith(b"HTTP/1.1 200 "))

    def test_an_unusable_address_prevents_the_start_with_one_line(self) -> None:
        for mgmt, said in ((f"127.0.0.1:{self.door}", "mgmt: 127.0.0.1"), ("here", "mgmt: 'here' is not")):
            process = self.program({**self.config(), "mgmt": mgmt})
            err = process.communicate(timeout=WAIT)[1]
            self.assertEqual(process.returncode, 2)
            self.assertIn(said, err.splitlines()[-1])


class Drain(ManagedProxy):
    def test_kept_connections_end_and_no_request_is_lost(self) -> None:
        idle, busy = self.client(), self.client()
        for client in (idle, busy):
            self.assertEqual(self.ask(client).read(), b"ok")
        self.server.answer = lambda headers: None
        self.send(busy)
        self.server.seen.get(timeout=WAIT)
        began = time.monotonic()
        self.assertEqual(self.call("PUT", "/control/out-of-service"), 200)
        self.assertEqual((self.up(), self.call("GET", "/control/ready")), (503, 200))
        self.server.answer = lambda headers: OK
        late = self.ask()  # the front still sends connections for a moment
        self.assertEqual((late.status, late.headers["Connection"]), (200, "close"))
        assert idle.sock is not None
        self.assertEqual(idle.sock.recv(1), b"")
        self.assertTrue(1.0 < time.monotonic() - began < 3.0)
        self.assertEqual(busy.getresponse().headers["Connection"], "close")
        self.assertEqual(self.call("PUT", "/control/in-service"), 200)
        kept = self.client()
        for _ in range(2):
            answer = self.ask(kept)
            self.assertEqual((answer.read(), answer.headers["Connection"]), (b"ok", None))
        self.assertEqual(self.up(), 200)

    def test_sigterm_and_a_reload_in_the_middle_of_a_drain(self) -> None:
        self.call("PUT", "/control/out-of-service")
        self.process.send_signal(signal.SIGHUP)
        self.line("msg=reloaded")
        self.assertEqual(self.up(), 503)
        self.assertEqual(self.stop(), 0)
