"""Decides how a connection to an application server may be used again after an answer. No I/O.

HTTP/1.1 ties an answer to its request by nothing but their order on the connection. Bytes that a server or
a middlebox sends late, after an answer, would be taken for the answer to the next request there, and that
request's own answer for the one after it. So a connection rests after each answer, and whoever was seen to
send such bytes gets one request a connection for a while.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

REST_MS = 100.0  # after an answer, until the next request on the same connection
COVERED_SHARE = 0.5  # of the rest; bytes that come later than this show that it is too short for all servers
SUSPECT_MS = 60_000.0  # for the first time, then as many times as long as there were times
MAX_SUSPECT_MS = 3_600_000.0
MAX_WAIT_SHARE = 0.01  # of a request's time left, that it waits for a connection to have rested
MAX_RESTING = 12  # idle connections to a server; with more, none is opened because they have not rested


@dataclass(slots=True)
class Suspicion:
    """Whether connections carry one request only, and since how often."""

    until_ms: float = -math.inf
    times: int = 0

    def holds(self, now_ms: float) -> bool:
        return now_ms < self.until_ms

    def renew(self, now_ms: float) -> None:
        """Begin again, for longer than before if the last time is over."""
        if not self.holds(now_ms):
            self.times += 1
        self.until_ms = now_ms + min(MAX_SUSPECT_MS, SUSPECT_MS * self.times)


class ConnectionReuse:
    """The suspicion of all servers together; that of a single one is kept with its connections."""

    def __init__(self) -> None:
        self.all_servers = Suspicion()

    def is_allowed(self, server: Suspicion, now_ms: float) -> bool:
        """Whether a connection to this server may carry more than one request."""
        return not (server.holds(now_ms) or self.all_servers.holds(now_ms))

    def note_unrequested(self, server: Suspicion, after_ms: float, now_ms: float) -> bool:
        """Note bytes that came ``after_ms`` after the last answer; returns whether all servers are suspected.

        A delay that the rest hardly covers may be met at any server, before that one has shown it.
        """
        server.renew(now_ms)
        if after_ms > COVERED_SHARE * REST_MS:
            self.all_servers.renew(now_ms)
        return self.all_servers.holds(now_ms)


def wait_ms(rested_ms: float, left_ms: float, resting: int, may_open: bool) -> float | None:
    """How long a request waits for the connection that has rested longest, or None: it gets a new one.

    ``left_ms``: of the request's time; ``resting``: idle connections to the server; ``may_open``: whether
    this process has room for more connections.
    """
    missing_ms, patience_ms = max(0.0, REST_MS - rested_ms), MAX_WAIT_SHARE * left_ms
    if missing_ms > patience_ms and may_open and resting < MAX_RESTING:
        return None
    return min(missing_ms, max(0.0, patience_ms))
