"""The referee: the four rules and the worth of the service, from what the wire, servers and clients saw.

Nothing a proxy says of itself counts. The wire tells when a request was whole at a proxy, when an attempt's
first byte went out, when its last byte arrived, how it ended for both sides; the clients tell what they
were answered; the farm tells what the roster told whom, and which server fell.

The rules: 1 one final answer for each request taken, in time; 2 no forbidden repeat, no two attempts out at
once, no refusal of what may have run; 3 nothing to a draining or gone server later than the grace; 4 no cold
server pushed over.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lupinlink.lab.model.scenario import ClassSpec, Goal, Rules, Scenario

RECENT = 4096  # tries that are over and still remembered, for answers that come twice
MOST_KEPT = 200  # broken rules that are kept with their story; all are counted


class Reply(Enum):
    """What a client was answered."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class End(Enum):
    """How an attempt ended between proxy and server."""

    SERVED = "served"
    ERROR = "error"  # it may have run
    NEVER_RAN = "never ran"
    RESET = "reset"  # the connection broke; it may have run
    GIVEN_UP = "given up"  # the proxy closed its connection; it may have run, or may yet


@dataclass(slots=True)
class Sent:
    """One attempt, as the wire saw it."""

    server: str
    zone: int
    cell: int
    at: float
    arrived: float | None = None  # its last byte at the server
    ended: float | None = None
    end: End | None = None

    @property
    def may_have_run(self) -> bool:
        return self.end is not End.NEVER_RAN


@dataclass(slots=True)
class Try:
    """One request of a client at one proxy, and all that became of it."""

    name: str
    first: int  # the number of the first try that it belongs to
    number: int  # 0: the first one
    proxy: int
    class_index: int
    member: int
    at: float  # its last byte at the proxy
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    answers: list[tuple[float, Reply, str]] = field(default_factory=list)  # time, what, whose answer it was
    left: float | None = None  # when the client went away
    judged: bool = False  # its lack of an answer in time has been counted
    void: bool = False  # its proxy died, or was never reached: nothing is owed

    def story(self) -> list[str]:
        """What happened, line by line in order of time."""
        lines = [(self.at, f"whole at proxy {self.proxy}, to be answered by {self.deadline:.1f}")]
        for i, s in enumerate(self.sent):
            lines.append((s.at, f"attempt {i} goes out to {s.server}"))
            if s.arrived is not None:
                lines.append((s.arrived, f"attempt {i} is whole at {s.server}"))
            if s.ended is not None and s.end is not None:
                lines.append((s.ended, f"attempt {i} ends: {s.end.value}"))
        lines += [(at, f"answered: {what.value}") for at, what, _ in self.answers]
        if self.left is not None:
            lines.append((self.left, "the client leaves"))
        return [f"{at:12.1f} ms  {text}" for at, text in sorted(lines, key=lambda line: line[0])]


@dataclass(slots=True)
class First:
    """A first try with what it is worth; its retries belong to it."""

    class_index: int
    member: int
    at: float
    over_quota: bool
    done_at: float | None = None  # when it was served
    closed: bool = False  # no further try will come
    ended_at: float = 0.0


@dataclass(slots=True)
class Broken:
    """A broken rule."""

    rule: int
    at: float
    what: str
    request: str = ""
    story: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Sums:
    """Worth asked for and earned."""

    asked: float = 0.0
    earned: float = 0.0
    firsts: int = 0
    in_time: int = 0

    @property
    def share(self) -> float:
        return self.earned / self.asked if self.asked > 0.0 else 1.0


@dataclass(slots=True)
class Tally:
    """Counts of a run."""

    firsts: int = 0
    tries: int = 0
    attempts: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    in_time: int = 0
    late: int = 0
    crossings: int = 0
    handshakes: int = 0
    probes: int = 0
    fallen: int = 0  # cold servers pushed over, whoever is to blame
    work_ms: float = 0.0  # asked for
    wasted_ms: float = 0.0  # done at servers for attempts that served nobody
    late_failed: float = 0.0  # worth that ended unserved after its aim


