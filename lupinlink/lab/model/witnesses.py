"""One referee over what several processes saw: each writes it down, a hearing puts it in order. Pure.

The processes read one clock. What is told of one request by two of them can arrive in any order, so a report
is held back until every witness has told all that it saw before: a witness that stands still holds all back.
"""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from typing import Any

from lupinlink.clock import Clock
from lupinlink.lab.model.referee import End, First, Referee, Reply, Try
from lupinlink.lab.model.scenario import Scenario

UNSEEN_MS = 50.0  # an end that only a close tells may have come so much before it was read
MOST_UNSEEN_MS = 1000.0  # or as long as this process has not looked, up to this

Report = tuple[Any, ...]  # time in milliseconds, what, and its figures: plain values only


class Witness(Referee):
    """Judges nothing: what it is told becomes reports, for ``take`` to collect."""

    def __init__(self, scenario: Scenario, clock: Clock) -> None:
        super().__init__(scenario)
        self._clock = clock
        self.looked_at = clock.now()  # when this process last looked at all of its connections
        self._reports: list[Report] = []
        self._attempts = 0
        self._sent_at: dict[int, float] = {}

    def take(self) -> list[Report]:
        """What was reported since the last time."""
        found, self._reports = self._reports, []
        return found

    def say(self, what: str, *figures: Any, at: float | None = None) -> None:
        """One report, of now unless another time is given."""
        self._reports.append((self._clock.now() if at is None else at, what, *figures))

    def first(self, number: int, first: First, work_ms: float) -> None:
        self.say("first", number, first.class_index, first.member, first.over_quota, work_ms, at=first.at)

    def asked(self, request: Try) -> None:
        r = request
        self.say(
            "asked", r.name, r.first, r.number, r.proxy, r.class_index, r.member, r.deadline, at=request.at
        )

    def answered(self, name: str, now: float, what: Reply, made_for: str = "") -> None:
        self.say("answered", name, what.value, made_for, at=now)

    def left(self, name: str, now: float) -> None:
        self.say("left", name, at=now)

    def broken_off(self, name: str, now: float) -> None:
        self.say("broken_off", name, at=now)

    def served(self, number: int, now: float) -> None:
        self.say("served", number, at=now)

    def over(self, number: int, now: float) -> None:
        self.say("over", number, at=now)

    def sent(self, name: str, server: str, zone: int, cell: int, now: float, crosses: bool) -> int:
        self._attempts += 1
        self._sent_at[self._attempts] = now
        self.say("sent", self._attempts, name, server, zone, cell, crosses, at=now)
        return self._attempts

    def arrived(self, name: str, number: int, now: float) -> None:
        self.say("arrived", number, name, at=now)

    def ended(self, name: str, number: int, now: float, how: End) -> None:
        sent_at = self._sent_at.pop(number, None)
        if sent_at is None:
            return
        if how is End.GIVEN_UP:
            # The proxy closed before this process read it, perhaps while it was busy with other bytes.
            unseen = min(max(UNSEEN_MS, now - self.looked_at), MOST_UNSEEN_MS)
            now = max(sent_at, now - unseen)
        self.say("ended", number, name, how.value, at=now)

    def told(self, proxy: int, server: str, may_send: bool, now: float) -> None:
        self.say("told", proxy, server, may_send, at=now)

    def told_start(self, proxy: int, server: str, now: float) -> None:
        self.say("told_start", proxy, server, at=now)

    def fell(self, server: str, now: float, by: dict[int, float]) -> None:
        self.say("fell", server, [list(item) for item in by.items()], at=now)

    def shook(self) -> None:
        self.say("shook")

    def probed(self) -> None:
        self.say("probed")

    def wasted(self, work_ms: float) -> None:
        self.say("wasted", work_ms)

    def proxy_died(self, proxy: int) -> None:
        self.say("proxy_died", proxy)

    def proxy_ended(self, proxy: int) -> None:
        self.say("proxy_ended", proxy)

    def proxy_started(self, proxy: int) -> None:
        self.say("proxy_started", proxy)


