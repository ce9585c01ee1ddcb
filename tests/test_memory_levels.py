"""What is done at each level of memory pressure, and that it ends with it (incident 693c92)."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lupinlink.interface import Endpoint, MembershipKind, Status
from lupinlink.limits.memory_account import (
    LEVEL_SHARES,
    MIN_OVERHEAD,
    Holding,
    MemoryAccount,
    MemoryKind,
    MemoryLevel,
)
from lupinlink.limits.memory_sizes import LEAST, NORMAL, SLOW
from lupinlink.net.bodies import Body
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.counters import Counters
from lupinlink.net.handover.capacity import (
    MIN_SPARE_MB,
    Limits,
    capacity_for,
    shrunk,
    spare_of_old,
    usage,
)
from lupinlink.net.proxy import Proxy
from lupinlink.net.request_types import AttemptResult, ClientRequest, Reply
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import RequestClass, Settings
from tests.attempt_test import AttemptTest
from tests.test_net_parts import RecordingResponder, Servers

LIMIT = 2_500_000
ANSWER_BYTES = 20_000
HALF_AN_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES + bytes(ANSWER_BYTES // 2)


def held_at(level: MemoryLevel, limit_bytes: int) -> int:
    """A sum that brings the account to this level, from below or above."""
    if level is MemoryLevel.NORMAL:
        return 0
    return int((LEVEL_SHARES[level] + 0.02) * limit_bytes / MIN_OVERHEAD)


class Pressure:
    """An account whose level the test sets."""

    def __init__(self) -> None:
        self.account = MemoryAccount(LIMIT)
        self._holding = Holding(self.account, MemoryKind.CLIENTS)

    def set(self, level: MemoryLevel) -> None:
        self._holding.set(held_at(level, LIMIT))


class Requests(unittest.TestCase):
    def setUp(self) -> None:
        reactor: Any = Clock()
        self.pressure, self.servers, self.side = Pressure(), Servers(), RecordingResponder()
        told = Settings(classes=(RequestClass(300.0, 1000.0),), max_attempts=3)
        self.counters = Counters()
        self.proxy = Proxy(told, 1, ReactorClock(reactor), self.servers, lambda: None, self.counters)
        self.proxy.account = self.pressure.account
        self.proxy.membership_changed(MembershipKind.FULL, [Endpoint("a")])

    def submit(self, number: int) -> None:
        fields = [(f"name-{i}", "value") for i in range(50)]
        body = Body.from_bytes(b"")
        request = ClientRequest(f"t{number}", 0, 0, 900.0, False, "GET", "/", fields, body)
        self.proxy.submit(request, self.side)

    # Guards against: requests are taken while nothing is left for them (693c92), or refused for ever.
    def test_new_requests_are_refused_while_memory_is_short_and_taken_after_it(self) -> None:
        for level in (MemoryLevel.REFUSE, MemoryLevel.CLOSE):
            self.pressure.set(level)
            self.submit(int(level))
        self.assertEqual(self.side.answers, ["refused", "refused"])
        self.assertEqual(self.counters["refused_memory"], 2)
        self.pressure.set(MemoryLevel.PAUSE)
        self.submit(9)
        self.assertEqual(len(self.servers.attempts), 1)

    # Guards against: open requests and their heads are not counted, or never given back.
    def test_an_open_request_is_counted_until_its_end(self) -> None:
        self.submit(1)
        self.assertGreater(self.pressure.account.held(MemoryKind.REQUESTS), 50 * 100)
        self.servers.attempts[0].ended.callback(AttemptResult(Status.OK, Reply([], b"")))
        self.assertEqual(self.pressure.account.held(MemoryKind.REQUESTS), 0)


class Bodies(unittest.TestCase):
    def setUp(self) -> None:
        self.pressure = Pressure()
        self.budget = BodyBudget(1 << 30, self.pressure.account)
        self.body = Body(self.budget, None)
        self.resumed = 0
        self.body.on_room = self.note_room

    def note_room(self) -> None:
        self.resumed += 1

    # Guards against: a body takes as much as ever while memory is short.
    def test_less_of_a_body_is_kept_at_each_level(self) -> None:
        for level, sizes in (
            (MemoryLevel.NORMAL, NORMAL),
            (MemoryLevel.SLOW, SLOW),
            (MemoryLevel.PAUSE, LEAST),
        ):
            self.pressure.set(level)
            body = Body(self.budget, None)
            body.add(b"x" * (sizes.body_kept - 1))
            self.assertFalse(body.is_large or body.full)
            body.add(b"x" * (sizes.body_window - sizes.body_kept + 1))
            self.assertTrue(body.is_large and body.full)
            body.discard()

    # Guards against: senders that are paused at a level and not woken by a lower one (as review case 7).
    def test_a_paused_sender_continues_as_soon_as_a_lower_level_has_room(self) -> None:
        self.pressure.set(MemoryLevel.PAUSE)
        self.body.add(b"x" * LEAST.body_window)
        self.body.pause()
        self.pressure.set(MemoryLevel.REFUSE)
        self.assertEqual(self.resumed, 0)
        self.pressure.set(MemoryLevel.SLOW)
        self.assertEqual(self.resumed, 1)

    # Guards against: a body that is small at one level and full at the next is stuck though it was sent.
    def test_a_paused_sender_continues_when_its_server_takes_the_body(self) -> None:
        self.pressure.set(MemoryLevel.PAUSE)
        self.body.add(b"x" * LEAST.body_window)
        self.body.pause()
        self.body.mark_sent(self.body.end)
        self.assertEqual((self.resumed, len(self.body)), (1, 0))

    def test_requests_without_a_server_are_refused_at_the_level_for_that(self) -> None:
        self.pressure.set(MemoryLevel.PAUSE)
        self.assertFalse(self.budget.exceeded)
        self.pressure.set(MemoryLevel.REFUSE)
        self.assertTrue(self.budget.exceeded)


class Answers(AttemptTest):
    def setUp(self) -> None:
        super().setUp()
        self.servers.account.limit_bytes = LIMIT
        self.holding = Holding(self.servers.account, MemoryKind.CLIENTS)

    # Guards against: answers are collected to their end while memory is short.
    def test_a_small_answer_is_streamed_as_it_comes_while_memory_is_short(self) -> None:
        self.holding.set(held_at(MemoryLevel.PAUSE, LIMIT))
        _, ends = self.attempt(method="GET")
        self.accept_request().sendall(HALF_AN_ANSWER)
        self.iterate_until(lambda: ends)
        reply = ends[0].reply
        self.assertTrue(reply is not None and reply.stream is not None)

    def test_a_small_answer_is_collected_while_memory_lasts(self) -> None:
        _, ends = self.attempt(method="GET")
        server = self.accept_request()
        server.sendall(HALF_AN_ANSWER)
        self.iterate_until(lambda: self.servers.account.held(MemoryKind.COLLECTED) >= ANSWER_BYTES // 2)
        self.assertEqual(ends, [])
        server.sendall(bytes(ANSWER_BYTES // 2))
        self.iterate_until(lambda: ends)
        reply = ends[0].reply
        self.assertTrue(reply is not None and len(reply.body) == ANSWER_BYTES)

    # Guards against: what is read at a time stays large while memory is short, or small after it.
    def test_the_size_of_reads_follows_the_level(self) -> None:
        _, connection = self.idle_connection()
        levels = (MemoryLevel.SLOW, MemoryLevel.REFUSE, MemoryLevel.PAUSE, MemoryLevel.NORMAL)
        for level, sizes in zip(levels, (SLOW, LEAST, LEAST, NORMAL), strict=True):
            self.holding.set(held_at(level, LIMIT))
            self.assertEqual(connection.transport.bufferSize, sizes.read)

    # Guards against: what is held for an attempt is counted after its end.
    def test_nothing_is_counted_after_the_end_of_an_attempt(self) -> None:
        account = self.servers.account
        attempt, _ = self.attempt(b"x" * 16_000_000)
        self.iterate_until(lambda: account.held(MemoryKind.SENDING))
        attempt.give_up(Status.CANCELLED)
        self.assertEqual((account.held(MemoryKind.SENDING), account.held(MemoryKind.COLLECTED)), (0, 0))


class Upgrades(unittest.TestCase):
    # Guards against: an old and a new process of one proxy together take more than its limit.
    @given(st.floats(60, 192), st.floats(22, 26), st.floats(0, 100))
    def test_both_processes_share_the_limit(self, told_mb: float, rest_mb: float, used_mb: float) -> None:
        limits = Limits(1024, told_mb, 0, rest_mb)
        alone = capacity_for(limits)
        spare_mb = spare_of_old(alone.spare_mb, min(used_mb, alone.spare_mb))
        old = shrunk(limits, alone.clients, alone.servers, 0, spare_mb)
        old_usage = usage(limits, old, rest_mb + old.spare_mb)
        new = capacity_for(limits, old_usage)
        both_mb = old_usage.memory_mb + rest_mb + new.spare_mb
        self.assertLessEqual(both_mb, max(told_mb, old_usage.memory_mb + rest_mb + MIN_SPARE_MB) + 1e-6)
