"""An application server: cores, slots, a waiting room, warmth, key memory, connections, reports, failures.

Cores are shared evenly by all that is in work (egalitarian processor sharing, at most one core a job); the
wait on others that each job has beside its work holds its slot but no core. Which jobs end when follows from
one virtual time per server, the work that each job present has been given so far: Parekh and Gallager's
device for generalised processor sharing, here with equal shares.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush

from lupinlink.clock import Clock
from lupinlink.lab.model.streams import Draws
from lupinlink.lab.model.troubles import Troubles

OVERHEAD = -1.0  # the wait of a job that belongs to no request and holds no slot
WARM_STEPS, WARM_STEP_MS = 100.0, 100.0  # of its warming, and longest: how often its speed is revised then


class Ending(Enum):
    """How a job came to its end at its server."""

    SERVED = "served"
    ERROR = "error"  # it ran, and the answer is an error
    SPOILT = "spoilt"  # it ran, and the answer cannot be read
    FULL = "full"  # never ran: no slot and no room to wait, or draining
    OVERDUE = "overdue"  # never ran: its time was up before its turn


NEVER_RUN = frozenset({Ending.FULL, Ending.OVERDUE})


@dataclass(slots=True, frozen=True)
class Machine:
    """What a server is. Times are milliseconds, work is milliseconds of one standard core."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 32
    room: int = 40  # waiting, beyond the slots
    crowd_from: float = math.inf  # jobs a core from where on crowding costs
    crowd_loss: float = 0.0  # capacity lost for each further job a core: c / (1 + loss * excess)
    cold_share: float = 1.0
    cold_ms: float = 0.0
    warm_by_work: bool = False  # it may also warm up by what it has done
    key_gain: float = 0.0  # share of the work saved for a key that it met lately
    key_ms: float = 0.0
    key_count: int = 0
    connections: int = 1_000_000
    connection_work_ms: float = 0.0
    probe_work_ms: float = 0.0
    error_rate: float = 0.0
    drops_cancelled: bool = False  # waiting work is dropped on a cancel
    drops_overdue: bool = False  # waiting work is dropped when its time is up
    report_period_ms: float = 100.0
    report_delay_ms: float = 0.0
    report_noise: float = 0.0
    fall_multiple: float = math.inf  # sent more than this times what it can do
    fall_ms: float = 3000.0  # over such a span, a cold server falls over


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at its server. ``ended`` is told the ending and the load report of that moment."""

    work_ms: float
    wait_ms: float
    key: int
    expires_at: float
    ended: Callable[[Ending, dict[str, float]], None] | None
    source: int = 0  # the proxy that sent it
    goal: float = 0.0  # the server's virtual time at which its work is done
    state: str = "new"  # new, waiting, working, pausing, over
    cost_ms: float = 0.0  # work it was given at the start, known keys considered


@dataclass(slots=True)
class Account:
    """What a server did, for the referee and the reports."""

    taken: int = 0
    turned_away: int = 0
    work_ms: float = 0.0  # done for jobs
    overhead_ms: float = 0.0  # done for connections and probes
    most_held: int = 0


@dataclass(slots=True)
class Fall:
    """A cold server was pushed over."""

    server: str
    at: float
    by: dict[int, float]  # work by the proxy that sent it, within the span


@dataclass(slots=True)
class Ports:
    """Connections of a server, by whoever holds them."""

    open: int = 0
    refused: int = 0


class Server:
    """One process on one machine, from its start to its end."""

    def __init__(
        self,
        name: str,
        machine: Machine,
        clock: Clock,
        draws: Draws,
        started_at: float,
        warm: bool = False,
        fell: Callable[[Fall], None] | None = None,
    ) -> None:
        self.name, self.machine = name, machine
        self.started_at, self.was_warm = started_at, warm
        self.alive, self.draining, self.fallen = True, False, False
        self.troubles = Troubles()
        self.ports = Ports()
        self.account = Account()
        self._clock, self._draws, self._fell = clock, draws, fell
        self._warm_at = -math.inf if warm or machine.cold_ms <= 0.0 else started_at + machine.cold_ms
        self._done_ms = 0.0  # work done since the start
        self._virtual, self._virtual_at, self._rate = 0.0, started_at, machine.speed
        self._ends: list[tuple[float, int, Job]] = []  # by goal
        self._working = 0  # jobs on the cores
        self._held = 0  # jobs in slots, on the cores or pausing
        self._waiting: deque[Job] = deque()
        self._number = 0
        self._planned = math.inf  # when the next look at the ends is due
        self._call = 0
        self._known: OrderedDict[int, float] = OrderedDict()
        self._sent: deque[tuple[float, float, int]] = deque()  # while cold: time, work, proxy
        self._sent_ms = 0.0
        self._busy_ms, self._busy_at = 0.0, started_at  # core time used, for the reports
        self._served, self._refused = 0, 0
        self._report: dict[str, float] = {"util": 0.0, "qps": 0.0, "rif": 0.0, "queue": 0.0}
        self._report_since = started_at
        self._reported_busy, self._reported_served = 0.0, 0
        self._next_report: tuple[float, dict[str, float]] | None = None

    @property
    def held(self) -> int:
        """Jobs in slots and in the waiting room."""
        return self._held + len(self._waiting)

    def used_ms(self) -> float:
        """Core time used so far."""
        self._advance(self._clock.now())
        return self._busy_ms

    def warmth(self, now: float) -> float:
        """The share of its full capacity that it has."""
        machine = self.machine
        if now >= self._warm_at:
            return 1.0
        grown = (now - self.started_at) / machine.cold_ms
        if machine.warm_by_work:
            # Never slower than evenly over time; a full load warms it in half of that.
            full = machine.cold_ms * machine.cores * machine.speed
            grown = max(grown, 2.0 * self._done_ms / full)
        return min(1.0, machine.cold_share + (1.0 - machine.cold_share) * min(1.0, grown))

    def capacity(self, now: float) -> float:
        """Work it can do in a millisecond just now, crowding apart."""
        return self.machine.cores * self.machine.speed * self.warmth(now) / self.troubles.slow

    def offer(self, job: Job) -> None:
        """The last byte of an attempt has arrived."""
        now = self._clock.now()
        if not self.alive or self.troubles.silent:
            return  # nobody is there to say so
        self._weigh(job, now)
        if self.fallen:
            return
        if self.draining or (self._held >= self.machine.slots and len(self._waiting) >= self.machine.room):
            self.account.turned_away += 1
            self._refused += 1
            self._end(job, Ending.FULL)
        elif self._held >= self.machine.slots:
            job.state = "waiting"
            self._waiting.append(job)
        else:
            self._begin(job, now)
        self.account.most_held = max(self.account.most_held, self.held)

    def overhead(self, work_ms: float) -> None:
        """Work that belongs to no request: a new connection, a probe."""
        if self.alive and not self.fallen and work_ms > 0.0:
            now = self._clock.now()
            self.account.overhead_ms += work_ms
            self._advance(now)
            self._enter(Job(work_ms, OVERHEAD, -1, math.inf, None), work_ms, now)

    def cancel(self, job: Job) -> None:
        """Its proxy has given it up; what runs goes on."""
        job.ended = None
        if job.state == "waiting" and self.machine.drops_cancelled:
            job.state = "over"
            self._waiting.remove(job)

    def crash(self) -> None:
        """The process is gone, with all it held."""
        self.alive = False
        for job in self._waiting:
            job.state = "over"  # a cancel may still be on its way
        self._ends.clear()
        self._waiting.clear()
        self._known.clear()
        self._sent.clear()
        self._working = self._held = 0
        self._clock.drop(self._call)
        self._planned = math.inf

    def hang(self, hangs: bool) -> None:
        """Stop or go on saying anything and doing any work."""
        self._advance(self._clock.now())
        self.troubles.hangs = hangs
        self._revise(self._clock.now())

    def slow_down(self, times: float) -> None:
        """Work so many times slower from here on."""
        self._advance(self._clock.now())
        self.troubles.slow = times
        self._revise(self._clock.now())

    def report(self) -> dict[str, float]:
        """The load report that an answer of this moment carries: late, and noisy."""
        now = self._clock.now()
        self._advance(now)
        if self._next_report is not None and now >= self._next_report[0]:
            self._report, self._next_report = self._next_report[1], None
        span = now - self._report_since
        if span >= self.machine.report_period_ms and self._next_report is None:
            used = (self._busy_ms - self._reported_busy) / (span * self.machine.cores)
            rate = (self._served - self._reported_served) * 1000.0 / span
            noise = self.machine.report_noise
            figures = {
                "util": min(1.0, used * math.exp(noise * self._draws.normal())),
                "qps": rate * math.exp(noise * self._draws.normal()),
                "rif": float(self.held),
                "queue": float(len(self._waiting)),
            }
            self._report_since, self._reported_busy, self._reported_served = now, self._busy_ms, self._served
            self._next_report = (now + self.machine.report_delay_ms, figures)
            if self.machine.report_delay_ms <= 0.0:
                self._report, self._next_report = figures, None
        return self._report

    def _weigh(self, job: Job, now: float) -> None:
        """All that is sent to a cold server counts, also what it turns away."""
        machine = self.machine
        if machine.fall_multiple == math.inf or now >= self._warm_at:
            return
        sent = self._sent
        sent.append((now, job.work_ms, job.source))
        self._sent_ms += job.work_ms
        while sent and sent[0][0] <= now - machine.fall_ms:
            self._sent_ms -= sent.popleft()[1]
        limit = machine.fall_multiple * self.capacity(now) * machine.fall_ms
        if self._sent_ms > limit and not self.fallen:
            by: dict[int, float] = {}
            for _, work, source in sent:
                by[source] = by.get(source, 0.0) + work
            self.crash()
            self.alive = self.fallen = True
            if self._fell is not None:
                self._fell(Fall(self.name, now, by))

    def _begin(self, job: Job, now: float) -> None:
        """A slot is free for it."""
        machine = self.machine
        work = job.work_ms
        if machine.key_gain > 0.0 and job.key >= 0:
            if self._known.get(job.key, -math.inf) > now:
                work *= 1.0 - machine.key_gain
            self._known[job.key] = now + machine.key_ms
            self._known.move_to_end(job.key)
            if len(self._known) > machine.key_count:
                self._known.popitem(last=False)
        self.account.taken += 1
        job.cost_ms = work
        self._held += 1
        self._advance(now)
        self._enter(job, work, now)

    def _enter(self, job: Job, work_ms: float, now: float) -> None:
        job.state = "working"
        job.goal = self._virtual + work_ms
        self._number += 1
        heappush(self._ends, (job.goal, self._number, job))
        self._working += 1
        self._revise(now)

    def _advance(self, now: float) -> None:
        """Give every job on the cores its share of the time since."""
        span = now - self._virtual_at
        if span > 0.0:
            if self._working:
                self._virtual += span * self._rate
                done = span * self._rate * self._working
                self._done_ms += done
                self._busy_ms += span * min(self._working, self.machine.cores)
            self._virtual_at = now

    def _revise(self, now: float) -> None:
        """The speed of each job on the cores, and when the next one is done."""
        machine, working = self.machine, self._working
        if self.troubles.hangs or not working:
            self._rate = 0.0
            self._plan(math.inf)
            return
        warmth = 1.0 if now >= self._warm_at else self.warmth(now)
        speed = machine.speed * warmth / self.troubles.slow
        excess = working / machine.cores - machine.crowd_from
        if excess > 0.0:
            speed /= 1.0 + machine.crowd_loss * excess
        self._rate = speed * min(1.0, machine.cores / working)
        due = now + max(0.0, self._ends[0][0] - self._virtual) / self._rate
        if warmth < 1.0:
            due = min(due, now + min(WARM_STEP_MS, machine.cold_ms / WARM_STEPS))
        self._plan(due)

    def _plan(self, due: float) -> None:
        # A look that comes too early only plans again: dropping it each time would cost more.
        if due < self._planned:
            self._clock.drop(self._call)
            self._planned = due
            self._call = self._clock.at(due, self._look)

    def _look(self) -> None:
        """End what is done."""
        self._planned = math.inf
        now = self._clock.now()
        self._advance(now)
        ends = self._ends
        # Rounding must not leave a job a millionth of a millisecond short for ever.
        limit = self._virtual + 1e-6
        over = []
        while ends and ends[0][0] <= limit:
            over.append(heappop(ends)[2])
        self._working -= len(over)
        for job in over:
            if job.wait_ms == OVERHEAD:
                continue
            self.account.work_ms += job.cost_ms
            if job.wait_ms > 0.0:
                job.state = "pausing"
                self._clock.at(now + job.wait_ms, lambda job=job: self._over(job))  # type: ignore[misc]
            else:
                self._over(job)
        if self.alive and not self.fallen:
            self._revise(now)

    def _over(self, job: Job) -> None:
        """Its work and its wait are done; the slot goes to who waits longest."""
        if not self.alive or self.fallen or job.state == "over":
            return  # the process that held it has ended meanwhile
        if self.troubles.hangs:
            self._clock.at(self._clock.now() + 50.0, lambda: self._over(job))
            return
        now = self._clock.now()
        self._held -= 1
        self._served += 1
        rate = self.machine.error_rate + self.troubles.errors
        if rate > 0.0 and self._draws.even() < rate:
            self._end(job, Ending.ERROR)
        elif self.troubles.spoilt > 0.0 and self._draws.even() < self.troubles.spoilt:
            self._end(job, Ending.SPOILT)
        else:
            self._end(job, Ending.SERVED)
        while self._waiting and self._held < self.machine.slots:
            waiting = self._waiting.popleft()
            if self.machine.drops_overdue and waiting.expires_at <= now:
                self._end(waiting, Ending.OVERDUE)
            else:
                self._begin(waiting, now)

    def _end(self, job: Job, how: Ending) -> None:
        job.state = "over"
        ended, job.ended = job.ended, None
        if ended is not None:
            ended(how, self.report())
