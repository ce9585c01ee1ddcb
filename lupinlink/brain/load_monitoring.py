"""What a node learns from outcomes and reports: load and health of servers, and the admission per period."""

import math
from random import Random

from lupinlink import interface as api
from lupinlink.brain.admission import INITIAL_SERVICE_TIME, Admission, SheddingOrder
from lupinlink.brain.concurrency import ConcurrencyLimits
from lupinlink.brain.health import OutlierDetector, SlowStart
from lupinlink.brain.ready_capacity import ReadyCapacity
from lupinlink.brain.server_selection import (
    LATENCY,
    LATENCY_GAIN,
    LOAD_DECAY_MS,
    OVERDUE_GAIN,
    REPORT,
    REPORT_GAIN,
    ServerSelector,
)
from lupinlink.interface import AdmissionPeriod, Attempt, LatencyStats, Request, Server, Status
from lupinlink.node import Node

# Control period T: shorter than the paper's 3 s, by which bursts have ended; jitter keeps nodes out of step.
PERIOD_MS, PERIOD_JITTER = 1000.0, 0.25
# In target latencies: the longest T (the shortest is one, as no answer ends within less); cap on a delay.
MAX_PERIOD_TARGETS, MAX_DELAY = 2.5, 2.0
# With fewer samples, which say little, a period is prolonged, up to this many T; the shortest period in T.
MIN_SAMPLES, MIN_PERIODS, MAX_PERIODS = 8, 0.5, 3
# Share of refused requests assumed to be retried if clients do not mark retries; least weight of one latency.
RETRY_SHARE, MIN_LATENCY_GAIN = 0.5, 0.02
# Log load from which a server's delays say nothing about others; failed connections in a row that eject it.
OUTLIER_LOAD, MAX_UNREACHABLE = 1.1, 3
SPILL_START, SPILL_SPAN = 0.9, 0.8  # delay over target at which cross-zone spill begins; range to full spill
# Probes per arrival if the node's own requests show no server's load; servers drawn to probe the least known.
PROBES_PER_ARRIVAL, PROBE_DRAWS = 2.0, 4
# What a server's refusal for overload counts as: ratio to the usual latency; delay in target latencies.
OVERLOADED_LATENCY_RATIO, OVERLOADED_DELAY = 4.0, 1.5
FAILURE_GAIN, TIMEOUT_GAIN = 0.2, 0.3  # weight of one outcome: a single failure says little about the next


