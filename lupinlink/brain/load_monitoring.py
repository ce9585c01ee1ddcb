"""What a node makes of what it sees: its servers' load and health, and period by period the admission."""

import math
from random import Random

from lupinlink import interface as api
from lupinlink.brain.admission import INITIAL_SERVICE_TIME, Admission, SheddingOrder
from lupinlink.brain.concurrency import ConcurrencyLimits
from lupinlink.brain.health import OutlierDetector, SlowStart
from lupinlink.brain.ready_capacity import ReadyCapacity
from lupinlink.brain.server_selection import (
    FADE_MS,
    LATENCY,
    LATENCY_GAIN,
    OVERDUE_GAIN,
    REPORT,
    REPORT_GAIN,
    ServerSelector,
)
from lupinlink.interface import AdmissionPeriod, Attempt, LatencyStats, Request, Server, Status
from lupinlink.node import Node

PERIOD_MS, PERIOD_JITTER = 1000.0, 0.25  # T, under the paper's 3 s: bursts end by then; nodes never in step
PERIOD_AIMS, MOST_DELAY = 2.5, 2.0  # in aims: T's most (its least: one, or no answer ends in it); late
MIN_SAMPLES, LEAST_PERIOD, MAX_PERIODS = 8, 0.5, 3  # fewer served say little: it goes on, up to so many T
RETURN_SHARE, STATS_GAIN = 0.5, 0.02  # refused held to return, if unmarked; of one latency for its class
OUTLIER, ABSENT_MOST = 1.1, 3  # log load whose delays tell of no other; not reached in a row: nobody there
SPILL_FROM, SPILL_SPAN = 0.9, 0.8  # the own zone's preference ends over this span of delay over target
PROBE_MOST, PROBE_DRAWS = 2.0, 4  # probes an arrival if unheard of; the longest so of those drawn
FULL_FIGURE, FULL_DELAY = 4.0, 1.5  # turned away by a full server: latency over usual, and delay in aims
HEALTH_GAIN, TIMEOUT_GAIN = 0.2, 0.3  # one broken answer or connection says little of the next


