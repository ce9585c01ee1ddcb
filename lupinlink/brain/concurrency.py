"""How many requests a server may hold so that one more is still answered within its aim. Pure.

The limit is learnt in the server's own terms. Its cores are what it reports as held less queued while others
queue there. A request that finds ``k`` others on ``c`` cores waits until all but ``c - 1`` of them are done.
So with a usual time of ``x`` aims it is answered in time while ``k`` is at most ``c / x - 1``. Where reports
do not tell both figures nothing is limited. Times are handed in, in milliseconds.
"""

from __future__ import annotations

import math

from lupinlink.brain.admission import INITIAL_SERVICE_TIME
from lupinlink.interface import Request, Server

FADE_MS = (
    1500.0  # neither: a report counts for 1/e of itself after so long; most of what it told is done by then
)
CORES_GAIN = 0.1  # of one report to the cores of its kind: none moves the limit by much
MIN_REPORTS = 8  # of servers that queue, before anything is limited
MIN_LIMIT = 1.0  # a server that holds less than this always has room
FASTER_GAIN, SLOWER_GAIN = 0.05, 0.02  # of one answer: a server slowed by another program is not the usual
IN_TIME = 0.9  # of the aim: the network and the spread of work take the rest
LAST_BEGIN = 1.3  # usual times before the aim: who has not been sent by then is answered late


class ConcurrencyLimits:
    """The limits of all servers, by kind, and what each of them is taken to hold."""

    def __init__(self, peers: int) -> None:
        """``peers``: nodes that send to the same servers."""
        self._peers = peers
        self.usual_aims = INITIAL_SERVICE_TIME  # the time of an answer that waited for nobody, in aims
        self.known = False  # whether any kind's limit is

    def report(self, server: Server, report: dict[str, float], now: float) -> None:
        """A server told what it holds; figures that make no sense are passed over."""
        held, queued = report.get("in_flight", math.nan), report.get("queued", math.nan)
        if not 0.0 <= queued <= held < math.inf:
            return
        server.reported_requests, server.reported_at, server.sent_since_report = held, now, 0
        if 0.0 < queued < held:
            group = server.group
            group.queueing_reports += 1
            group.cores += max(CORES_GAIN, 1.0 / group.queueing_reports) * (held - queued - group.cores)
            self.known = self.known or group.queueing_reports >= MIN_REPORTS

    def answered(self, report: dict[str, float] | None, aims: float) -> None:
        """An answer came after so many aims. One that leaves others queueing behind it has queued as well."""
        if report and report.get("queued") == 0.0 and 0.0 < aims < math.inf:
            gain = FASTER_GAIN if aims < self.usual_aims else SLOWER_GAIN
            self.usual_aims += gain * (aims - self.usual_aims)

    def holds(self, server: Server, now: float) -> float:
        """How many requests it is taken to hold: its last report, fading, and this node's sends since."""
        return (
            server.reported_requests * math.exp((server.reported_at - now) / FADE_MS)
            + server.sent_since_report
        )

    def limit(self, server: Server) -> float:
        """At so many held requests one more would be late; infinite where that is not known."""
        if server.group.queueing_reports < MIN_REPORTS:
            return math.inf
        return max(MIN_LIMIT, server.group.cores * IN_TIME / self.usual_aims - 1.0)

    def has_room(self, server: Server, now: float) -> bool:
        """Whether one more request would still be answered in time there."""
        limit = self.limit(server)
        return limit == math.inf or self.holds(server, now) < limit

    def share(self, server: Server, size: float, in_flight: int, servers: int, now: float) -> float:
        """The mean of what servers hold over what this one does, each with the request that is to come.

        ``in_flight``: this node's requests out, at so many servers. Where reports do not tell what a server
        holds, this node's own requests there stand for it.
        """
        mean = in_flight / max(1, servers)
        if not self.known:
            return (1.0 + mean) / (1.0 + server.in_flight / size)
        return (1.0 + self._peers * mean) / (1.0 + self.holds(server, now) / size)

    def latest_begin(self, request: Request) -> float:
        """Sent after this a request is worth nothing: then it need not wait for room any longer."""
        if not self.known or request.cls.late_value > 0.0:
            return request.target_at
        return request.target_at - LAST_BEGIN * self.usual_aims * request.cls.target_latency_ms
