"""Concurrency limits: how many requests a server may hold while one more still meets its target latency.

The limit follows from a server's load reports. Its cores are the requests it reports in flight less those
queued, while some are queued. A request that finds ``k`` others on ``c`` cores waits until all but ``c - 1``
of them are done. So with a service time of ``x`` target latencies it is answered in time while ``k`` is at
most ``c / x - 1``. Without reports of both figures nothing is limited.

Performs no I/O; the caller passes the current time in milliseconds.
"""

from __future__ import annotations

import math

from lupinlink.brain.admission import INITIAL_SERVICE_TIME
from lupinlink.interface import Request, Server

# A report counts for 1/e of itself after this time: most of the requests it covers are done by then.
REPORT_DECAY_MS = 1500.0
CORES_GAIN = 0.1  # weight of one report for a group's cores: no single one moves the limit by much
MIN_REPORTS = 8  # from servers with a queue, before anything is limited
MIN_LIMIT = 1.0  # a server that holds fewer requests than this always has room
# Weight of one answer for the service time; less for slow ones, as other programs may slow a server down.
FASTER_ANSWER_GAIN, SLOWER_ANSWER_GAIN = 0.05, 0.02
TARGET_SHARE = 0.9  # of the target latency: the network and variation in the work take the rest
SERVICE_TIMES_LEFT = 1.3  # a request not sent this many service times before its target is answered late


class ConcurrencyLimits:
    """The limits of all servers, by zone and kind, and an estimate of what each server holds."""

    def __init__(self, peers: int) -> None:
        """``peers``: nodes that send to the same servers."""
        self._peers = peers
        self.service_time = INITIAL_SERVICE_TIME  # of a request that did not queue, in target latencies
        self.known = False  # whether there is a limit for any kind of server

    def report(self, server: Server, report: dict[str, float], now: float) -> None:
        """Take a server's load report; impossible figures are ignored."""
        held, queued = report.get("in_flight", math.nan), report.get("queued", math.nan)
        if not 0.0 <= queued <= held < math.inf:
            return
        server.reported_requests, server.reported_at, server.sent_since_report = held, now, 0
        if 0.0 < queued < held:
            group = server.group
            group.queueing_reports += 1
            group.cores += max(CORES_GAIN, 1.0 / group.queueing_reports) * (held - queued - group.cores)
            self.known = self.known or group.queueing_reports >= MIN_REPORTS

    def record_answer(self, report: dict[str, float] | None, delay: float) -> None:
        """Record an answer's delay in target latencies; one that left a queue behind has itself queued."""
        if report and report.get("queued") == 0.0 and 0.0 < delay < math.inf:
            gain = FASTER_ANSWER_GAIN if delay < self.service_time else SLOWER_ANSWER_GAIN
            self.service_time += gain * (delay - self.service_time)

    def requests_held(self, server: Server, now: float) -> float:
        """Estimated requests at a server: its last report, decayed, plus what this node has sent since."""
        return (
            server.reported_requests * math.exp((server.reported_at - now) / REPORT_DECAY_MS)
            + server.sent_since_report
        )

    def limit(self, server: Server) -> float:
        """From this many held requests on one more would be late; infinite where that is not known."""
        if server.group.queueing_reports < MIN_REPORTS:
            return math.inf
        return max(MIN_LIMIT, server.group.cores * TARGET_SHARE / self.service_time - 1.0)

    def has_room(self, server: Server, now: float) -> bool:
        """Whether the server would still answer one more request in time."""
        limit = self.limit(server)
        return limit == math.inf or self.requests_held(server, now) < limit

    def headroom_ratio(self, server: Server, size: float, in_flight: int, servers: int, now: float) -> float:
        """The mean number of requests per server over those at this one, both with the request to be sent.

        ``in_flight``: this node's open attempts, at ``servers`` servers. Where reports do not tell what a
        server holds, this node's own attempts there are used instead.
        """
        mean = in_flight / max(1, servers)
        if not self.known:
            return (1.0 + mean) / (1.0 + server.in_flight / size)
        return (1.0 + self._peers * mean) / (1.0 + self.requests_held(server, now) / size)

    def latest_useful_send(self, request: Request) -> float:
        """When a request need not wait for room any longer, as its answer would have no value."""
        if not self.known or request.cls.late_value > 0.0:
            return request.target_at
        return request.target_at - SERVICE_TIMES_LEFT * self.service_time * request.cls.target_latency_ms