class LoadMonitoringNode(Node):
    """Learns from each piece of news and, period by period, revises the admission."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.latency = [
            LatencyStats(
                c.target_latency_ms * INITIAL_SERVICE_TIME, c.target_latency_ms * INITIAL_SERVICE_TIME
            )
            for c in settings.classes
        ]
        late = sum(c.late_value for c in settings.classes) / len(settings.classes)
        self.admission = Admission(settings.peers, late, settings.warm_keys)
        self.shedding_order, self.outlier_detector, self.slow_start = (
            SheddingOrder(settings),
            OutlierDetector(rng),
            SlowStart(settings),
        )
        self.limits = ConcurrencyLimits(settings.peers)
        self.selector = ServerSelector(settings, self.slow_start, rng, self.limits)
        self.ready_capacity = ReadyCapacity(self.slow_start)
        self.period, self.probe_tokens = AdmissionPeriod(0.0), 0.0
        self.probes = settings.may_probe and settings.reports_in_probes and not settings.reports_in_answers
        self.span = min(
            max(PERIOD_MS, aim := min(c.target_latency_ms for c in settings.classes)), PERIOD_AIMS * aim
        )

    def capacity(self, now: float) -> float:
        """Servers that take work, a cold one by its warmth."""
        self.take_back(now)
        return self.ready_capacity.total(now)

    def take_back(self, now: float) -> None:
        """Servers whose ejection is over may be asked again."""
        for server in self.outlier_detector.returned(now):
            self.server_usable_changed(server, now)

    def server_usable_changed(self, server: Server, now: float) -> None:
        """It may take work from now on, or may not."""
        usable = server.usable(now) and self.servers.get(server.endpoint.name) is server
        self.selector.subset.set_usable(server, usable, now)
        self.ready_capacity.set_usable(server, usable, now)

    def server_listed(self, server: Server) -> None:
        """A new process: the first token is drawn, so that the nodes do not all meet it cold at once."""
        server.tokens = self.rng.random()
        self.selector.subset.listed(server)

    def server_left(self, server: Server, now: float) -> None:
        self.server_usable_changed(server, now)
        self.selector.subset.left(server, now)

    def eject(self, server: Server, now: float, most: float) -> None:
        """Leave it out for a while, if not so many are."""
        if self.outlier_detector.eject(server, now, most):
            self.server_usable_changed(server, now)

    def look_ahead(self, now: float) -> None:
        """Fewer servers may be left: refuse from now on what they cannot bear, the delay tells too late."""
        admission, share = self.admission, self.admission.capacity_bound.update(self.capacity(now))
        if share < admission.admit_probability:
            admission.admit_probability, admission.refusing, admission.delta = share, True, 0.0
            self.begin_period(now)

    def begin_period(self, now: float) -> None:
        """From here on by the admission as it stands."""
        self.shedding_order.revise(
            self.admission.admit_probability, max(now - self.period.start, 1.0) / 1000.0, self.latency
        )
        self.period = AdmissionPeriod(now)

    def end_period(self, now: float) -> None:
        self.call_later(
            self.span * self.rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER), self.end_period
        )
        period, seconds = self.period, max(now - self.period.start, 1.0) / 1000.0
        if seconds * 1000.0 < (MAX_PERIODS if 0 < period.count < MIN_SAMPLES else LEAST_PERIOD) * self.span:
            return
        fresh = float(period.arrivals - period.retries)
        if not self.settings.clients_mark_retries:  # refused clients who return are not new load
            fresh = max(period.arrivals - RETURN_SHARE * period.refused, 0.5 * period.arrivals)
        busy = (
            period.utilization_sum / period.utilization_count
            if period.utilization_count >= MIN_SAMPLES
            else None
        )
        rate, delay, ready = fresh / seconds, self.delay(period, seconds, now), self.capacity(now)
        self.admission.revise(rate, delay, ready, busy, min(1.0, period.processed / max(1, period.arrivals)))
        even = period.arrivals / seconds / 1000.0 / max(1, len(self.selector.table))
        self.slow_start.per_server += 0.5 * (even - self.slow_start.per_server)
        over = (self.admission.delay / self.admission.target - SPILL_FROM) / SPILL_SPAN
        self.selector.spill = min(max(over, 0.0), 1.0)
        self.begin_period(now)

    def delay(self, period: AdmissionPeriod, seconds: float, now: float) -> float | None:
        """Mean delay in aims: of the served and, by a latency's share in the period, of those out (Little).

        Danger: where answers take as long as a period, the served ones tell of the admission before last.
        """
        out = [
            (now - a.sent_at, r.cls.target_latency_ms)
            for r, a in self.outstanding()
            if a.server.load < OUTLIER
        ]
        if not period.count:
            oldest = max((age / aim for age, aim in out), default=0.0)  # a single slow request is no jam
            return oldest if len(out) >= MIN_SAMPLES and oldest > self.admission.target else None
        served, span = period.delay_sum / period.count, seconds * 1000.0
        # Danger: full servers turn away at once. Counted as passing through, they make a jam look quick.
        held = max(1, period.processed)
        little = sum(1.0 / aim for _, aim in out) * span / held
        return served + min(1.0, period.latency_sum / held / span) * (little - served)

    def evidence(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        """What an outcome says of the server and, for d, of all; quick errors say nothing of load."""
        server, status, aim = attempt.server, event.status, request.cls.target_latency_ms
        stats, delay = self.latency[request.arrival.class_index], (now - attempt.sent_at) / aim
        self.report(server, event.report, now)
        if status == Status.TIMEOUT and now - attempt.sent_at < stats.mean:
            return  # its client's patience was short, which says nothing of the server
        # it answers others: no fault
        load = status == Status.TIMEOUT and server.last_response_at >= attempt.sent_at
        if status in (Status.OK, Status.ERROR, Status.OVERLOADED, Status.REJECTED):
            server.last_response_at, server.unanswered, server.connect_failures = now, 0, 0
        if status == Status.OK:
            self.selector.recent.used(server, now)
            gain = 0.0 if self.settings.reports_in_answers else LATENCY_GAIN
            self.selector.observe(server, delay * aim / stats.mean, LATENCY, gain, now)
            stats.add(delay * aim, STATS_GAIN)
            self.limits.answered(event.report, delay)
        elif status == Status.OVERLOADED:
            self.selector.observe(server, FULL_FIGURE, LATENCY, OVERDUE_GAIN, now)
            delay = FULL_DELAY
        if not load and status not in (Status.OVERLOADED, Status.CANCELLED, Status.NOT_SENT, Status.REJECTED):
            gain = TIMEOUT_GAIN if status == Status.TIMEOUT else HEALTH_GAIN
            if self.outlier_detector.record(server, gain, status != Status.OK, now, self.ready):
                self.server_usable_changed(server, now)
        server.connect_failures += status == Status.UNREACHABLE
        if (
            status == Status.UNREACHABLE and server.connect_failures >= ABSENT_MOST
        ):  # nothing is there, at however many
            self.eject(server, now, math.inf)
        if (load or status in (Status.OK, Status.OVERLOADED)) and server.load < OUTLIER:
            # One bad server must not shed traffic that others could carry, nor one long wait outweigh many.
            delay = min(delay, MOST_DELAY)
            self.period.add(delay, delay * aim, status != Status.OVERLOADED)

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        if report:
            self.limits.report(server, report, now)
        if report and "utilization" in report:
            self.slow_start.report(server, report["utilization"])
            self.period.add_utilization(report["utilization"])
        for name in ("in_flight", "queued", "latency_ms", "utilization"):
            if report and name in report:
                return self.selector.observe(server, 1.0 + report[name], REPORT, REPORT_GAIN, now)

    def probe_some(self) -> None:
        """Where reports come by probe only, make up for what this node's own requests do not show."""
        self.probe_tokens += PROBE_MOST / (1.0 + self.slow_start.per_server * FADE_MS) ** 2
        if self.probes and self.selector.table and self.probe_tokens >= 1.0:
            self.probe_tokens = 0.0
            drawn = [self.selector.table.draw(self.rng.random()) for _ in range(PROBE_DRAWS)]
            self.actions.append(api.Probe(min(drawn, key=lambda s: s.load_updated_at).endpoint.name))

    def probe_ended(self, server: Server, event: api.ProbeResult, now: float) -> None:
        if event.status == Status.OK:
            self.report(server, event.report, now)
        elif event.status == Status.TIMEOUT:
            self.selector.observe(server, FULL_FIGURE, LATENCY, OVERDUE_GAIN, now)
