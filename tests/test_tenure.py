"""A process's lease and what depends on it: its validity, the registration, and queries after a restore."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from lupinlink.coordination.blocking_query import BlockingQuery
from lupinlink.coordination.component import Member
from lupinlink.coordination.contract import Record
from lupinlink.coordination.errors import LeaseLostError
from lupinlink.coordination.lease_renewal import RenewedLease
from lupinlink.coordination.memory import MemoryService, MemoryTransport
from lupinlink.coordination.presence import PREFIX, Presence, decode_member
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.coordination.rate_limit import CallRateLimiter, CallTiming
from lupinlink.coordination.transport import ReadResult
from lupinlink.errors import LupinError
from lupinlink.lab.model.clock import VirtualClock
from tests.fleet_members import TTL_MS, StoppableClock

MEMBER = Member("n1", "a", "v1", "old")
draw: Callable[[], float] = random.Random(1).random


class LeaseValidity(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.lost: list[LupinError] = []

    def lease(
        self, service: MemoryService, transport: MemoryTransport, clock: StoppableClock
    ) -> RenewedLease:
        name = service.store.open(TTL_MS, self.clock.now())
        return RenewedLease(transport, clock, draw, name, TTL_MS, self.clock.now(), self.lost.append)

    def test_slow_responses_do_not_prolong_a_lease(self) -> None:
        service = MemoryService(self.clock, delay_ms=1500.0)
        transport = service.transport()
        lease = self.lease(service, transport, StoppableClock(self.clock))
        self.clock.run(20000.0)
        self.assertTrue(lease.holds())
        transport.cut, name = True, lease.name
        while lease.holds():
            self.assertIn(name, service.store.leases)
            self.clock.run(self.clock.now() + 10.0)
        self.assertEqual([type(error) for error in self.lost], [LeaseLostError])

    def test_a_lease_is_invalid_at_once_after_a_long_suspension(self) -> None:
        service = MemoryService(self.clock)
        clock = StoppableClock(self.clock)
        lease = self.lease(service, service.transport(clock), clock)
        clock.stopped = True
        self.clock.run(2 * TTL_MS)
        self.assertFalse(lease.holds())  # before any timer runs
        clock.resume()
        self.clock.run(3 * TTL_MS)
        self.assertEqual((len(self.lost), lease.name), (1, ""))

    def test_a_short_suspension_does_not_lose_the_lease(self) -> None:
        service = MemoryService(self.clock, delay_ms=1500.0)
        clock = StoppableClock(self.clock)
        lease = self.lease(service, service.transport(clock), clock)
        self.clock.run(3400.0)  # a renewal is in flight
        clock.stopped = True
        self.clock.run(TTL_MS)
        clock.resume()  # the response is read first, then the timer of the previous expiry runs
        self.assertTrue(lease.holds() and not self.lost)


class Registration(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.service = MemoryService(self.clock)

    def process(self) -> tuple[Presence, ProcessLease, MemoryTransport]:
        client = self.service.client(draw)
        process_lease = ProcessLease(client, self.clock, TTL_MS, draw)
        presence = Presence(client, self.clock, process_lease, MEMBER, draw)
        process_lease.start()
        presence.start()
        self.run_for(2000.0)
        transport = client._transport._transport
        assert isinstance(transport, MemoryTransport)
        return presence, process_lease, transport

    def run_for(self, ms: float) -> None:
        self.clock.run(self.clock.now() + ms)

    def holder(self) -> str | None:
        record = self.service.store.records.get(PREFIX + "n1")
        return record.lease if record is not None else None

    def test_a_successor_registers_once_the_previous_process_has_left(self) -> None:
        old, _, _ = self.process()
        new, process_lease, _ = self.process()
        self.assertEqual((old.registered, new.registered), (True, False))
        old.stop()
        self.run_for(15000.0)
        assert process_lease.lease is not None
        self.assertEqual((new.registered, self.holder()), (True, process_lease.lease.name))
        record = self.service.store.records[PREFIX + "n1"]
        self.assertEqual((decode_member(record.value), decode_member(b"{")), (MEMBER, None))
        new.stop()
        self.run_for(10.0)
        self.assertIsNone(self.holder())

    def test_a_process_that_was_cut_off_is_unlocked_and_registers_again(self) -> None:
        presence, process_lease, transport = self.process()
        transport.cut = True
        self.run_for(2 * TTL_MS)
        self.assertEqual((presence.registered, self.holder(), process_lease.lease), (False, "", None))
        self.assertGreater(process_lease.failures, 0)
        self.assertTrue(process_lease.last_failure.startswith("LL101 "))
        transport.cut = False
        self.run_for(25000.0)
        self.assertTrue(presence.registered and self.holder())


class QueryIndex(unittest.TestCase):
    def test_after_a_restore_the_next_query_uses_the_service_s_lower_index(self) -> None:
        asked: list[int] = []

        class Transport(MemoryTransport):
            def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
                asked.append(index)
                now = {0: 50, 50: 7}.get(index, index + 1)
                return succeed(ReadResult({"r": Record("r", b"", now)}, now))

        clock = VirtualClock()
        transport = Transport(MemoryService(clock), clock)
        watch = BlockingQuery(
            transport,
            clock,
            CallRateLimiter(10.0, 8),
            draw,
            "r",
            CallTiming(),
            lambda view: None,
            lambda error: None,
        )
        with self.assertLogs("lupinlink.coordination.blocking_query") as logs:
            while len(asked) < 4:
                clock.run(clock.now() + 10.0)
        watch.stop()
        self.assertIn("LL107", logs.records[0].kv["why"])  # type: ignore[attr-defined]
        self.assertEqual(asked[:4], [0, 50, 7, 8])