class Referee:
    """Takes what happened as it happens; ``ended`` is told of each try once nothing more can come of it."""

    def __init__(
        self, scenario: Scenario, ended: Callable[[Try], None] | None = None, slack_ms: float = 0.0
    ) -> None:
        """``slack_ms``: by so much every time limit is longer."""
        self.rules: Rules = scenario.rules
        self.answer_slack_ms = scenario.rules.answer_slack_ms + slack_ms
        self.drain_grace_ms = scenario.rules.drain_grace_ms + slack_ms
        self.window_slack_ms = slack_ms
        self.goal: Goal = scenario.goal
        self.classes: list[ClassSpec] = list(scenario.classes.values())
        self.broken: list[Broken] = []
        self.counts = [0, 0, 0, 0, 0]  # broken rules by number; 0 unused
        self.tally = Tally()
        self.whole = Sums()
        self.by_class = [Sums() for _ in scenario.classes]
        self.by_member = [Sums() for _ in scenario.members]
        self.by_second: dict[int, Sums] = {}
        self._ended = ended
        self._tries: dict[str, Try] = {}
        self._firsts: dict[int, First] = {}
        self._told: dict[tuple[int, str], float] = {}  # proxy and server: since when it is told not to send
        self._starts: dict[tuple[int, str], float] = {}  # proxy and server: when it was told of its start
        self._recent: OrderedDict[str, Try] = OrderedDict()
        self._dead: set[int] = set()  # proxies that do not run: what comes to them is owed nothing

    # What clients tell

    def first(self, number: int, first: First, work_ms: float) -> None:
        """Somebody wants something."""
        self._firsts[number] = first
        self.tally.firsts += 1
        self.tally.work_ms += work_ms
        worth = self.worth(first)
        second = self.by_second.setdefault(int(first.at // 1000.0), Sums())
        for sums in (self.whole, self.by_class[first.class_index], second):
            sums.asked += worth
            sums.firsts += 1
        if not first.over_quota:
            self.by_member[first.member].asked += worth

    def worth(self, first: First) -> float:
        """What an answer in time is worth."""
        return self.classes[first.class_index].worth * (
            self.goal.over_quota_worth if first.over_quota else 1.0
        )

    def asked(self, request: Try) -> None:
        """A whole request is at a proxy: from here on an answer is owed."""
        if request.name in self._tries:
            raise ValueError(f"two tries are named {request.name}")
        self.tally.tries += 1
        self._tries[request.name] = request
        if request.proxy in self._dead:
            request.void = True
            self._settle(request)

    def answered(self, name: str, now: float, what: Reply, made_for: str = "") -> None:
        """The last byte of an answer has left its proxy. ``made_for``: the try whose answer a server made."""
        request = self._tries.get(name) or self._recent.get(name)
        if request is not None and request.void:
            return None
        if request is None:
            return self._break(1, now, "an answer to a request that nobody has open", name)
        request.answers.append((now, what, made_for))
        if request.judged:
            return None
        if len(request.answers) > 1:
            return self._break(1, now, "a second final answer", name, request)
        slack = self.answer_slack_ms
        if request.left is None and now > request.deadline + slack:
            self._break(1, now, f"answered {now - request.deadline:.1f} ms after its deadline", name, request)
        if what is Reply.SERVED:
            self.tally.served += 1
            if made_for != name or not any(s.end is End.SERVED for s in request.sent):
                self._break(1, now, "served with an answer that no server made for it", name, request)
        elif what is Reply.REFUSED:
            self.tally.refused += 1
            self._refused(request, now)
        else:
            self.tally.failed += 1
        self._settle(request)

    def left(self, name: str, now: float) -> None:
        """The client has closed its connection: nothing is owed any more."""
        request = self._tries.get(name)
        if request is not None and request.left is None:
            request.left = now
            self._settle(request)

    def broken_off(self, name: str, now: float) -> None:
        """The client's connection has ended without an answer: its proxy must have been killed."""
        request = self._tries.get(name)
        if request is None or request.answers or request.left is not None or request.judged:
            return
        self._break(1, now, "its connection was ended without an answer", name, request)
        request.judged = True
        self._settle(request)

    def proxy_ended(self, proxy: int) -> None:
        """It has left by itself: what it took before it still owes."""
        self._dead.add(proxy)

    def proxy_started(self, proxy: int) -> None:
        """It runs (again): it owes what it takes."""
        self._dead.discard(proxy)

    def proxy_died(self, proxy: int) -> None:
        """What it had open is lost with it, which is no sin of its."""
        self._dead.add(proxy)
        for request in [r for r in self._tries.values() if r.proxy == proxy]:
            request.void = True
            for sent in request.sent:
                sent.end = sent.end or End.GIVEN_UP
            self._settle(request)
        for told in (self._told, self._starts):
            for key in [key for key in told if key[0] == proxy]:
                del told[key]

    def served(self, number: int, now: float) -> None:
        """A first try, or a retry of it, has its answer at the client."""
        first = self._firsts.get(number)
        if first is None or first.done_at is not None:
            return
        first.done_at = now
        cls = self.classes[first.class_index]
        in_time = now <= first.at + cls.aim_ms
        self.tally.in_time += in_time
        self.tally.late += not in_time
        earned = self.worth(first) * (1.0 if in_time else cls.late_worth)
        for sums in (self.whole, self.by_class[first.class_index], self.by_second[int(first.at // 1000.0)]):
            sums.earned += earned
            sums.in_time += in_time
        if not first.over_quota:
            self.by_member[first.member].earned += earned

    def over(self, number: int, now: float) -> None:
        """No further try will come of a first one."""
        first = self._firsts.pop(number, None)
        if first is not None and first.done_at is None:
            self.tally.unanswered += 1
            if now > first.at + self.classes[first.class_index].aim_ms:
                self.tally.late_failed += self.worth(first)

    # What the wire tells

    def sent(self, name: str, server: str, zone: int, cell: int, now: float, crosses: bool) -> int:
        """An attempt's first byte goes out; its number within its try."""
        request = self._tries.get(name)
        if request is None:
            before = self._recent.get(name)
            if before is None or not before.void:  # nothing is owed to one, and it breaks nothing
                self._break(1, now, f"sent to {server} for a request that is over", name, before)
            return -1
        self.tally.attempts += 1
        self.tally.crossings += crosses
        attempt = Sent(server, zone, cell, now)
        cls = self.classes[request.class_index]
        if request.answers:
            self._break(1, now, f"sent to {server} after its final answer", name, request)
        if len(request.sent) >= self.rules.attempts:
            self._break(2, now, f"attempt {len(request.sent) + 1} of {self.rules.attempts}", name, request)
        for earlier in request.sent:
            if earlier.end is None:
                self._break(2, now, f"sent to {server} while one is out at {earlier.server}", name, request)
            elif earlier.may_have_run and not self._may_follow(cls, earlier, attempt):
                self._break(2, now, f"{cls.effect} request repeated at {server}", name, request)
        told = self._told.get((request.proxy, server))
        if told is not None and now > told + self.drain_grace_ms:
            self._break(3, now, f"sent to {server} {now - told:.0f} ms after it was told off", name, request)
        request.sent.append(attempt)
        return len(request.sent) - 1

    def _may_follow(self, cls: ClassSpec, earlier: Sent, later: Sent) -> bool:
        if cls.effect == "safe":
            return True
        if cls.effect == "unsafe" or later.at >= earlier.at + cls.window_ms + self.window_slack_ms:
            return False
        if cls.scope == "zone":
            return earlier.zone == later.zone
        return cls.scope == "all" or earlier.cell == later.cell

    def arrived(self, name: str, number: int, now: float) -> None:
        """An attempt's last byte is at its server."""
        request = self._tries.get(name)
        if request is not None and 0 <= number < len(request.sent):
            request.sent[number].arrived = now

    def ended(self, name: str, number: int, now: float, how: End) -> None:
        """An attempt is over for its proxy: answered, broken, or given up."""
        request = self._tries.get(name)
        if request is None or not 0 <= number < len(request.sent):
            return
        attempt = request.sent[number]
        if attempt.end is None:
            attempt.end, attempt.ended = how, now
            self._settle(request)

    # What the farm tells

    def told(self, proxy: int, server: str, may_send: bool, now: float) -> None:
        """The roster has told a proxy, or counts as having told it."""
        if may_send:
            self._told.pop((proxy, server), None)
        else:
            self._told.setdefault((proxy, server), now)

    def told_start(self, proxy: int, server: str, now: float) -> None:
        """A proxy was told that a server has started."""
        self._starts[proxy, server] = now

    def fell(self, server: str, now: float, by: dict[int, float]) -> None:
        """A cold server was pushed over; ``by``: work by the proxy that sent it."""
        self.tally.fallen += 1
        knew = sum(work for proxy, work in by.items() if (proxy, server) in self._starts)
        share = knew / max(sum(by.values()), 1e-9)
        if share >= 2.0 / 3.0:
            self._break(4, now, f"{server} fell over while cold, {share:.0%} sent by who knew", server)

    def shook(self) -> None:
        """A new connection has cost a server its work."""
        self.tally.handshakes += 1

    def probed(self) -> None:
        """A server was probed."""
        self.tally.probes += 1

    def wasted(self, work_ms: float) -> None:
        """A server has done work that served nobody."""
        self.tally.wasted_ms += work_ms

    # The end

    def overdue(self, now: float) -> None:
        """Judge what should have had its answer by now."""
        slack = self.answer_slack_ms
        for request in list(self._tries.values()):
            owed = not (request.answers or request.left is not None or request.void or request.judged)
            if owed and now > request.deadline + slack:
                self._break(1, now, "no answer in time", request.name, request)
                request.judged = True
                self._settle(request)

    @property
    def open(self) -> int:
        """Tries that are still open."""
        return len(self._tries)

    def service(self) -> dict[str, float]:
        """The figures of the service; G is the weighted whole less the prices."""
        goal, tally = self.goal, self.tally
        firsts = max(1, tally.firsts)
        parts = {
            "whole": self.whole.share,
            "worst_window": self._worst_window(),
            "worst_class": min((s.share for s in self.by_class if s.asked > 0.0), default=1.0),
            "worst_member": min((s.share for s in self.by_member if s.asked > 0.0), default=1.0),
        }
        prices = {
            "cross_zone": goal.cross_zone_price * tally.crossings / firsts,
            "waste": goal.waste_price * tally.wasted_ms / max(tally.work_ms, 1e-9),
            "late_fail": goal.late_fail_price * tally.late_failed / max(self.whole.asked, 1e-9),
            "handshake": goal.handshake_price * tally.handshakes / firsts,
            "probe": goal.probe_price * tally.probes / firsts,
        }
        total = sum(parts[name] * getattr(goal, name) for name in parts) - sum(prices.values())
        return {"G": total, **parts, **{f"price_{name}": value for name, value in prices.items()}}

    def _worst_window(self) -> float:
        width = max(1, int(self.goal.window_s))
        seconds = sorted(self.by_second)
        if not seconds:
            return 1.0
        worst = 1.0
        for start in range(seconds[0], max(seconds[0], seconds[-1] - width + 1) + 1):
            sums = [self.by_second[s] for s in range(start, start + width) if s in self.by_second]
            asked = sum(s.asked for s in sums)
            if asked > 0.0:
                worst = min(worst, sum(s.earned for s in sums) / asked)
        return worst

    def _refused(self, request: Try, now: float) -> None:
        cls = self.classes[request.class_index]
        if cls.effect == "safe" or (cls.effect == "keyed" and cls.scope == "all"):
            return
        if any(s.may_have_run for s in request.sent):
            self._break(
                2, now, f"{cls.effect} request refused although it may have run", request.name, request
            )

    def _break(self, rule: int, at: float, what: str, name: str = "", request: Try | None = None) -> None:
        self.counts[rule] += 1
        if len(self.broken) < MOST_KEPT:
            self.broken.append(Broken(rule, at, what, name, request.story() if request is not None else []))

    def _settle(self, request: Try) -> None:
        """Forget a try that is over and whose attempts have all ended."""
        over = bool(request.answers) or request.left is not None or request.void or request.judged
        if over and all(s.end is not None for s in request.sent):
            if self._tries.pop(request.name, None) is None:
                return  # it was over before
            self._recent[request.name] = request
            if len(self._recent) > RECENT:
                self._recent.popitem(last=False)
            if self._ended is not None:
                self._ended(request)
