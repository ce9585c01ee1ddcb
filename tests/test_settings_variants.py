"""With any settings a customer may choose, each request gets one answer in time and the rules hold."""

from __future__ import annotations

import heapq
import unittest
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any, ClassVar

from lupinlink import interface as api
from lupinlink.interface import (
    NEVER_RAN,
    DedupScope,
    Effect,
    Endpoint,
    MembershipKind,
    RequestClass,
    Settings,
    Status,
)
from lupinlink.settings import read_settings
from tests.helpers import NodeHarness, sends
from tests.proxy_process import ApplicationServer, ProxyProcessTest, row
from tests.settings_variants import SETTINGS_VARIANTS

ANSWER_SLACK_MS = 20.0  # by which an answer may exceed the client's deadline
# Arrivals per second; duration; longest time without a served request.
RATE, END_MS, MAX_IDLE_MS = 60.0, 9000.0, 2000.0
CALL_MS = 500.0  # discovery answers a call after this time, without changes


@dataclass
class TrackedRequest:
    """A request with its attempts and answers."""

    cls: RequestClass
    deadline: float
    sent: list[tuple[str, float, Status | None]] = field(default_factory=list)
    answers: int = 0


class SimulatedNode:
    """One node and its servers: one hangs, one is unreachable, one fails at times, the others serve."""

    def __init__(self, settings: Settings, zones: int, case: unittest.TestCase) -> None:
        self.settings, self.case, self.rng = settings, case, Random(7)
        self.harness = NodeHarness(settings, names="", seed=3)
        self.rows = {n: Endpoint(n, zone=i % zones, cell=i // 3) for i, n in enumerate("abcdefgh")}
        self.rows["h"].started_ms = 1.0  # cold
        self.harness.discover(list(self.rows.values()))
        self.requests: dict[str, TrackedRequest] = {}
        self.due: list[tuple[float, int, str, int, Status]] = []
        self.numbers, self.served_at, self.outcomes = iter(range(1 << 30)), 0.0, Counter[str]()
        self.calls: list[float] = []  # when discovery answers open calls

    def play(self) -> None:
        now, number = 0.0, 0
        while now < END_MS:
            now += self.rng.expovariate(RATE) * 1000.0
            self.play_until(now)
            number += 1
            index = self.rng.randrange(len(self.settings.classes))
            cls = self.settings.classes[index]
            timeout_ms = cls.deadline_ms * (1.0 if number % 20 else self.rng.random())
            name = f"r{number}"
            self.requests[name] = TrackedRequest(cls, now + timeout_ms)
            tenant = self.rng.randrange(2) if self.settings.tenants else 0
            self.take(
                self.harness.handle(api.Arrival(name, index, tenant, now + timeout_ms, key=f"k{number % 40}"))
            )
            self.case.assertLess(now - self.served_at, MAX_IDLE_MS + cls.deadline_ms, "nothing was served")
        self.play_until(now + max(c.deadline_ms for c in self.settings.classes) + 100.0)
        self.case.assertEqual([n for n, tracked in self.requests.items() if tracked.answers != 1], [])

    def play_until(self, time: float) -> None:
        """Play outcomes, timers and answers of discovery in the order of their times."""
        while True:
            timer = min(self.harness.timers)[0] if self.harness.timers else time + 1.0
            outcome = self.due[0][0] if self.due else time + 1.0
            call = self.calls[0] if self.calls else time + 1.0
            if min(timer, outcome, call) > time:
                break
            if call < min(timer, outcome):
                self.harness.now = max(self.harness.now, self.calls.pop(0))
                self.take(self.harness.discover([], MembershipKind.DELTA))
            elif timer <= outcome:
                self.take(self.harness.advance_to(timer))
            else:
                self.harness.now = max(self.harness.now, outcome)
                self.end(*heapq.heappop(self.due))
        self.harness.advance_to(time)

    def end(self, at: float, _: int, name: str, attempt: int, status: Status) -> None:
        tracked = self.requests[name]
        server, sent_at, was = tracked.sent[attempt]
        if was is not None:
            return  # cancelled
        tracked.sent[attempt] = (server, sent_at, status)
        over = status == Status.OK and not tracked.answers
        if over:
            self.answered(tracked, "ok")
            self.served_at = at
        report = {"utilization": 0.5} if self.settings.reports_in_answers and status == Status.OK else None
        ended = api.Outcome(name, status, at - sent_at, attempt, bool(tracked.answers), server, report)
        self.take(self.harness.handle(ended))

    def answered(self, tracked: TrackedRequest, how: str) -> None:
        tracked.answers += 1
        self.outcomes[how] += 1
        self.case.assertLessEqual(self.harness.now, tracked.deadline + ANSWER_SLACK_MS, "answered late")

    def take(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.Subscribe):
                self.calls.append(self.harness.now + CALL_MS)
            elif isinstance(action, api.Refuse):
                tracked = self.requests[action.request_id]
                free = tracked.cls.effect == Effect.SAFE or (
                    tracked.cls.effect == Effect.KEYED and tracked.cls.scope == DedupScope.ALL
                )
                self.case.assertTrue(free or all(s in NEVER_RAN for _, _, s in tracked.sent), "refused")
                self.case.assertLessEqual(action.retry_after_ms, self.settings.max_retry_after_ms)
                self.answered(tracked, "refused")
            elif isinstance(action, api.Fail):
                self.answered(self.requests[action.request_id], "failed")
            elif isinstance(action, api.Cancel):
                self.case.assertTrue(self.settings.may_cancel)
                self.push(self.harness.now + 0.1, action.request_id, action.attempt, Status.CANCELLED)
            elif isinstance(action, api.Probe):
                self.case.assertTrue(self.settings.may_probe)

    def send(self, action: api.Send) -> None:
        tracked, now = self.requests[action.request_id], self.harness.now
        row = self.rows[action.endpoint]
        self.case.assertEqual(tracked.answers, 0, "sent on after its answer")
        self.case.assertLess(len(tracked.sent), self.settings.max_attempts)
        self.case.assertLess(now, tracked.deadline)
        for name, sent_at, status in tracked.sent:
            self.case.assertIsNotNone(status, "a second copy")
            if status in NEVER_RAN or tracked.cls.effect == Effect.SAFE:
                continue
            self.case.assertEqual(tracked.cls.effect, Effect.KEYED, "a second effect")
            self.case.assertLess(now, sent_at + tracked.cls.dedup_ms)
            before = self.rows[name]
            self.case.assertTrue(tracked.cls.scope == DedupScope.ALL or row.zone == before.zone)
            self.case.assertTrue(tracked.cls.scope != DedupScope.CELL or row.cell == before.cell)
        tracked.sent.append((action.endpoint, now, None))
        latency_ms, status = tracked.cls.deadline_ms * 0.1 * self.rng.uniform(0.5, 2.0), Status.OK
        if action.endpoint == "a":
            latency_ms, status = 1e9, Status.TIMEOUT  # hangs
        elif action.endpoint == "b":
            latency_ms, status = self.settings.dial_timeout_ms, Status.UNREACHABLE
        elif action.endpoint == "c" and self.rng.random() < 0.3:
            status = self.rng.choice([Status.ERROR, Status.RESET, Status.OVERLOADED])
        left = min(action.timeout_ms or 1e9, tracked.deadline - now)
        if latency_ms >= left:
            latency_ms, status = left, Status.TIMEOUT
        self.push(now + latency_ms, action.request_id, len(tracked.sent) - 1, status)

    def push(self, at: float, name: str, attempt: int, status: Status) -> None:
        heapq.heappush(self.due, (at, next(self.numbers), name, attempt, status))


class EverySetting(unittest.TestCase):
    def test_each_request_gets_one_answer_in_time_and_working_servers_are_used(self) -> None:
        for name, settings in SETTINGS_VARIANTS.items():
            for zones in (1, 3):
                with self.subTest(name, zones=zones):
                    node = SimulatedNode(settings, zones, self)
                    node.play()
                    served = node.outcomes["ok"] / sum(node.outcomes.values())
                    self.assertGreater(served, 0.8, node.outcomes)

    def test_short_deadlines_are_not_refused_on_an_initial_estimate(self) -> None:
        """The first latency estimate is a guess; if nothing were sent, it would never improve."""
        for target_ms in (2000.0, 9000.0, 60000.0):
            harness = NodeHarness(
                Settings(classes=(RequestClass(target_ms, 60000.0, effect=Effect.SAFE),)), "ab"
            )
            for i in range(200):
                (out,) = sends(harness.ask(f"r{i}", left=300.0))
                harness.advance_to(harness.now + 20.0)
                harness.end(f"r{i}", Status.OK, out.endpoint)

    def test_a_target_latency_beyond_the_deadline_is_the_deadline(self) -> None:
        for target_ms, expected in ((9000.0, 2000.0), (None, 2000.0), (800.0, 800.0), (0.0, 1.0)):
            read = read_settings({"Classes": [{"AimMs": target_ms, "HardLimitMs": 2000.0}]})
            self.assertEqual(read.classes[0].target_latency_ms, expected)


class TargetBeyondDeadline(ProxyProcessTest):
    """The same in a proxy process: too long a target latency would get all requests refused for ever."""

    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 15000.0, "HardLimitMs": 40000.0, "Effect": "pure"}]
    }

    def test_requests_are_served(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())))
        client = self.client()
        for _ in range(10):
            self.assertEqual(self.ask(client, ms=1500).read(), b"ok")


if __name__ == "__main__":
    unittest.main()