class Hearing:
    """Tells one referee, in order of time, what the witnesses have reported."""

    def __init__(self, judge: Referee, witnesses: int) -> None:
        """``witnesses``: how many there are, numbered from 0."""
        self.judge = judge
        self.taken: Counter[tuple[int, int]] = Counter()  # tries by whole second and proxy
        self._until = [0.0] * witnesses  # until when each has told all
        self._reports: list[tuple[float, int, int, Report]] = []
        self._heard = 0
        self._numbers: dict[tuple[int, int], int] = {}  # witness and its attempt: the judge's number of it

    def put(self, witness: int, now: float, reports: list[Report]) -> None:
        """All that one witness saw until now and has not told before."""
        self._until[witness] = now
        for report in reports:
            self._heard += 1
            heappush(self._reports, (report[0], self._heard, witness, report))

    @property
    def known(self) -> float:
        """The time before which nothing is to be told any more."""
        return min(self._until) - MOST_UNSEEN_MS

    def tell(self, until: float) -> None:
        """Tell the referee all that happened before a time, at most what is known."""
        while self._reports and self._reports[0][0] < until:
            at, _, witness, report = heappop(self._reports)
            getattr(self, f"_{report[1]}")(at, witness, *report[2:])

    def _first(self, at: float, _: int, number: int, cls: int, member: int, over: bool, work: float) -> None:
        self.judge.first(number, First(cls, member, at, over), work)

    def _asked(
        self, at: float, _: int, name: str, first: int, number: int, proxy: int, cls: int, member: int,
        deadline: float,
    ) -> None:  # fmt: skip
        self.taken[int(at // 1000.0), proxy] += 1
        self.judge.asked(Try(name, first, number, proxy, cls, member, at, deadline))

    def _answered(self, at: float, _: int, name: str, what: str, made_for: str) -> None:
        self.judge.answered(name, at, Reply(what), made_for)

    def _left(self, at: float, _: int, name: str) -> None:
        self.judge.left(name, at)

    def _broken_off(self, at: float, _: int, name: str) -> None:
        self.judge.broken_off(name, at)

    def _served(self, at: float, _: int, number: int) -> None:
        self.judge.served(number, at)

    def _over(self, at: float, _: int, number: int) -> None:
        self.judge.over(number, at)

    def _sent(
        self,
        at: float,
        witness: int,
        attempt: int,
        name: str,
        server: str,
        zone: int,
        cell: int,
        crosses: bool,
    ) -> None:
        self._numbers[witness, attempt] = self.judge.sent(name, server, zone, cell, at, crosses)

    def _arrived(self, at: float, witness: int, attempt: int, name: str) -> None:
        self.judge.arrived(name, self._numbers.get((witness, attempt), -1), at)

    def _ended(self, at: float, witness: int, attempt: int, name: str, how: str) -> None:
        self.judge.ended(name, self._numbers.pop((witness, attempt), -1), at, End(how))

    def _told(self, at: float, _: int, proxy: int, server: str, may_send: bool) -> None:
        self.judge.told(proxy, server, may_send, at)

    def _told_start(self, at: float, _: int, proxy: int, server: str) -> None:
        self.judge.told_start(proxy, server, at)

    def _fell(self, at: float, _: int, server: str, by: list[tuple[int, float]]) -> None:
        self.judge.fell(server, at, dict(by))

    def _shook(self, at: float, _: int) -> None:
        self.judge.shook()

    def _probed(self, at: float, _: int) -> None:
        self.judge.probed()

    def _wasted(self, at: float, _: int, work_ms: float) -> None:
        self.judge.wasted(work_ms)

    def _proxy_died(self, at: float, _: int, proxy: int) -> None:
        self.judge.proxy_died(proxy)

    def _proxy_ended(self, at: float, _: int, proxy: int) -> None:
        self.judge.proxy_ended(proxy)

    def _proxy_started(self, at: float, _: int, proxy: int) -> None:
        self.judge.proxy_started(proxy)
