"""Idle client connections: which are closed to free slots, so that other requests need not wait."""

from __future__ import annotations

import http.client
import selectors
import socket
import time
import unittest
from itertools import count
from typing import Any, ClassVar

from lupinlink.limits.idle_reuse import (
    EXEMPT_EVERY,
    MAX_ADDRESSES,
    IdleEnd,
    IdlePeriod,
    IdleReuse,
    keep_threshold,
)
from tests.proxy_process import WAIT, ApplicationServer, ProxyProcessTest, row

CROWDED = 0.6  # share of places in use


class Estimates(unittest.TestCase):
    def setUp(self) -> None:
        self.idle_reuse, self.now = IdleReuse(200), 0.0
        self.idle_periods: list[IdlePeriod] = []

    def idle_for(self, address: str, age_ms: float, end: IdleEnd) -> None:
        """One connection is idle for ``age_ms`` and ends so; the probabilities are updated at its end."""
        idle_period = self.idle_reuse.idle_began(address, self.now)
        self.now += age_ms
        self.idle_reuse.refresh([*self.idle_periods, idle_period], self.now)
        self.idle_reuse.idle_ended(idle_period, self.now, end)

    def test_all_are_kept_at_low_occupancy_and_none_at_full_occupancy(self) -> None:
        self.assertEqual((keep_threshold(0.2), keep_threshold(1.0)), (0.0, 1.0))
        self.assertTrue(self.idle_reuse.worth_keeping("a", 0.2))
        self.assertFalse(self.idle_reuse.worth_keeping("a", 1.0))

    def test_clients_that_reuse_connections_are_kept_and_others_are_not(self) -> None:
        for i in range(200):
            self.idle_for("regular", 30.0, IdleEnd.REUSED)
            if i % 5 == 0:
                self.idle_for("once", 450.0, IdleEnd.CLOSED_BY_CLIENT)
        self.idle_reuse.refresh([], self.now + 200.0)
        self.assertGreater(self.idle_reuse.reuse_probability("regular"), 0.9)
        self.assertLess(self.idle_reuse.reuse_probability("once"), 0.5)
        self.assertTrue(self.idle_reuse.worth_keeping("regular", CROWDED))
        self.assertFalse(self.idle_reuse.worth_keeping("once", CROWDED))

    def test_many_idle_connections_lower_the_estimate_before_they_are_closed(self) -> None:
        self.idle_periods = [self.idle_reuse.idle_began("once", 0.0) for _ in range(60)]
        self.idle_reuse.refresh(self.idle_periods, 450.0)
        self.assertLess(self.idle_reuse.reuse_probability("once"), 0.4)
        self.assertTrue(
            any(self.idle_reuse.should_close(period, CROWDED, 450.0) for period in self.idle_periods)
        )

    def test_the_estimate_recovers_once_clients_reuse_connections(self) -> None:
        # Without the exempt connections all would be closed at once and no reuse could be observed.
        for _ in range(40):
            self.idle_for("a", 1600.0, IdleEnd.CLOSED_BY_CLIENT)
        kept = 0
        for _ in range(60 * EXEMPT_EVERY):
            if self.idle_reuse.worth_keeping("a", CROWDED):
                kept += 1
                self.idle_for("a", 30.0, IdleEnd.REUSED)
        self.assertGreater(kept, 60)
        self.assertTrue(self.idle_reuse.worth_keeping("a", CROWDED))

    def test_the_number_of_exempt_connections_is_bounded(self) -> None:
        exempt = sum(self.idle_reuse.idle_began("a", 0.0).exempt for _ in range(400))
        self.assertEqual(exempt, 4)  # 2% of 200 slots

    def test_idle_periods_ended_by_the_proxy_do_not_lower_the_estimate(self) -> None:
        for _ in range(30):
            self.idle_for("a", 20.0, IdleEnd.CLOSED_BY_PROXY)
            self.idle_for("a", 20.0, IdleEnd.REUSED)
        self.idle_reuse.refresh([], self.now + 200.0)
        self.assertGreater(self.idle_reuse.reuse_probability("a"), 0.8)

    def test_the_number_of_tracked_addresses_is_bounded(self) -> None:
        for i in range(3 * MAX_ADDRESSES):
            self.idle_for(f"address {i}", 1.0, IdleEnd.CLOSED_BY_CLIENT)
        self.assertEqual(len(self.idle_reuse), MAX_ADDRESSES)


class LimitedConnections(ProxyProcessTest):
    """Clients with a limited number of connections, most of which send one request and then stay idle."""

    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 80, "sockets": 128}  # slots for 57
    max_connections = 24  # an idle one is closed by its time-out after 2.1 s at the earliest

    def setUp(self) -> None:
        super().setUp()
        self.server = self.peer(ApplicationServer())
        self.start(row("s-1", self.server))

    def request(self, number: int) -> bytes:
        return b"GET /look/%d HTTP/1.1\r\nX-Trace-Id: c%d\r\nX-Expires-In-Ms: 1900\r\n\r\n" % (number, number)

    def test_unused_idle_connections_do_not_delay_the_next_requests(self) -> None:
        # With idle times of 2.1 s, 24 connections could carry no more than 12 requests a second.
        sent, answered, numbers = 0, 0, count()
        selector = selectors.DefaultSelector()
        regular = http.client.HTTPConnection("127.0.0.1", self.port, WAIT, source_address=("127.0.0.2", 0))
        self.addCleanup(regular.close)
        opened = 0
        began_at = time.monotonic()
        try:
            while answered < 400 and time.monotonic() - began_at < WAIT:
                while len(selector.get_map()) < self.max_connections and sent < 400:
                    connection = socket.create_connection(("127.0.0.1", self.port), WAIT)
                    connection.sendall(self.request(next(numbers)))
                    selector.register(connection, selectors.EVENT_READ)
                    sent += 1
                for key, _ in selector.select(0.02):
                    assert isinstance(key.fileobj, socket.socket)
                    got = key.fileobj.recv(4096)
                    answered += got.startswith(b"HTTP/1.1 200")
                    if not got:
                        selector.unregister(key.fileobj)
                        key.fileobj.close()
                if regular.sock is None:
                    opened += 1
                self.assertEqual(self.ask(regular).read(), b"ok")
        finally:
            for key in list(selector.get_map().values()):
                assert isinstance(key.fileobj, socket.socket)
                key.fileobj.close()
            selector.close()
        self.assertEqual(answered, 400)
        self.assertLess(time.monotonic() - began_at, 6.0)
        self.assertLess(opened, 5)  # the client that reuses its connection keeps it
