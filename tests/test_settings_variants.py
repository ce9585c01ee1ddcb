"""Other customers' settings: whatever they are, each request gets one answer in time, by the rules."""

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
from tests.settings_variants import ELSEWHERE

SLACK_MS = 20.0  # of an answer after the client's deadline
RATE, END_MS, STILL_MS = 60.0, 9000.0, 2000.0  # arrivals a second; the day; its most with nothing served
CALL_MS = 500.0  # discovery answers a call this late, and nothing has changed


@dataclass
class Try:
    """A request as its client and the rules see it."""

    cls: RequestClass
    deadline: float
    sent: list[tuple[str, float, Status | None]] = field(default_factory=list)
    answers: int = 0


class Day:
    """One node among servers that serve, one that hangs, one that is away and one that fails at times."""

    def __init__(self, settings: Settings, zones: int, case: unittest.TestCase) -> None:
        self.settings, self.case, self.rng = settings, case, Random(7)
        self.harness = NodeHarness(settings, names="", seed=3)
        self.rows = {n: Endpoint(n, zone=i % zones, cell=i // 3) for i, n in enumerate("abcdefgh")}
        self.rows["h"].started_ms = 1.0  # cold
        self.harness.discover(list(self.rows.values()))
        self.asked: dict[str, Try] = {}
        self.due: list[tuple[float, int, str, int, Status]] = []
        self.numbers, self.served_at, self.ends = iter(range(1 << 30)), 0.0, Counter[str]()
        self.calls: list[float] = []  # when discovery answers them

    def play(self) -> None:
        now, number = 0.0, 0
        while now < END_MS:
            now += self.rng.expovariate(RATE) * 1000.0
            self.until(now)
            number += 1
            index = self.rng.randrange(len(self.settings.classes))
            cls = self.settings.classes[index]
            patience = cls.deadline_ms * (1.0 if number % 20 else self.rng.random())
            name = f"r{number}"
            self.asked[name] = Try(cls, now + patience)
            tenant = self.rng.randrange(2) if self.settings.tenants else 0
            self.take(
                self.harness.handle(api.Arrival(name, index, tenant, now + patience, key=f"k{number % 40}"))
            )
            self.case.assertLess(now - self.served_at, STILL_MS + cls.deadline_ms, "nothing was served")
        self.until(now + max(c.deadline_ms for c in self.settings.classes) + 100.0)
        self.case.assertEqual([n for n, one in self.asked.items() if one.answers != 1], [])

    def until(self, time: float) -> None:
        """Outcomes, timers and the ends of patience, in the order of their times."""
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
        one = self.asked[name]
        server, sent_at, was = one.sent[attempt]
        if was is not None:
            return  # called off
        one.sent[attempt] = (server, sent_at, status)
        over = status == Status.OK and not one.answers
        if over:
            self.answered(one, "ok")
            self.served_at = at
        report = {"utilization": 0.5} if self.settings.reports_in_answers and status == Status.OK else None
        ended = api.Outcome(name, status, at - sent_at, attempt, bool(one.answers), server, report)
        self.take(self.harness.handle(ended))

    def answered(self, one: Try, how: str) -> None:
        one.answers += 1
        self.ends[how] += 1
        self.case.assertLessEqual(self.harness.now, one.deadline + SLACK_MS, "answered late")

    def take(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.Subscribe):
                self.calls.append(self.harness.now + CALL_MS)
            elif isinstance(action, api.Refuse):
                one = self.asked[action.request_id]
                free = one.cls.effect == Effect.SAFE or (
                    one.cls.effect == Effect.KEYED and one.cls.scope == DedupScope.ALL
                )
                self.case.assertTrue(free or all(s in NEVER_RAN for _, _, s in one.sent), "refused")
                self.case.assertLessEqual(action.retry_after_ms, self.settings.max_retry_after_ms)
                self.answered(one, "refused")
            elif isinstance(action, api.Fail):
                self.answered(self.asked[action.request_id], "failed")
            elif isinstance(action, api.Cancel):
                self.case.assertTrue(self.settings.may_cancel)
                self.push(self.harness.now + 0.1, action.request_id, action.attempt, Status.CANCELLED)
            elif isinstance(action, api.Probe):
                self.case.assertTrue(self.settings.may_probe)

    def send(self, action: api.Send) -> None:
        one, now = self.asked[action.request_id], self.harness.now
        row = self.rows[action.endpoint]
        self.case.assertEqual(one.answers, 0, "sent on after its answer")
        self.case.assertLess(len(one.sent), self.settings.max_attempts)
        self.case.assertLess(now, one.deadline)
        for name, sent_at, status in one.sent:
            self.case.assertIsNotNone(status, "a second copy")
            if status in NEVER_RAN or one.cls.effect == Effect.SAFE:
                continue
            self.case.assertEqual(one.cls.effect, Effect.KEYED, "a second effect")
            self.case.assertLess(now, sent_at + one.cls.dedup_ms)
            before = self.rows[name]
            self.case.assertTrue(one.cls.scope == DedupScope.ALL or row.zone == before.zone)
            self.case.assertTrue(one.cls.scope != DedupScope.CELL or row.cell == before.cell)
        one.sent.append((action.endpoint, now, None))
        took, status = one.cls.deadline_ms * 0.1 * self.rng.uniform(0.5, 2.0), Status.OK
        if action.endpoint == "a":
            took, status = 1e9, Status.TIMEOUT  # hangs
        elif action.endpoint == "b":
            took, status = self.settings.dial_timeout_ms, Status.UNREACHABLE
        elif action.endpoint == "c" and self.rng.random() < 0.3:
            status = self.rng.choice([Status.ERROR, Status.RESET, Status.OVERLOADED])
        left = min(action.timeout_ms or 1e9, one.deadline - now)
        if took >= left:
            took, status = left, Status.TIMEOUT
        self.push(now + took, action.request_id, len(one.sent) - 1, status)

    def push(self, at: float, name: str, attempt: int, status: Status) -> None:
        heapq.heappush(self.due, (at, next(self.numbers), name, attempt, status))


class Elsewhere(unittest.TestCase):
    def test_each_request_gets_one_answer_in_time_and_servers_that_serve_are_used(self) -> None:
        for name, settings in ELSEWHERE.items():
            for zones in (1, 3):
                with self.subTest(name, zones=zones):
                    day = Day(settings, zones, self)
                    day.play()
                    served = day.ends["ok"] / sum(day.ends.values())
                    self.assertGreater(served, 0.8, day.ends)

    def test_who_has_little_patience_is_not_turned_away_on_a_guess(self) -> None:
        """Danger: what answers take is guessed from the aim; where nothing is sent, nothing is learnt."""
        for aim in (2000.0, 9000.0, 60000.0):
            harness = NodeHarness(Settings(classes=(RequestClass(aim, 60000.0, effect=Effect.SAFE),)), "ab")
            for i in range(200):
                (out,) = sends(harness.ask(f"r{i}", left=300.0))
                harness.advance_to(harness.now + 20.0)
                harness.end(f"r{i}", Status.OK, out.endpoint)

    def test_an_aim_beyond_the_deadline_is_the_deadline(self) -> None:
        for aim, wanted in ((9000.0, 2000.0), (None, 2000.0), (800.0, 800.0), (0.0, 1.0)):
            read = read_settings({"Classes": [{"AimMs": aim, "HardLimitMs": 2000.0}]})
            self.assertEqual(read.classes[0].target_latency_ms, wanted)


class Beyond(ProxyProcessTest):
    """The same with the real program: an aim so long that all was refused for good."""

    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 15000.0, "HardLimitMs": 40000.0, "Effect": "pure"}]
    }

    def test_what_can_be_served_is_served(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer())))
        client = self.client()
        for _ in range(10):
            self.assertEqual(self.ask(client, ms=1500).read(), b"ok")


if __name__ == "__main__":
    unittest.main()