class LoadMonitoringNode(Node):
    """Updates its estimates with each event and revises the admission at the end of each control period."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.latency = [
            LatencyStats(
                c.target_latency_ms * INITIAL_SERVICE_TIME, c.target_latency_ms * INITIAL_SERVICE_TIME
            )
            for c in settings.classes
        ]
        late_value = sum(c.late_value for c in settings.classes) / len(settings.classes)
        self.admission = Admission(settings.peers, late_value, settings.warm_keys)
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
        self.period_ms = min(
            max(PERIOD_MS, target_ms := min(c.target_latency_ms for c in settings.classes)),
            MAX_PERIOD_TARGETS * target_ms,
        )

    def capacity(self, now: float) -> float:
        """The usable servers, a cold one counted by its warmth."""
        self.readmit(now)
        return self.ready_capacity.total(now)

    def readmit(self, now: float) -> None:
        """Use servers again whose ejection has ended."""
        for server in self.outlier_detector.returned(now):
            self.server_usable_changed(server, now)

    def server_usable_changed(self, server: Server, now: float) -> None:
        """A server has become usable, or is so no longer."""
        usable = server.usable(now) and self.servers.get(server.endpoint.name) is server
        self.selector.subset.set_usable(server, usable, now)
        self.ready_capacity.set_usable(server, usable, now)

    def server_listed(self, server: Server) -> None:
        """A new server process. Its first token is random: all nodes would send to it at once while cold."""
        server.tokens = self.rng.random()
        self.selector.subset.listed(server)

    def server_left(self, server: Server, now: float) -> None:
        self.server_usable_changed(server, now)
        self.selector.subset.left(server, now)

    def eject(self, server: Server, now: float, max_ejected: float) -> None:
        """Eject a server for a while, unless ``max_ejected`` are."""
        if self.outlier_detector.eject(server, now, max_ejected):
            self.server_usable_changed(server, now)

    def apply_capacity_bound(self, now: float) -> None:
        """If servers were lost, refuse what the others cannot serve at once: delays show it too late."""
        admission, share = self.admission, self.admission.capacity_bound.update(self.capacity(now))
        if share < admission.admit_probability:
            admission.admit_probability, admission.refusing, admission.correction = share, True, 0.0
            self.begin_period(now)

    def begin_period(self, now: float) -> None:
        """Start a control period with the current admission."""
        self.shedding_order.revise(
            self.admission.admit_probability, max(now - self.period.start, 1.0) / 1000.0, self.latency
        )
        self.period = AdmissionPeriod(now)

    def end_period(self, now: float) -> None:
        self.call_later(
            self.period_ms * self.rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER), self.end_period
        )
        period, seconds = self.period, max(now - self.period.start, 1.0) / 1000.0
        if (
            seconds * 1000.0
            < (MAX_PERIODS if 0 < period.count < MIN_SAMPLES else MIN_PERIODS) * self.period_ms
        ):
            return
        new_arrivals = float(period.arrivals - period.retries)
        if not self.settings.clients_mark_retries:  # retries of refused clients are no new load
            new_arrivals = max(period.arrivals - RETRY_SHARE * period.refused, 0.5 * period.arrivals)
        utilization = (
            period.utilization_sum / period.utilization_count
            if period.utilization_count >= MIN_SAMPLES
            else None
        )
        rate, delay, ready = new_arrivals / seconds, self.delay(period, seconds, now), self.capacity(now)
        self.admission.revise(
            rate, delay, ready, utilization, min(1.0, period.processed / max(1, period.arrivals))
        )
        even_rate = period.arrivals / seconds / 1000.0 / max(1, len(self.selector.table))
        self.slow_start.even_rate_per_ms += 0.5 * (even_rate - self.slow_start.even_rate_per_ms)
        excess = (self.admission.delay / self.admission.target - SPILL_START) / SPILL_SPAN
        self.selector.spill = min(max(excess, 0.0), 1.0)
        self.begin_period(now)

    def delay(self, period: AdmissionPeriod, seconds: float, now: float) -> float | None:
        """Mean delay in target latencies: of served requests, blended with Little's law for the open ones.

        Where answers take as long as a period, served requests show the admission before last: so the longer
        latencies are, the more the open requests count.
        """
        open_attempts = [
            (now - a.sent_at, r.cls.target_latency_ms)
            for r, a in self.outstanding()
            if a.server.load < OUTLIER_LOAD
        ]
        if not period.count:
            # A single slow request is no overload.
            oldest = max((age / target_ms for age, target_ms in open_attempts), default=0.0)
            return oldest if len(open_attempts) >= MIN_SAMPLES and oldest > self.admission.target else None
        served, period_ms = period.delay_sum / period.count, seconds * 1000.0
        # Full servers refuse at once: counted in the throughput, their refusals would hide an overload.
        held = max(1, period.processed)
        open_delay = sum(1.0 / target_ms for _, target_ms in open_attempts) * period_ms / held
        return served + min(1.0, period.latency_sum / held / period_ms) * (open_delay - served)

    def record_outcome(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        """Learn from an outcome about the server and about delays; quick errors say nothing about load."""
        server, status, target_ms = attempt.server, event.status, request.cls.target_latency_ms
        stats, delay = self.latency[request.arrival.class_index], (now - attempt.sent_at) / target_ms
        self.report(server, event.report, now)
        if status == Status.TIMEOUT and now - attempt.sent_at < stats.mean:
            return  # the client's deadline was short, which says nothing about the server
        # A server that answers other requests meanwhile is busy and not faulty.
        busy = status == Status.TIMEOUT and server.last_response_at >= attempt.sent_at
        if status in (Status.OK, Status.ERROR, Status.OVERLOADED, Status.REJECTED):
            server.last_response_at, server.unanswered, server.connect_failures = now, 0, 0
        if status == Status.OK:
            self.selector.recent.used(server, now)
            gain = 0.0 if self.settings.reports_in_answers else LATENCY_GAIN
            self.selector.observe(server, delay * target_ms / stats.mean, LATENCY, gain, now)
            stats.add(delay * target_ms, MIN_LATENCY_GAIN)
            self.limits.record_answer(event.report, delay)
        elif status == Status.OVERLOADED:
            self.selector.observe(server, OVERLOADED_LATENCY_RATIO, LATENCY, OVERDUE_GAIN, now)
            delay = OVERLOADED_DELAY
        if not busy and status not in (Status.OVERLOADED, Status.CANCELLED, Status.NOT_SENT, Status.REJECTED):
            gain = TIMEOUT_GAIN if status == Status.TIMEOUT else FAILURE_GAIN
            if self.outlier_detector.record(server, gain, status != Status.OK, now, self.ready):
                self.server_usable_changed(server, now)
        server.connect_failures += status == Status.UNREACHABLE
        # No process is there: ejected without a limit on their number.
        if status == Status.UNREACHABLE and server.connect_failures >= MAX_UNREACHABLE:
            self.eject(server, now, math.inf)
        if (busy or status in (Status.OK, Status.OVERLOADED)) and server.load < OUTLIER_LOAD:
            # One bad server must not shed traffic that others could serve, nor one long wait outweigh many.
            delay = min(delay, MAX_DELAY)
            self.period.add(delay, delay * target_ms, status != Status.OVERLOADED)

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        if report:
            self.limits.report(server, report, now)
        if report and "utilization" in report:
            self.slow_start.report(server, report["utilization"])
            self.period.add_utilization(report["utilization"])
        for name in ("in_flight", "queued", "latency_ms", "utilization"):
            if report and name in report:
                return self.selector.observe(server, 1.0 + report[name], REPORT, REPORT_GAIN, now)

    def maybe_probe(self) -> None:
        """Where only probes bring reports, probe as much as this node's own requests leave unknown."""
        self.probe_tokens += (
            PROBES_PER_ARRIVAL / (1.0 + self.slow_start.even_rate_per_ms * LOAD_DECAY_MS) ** 2
        )
        if self.probes and self.selector.table and self.probe_tokens >= 1.0:
            self.probe_tokens = 0.0
            drawn = [self.selector.table.draw(self.rng.random()) for _ in range(PROBE_DRAWS)]
            self.actions.append(api.Probe(min(drawn, key=lambda s: s.load_updated_at).endpoint.name))

    def probe_ended(self, server: Server, event: api.ProbeResult, now: float) -> None:
        if event.status == Status.OK:
            self.report(server, event.report, now)
        elif event.status == Status.TIMEOUT:
            self.selector.observe(server, OVERLOADED_LATENCY_RATIO, LATENCY, OVERDUE_GAIN, now)
