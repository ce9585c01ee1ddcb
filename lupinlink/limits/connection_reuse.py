"""Decides how a connection to an application server may be used again after an answer. No I/O.

HTTP/1.1 ties an answer to its request by nothing but their order on the connection. Bytes that a server or
a middlebox sends late, after an answer, would be taken for the answer to the next request there, and that
request's own answer for the one after it. So a connection rests after each answer: for longer where such
bytes were seen, and it carries one request only once they came nearly too late for the rest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

REST_MS = 100.0  # after an answer, until the next request on the same connection
RESTS_PER_DELAY = 25.0  # at a server that sent unrequested bytes: rests by the longest delay of those
COVERED_SHARE = 0.5  # of the rest; bytes that come later than this show that it is too short for all servers
REMEMBERED_MS = 60_000.0  # how long unrequested bytes count; where not covered, times their occasions
MAX_REMEMBERED_MS = 3_600_000.0
WAIT_PER_ANSWER = 0.25  # longest wait for a connection to rest, in usual answer times of its server
MAX_WAIT_SHARE = 0.1  # the same, of a request's time left
MAX_RESTING = 48  # idle connections to a server; with more, a new one replaces one that has not rested
MAX_LONG_RESTING = 12  # the same, of a server whose connections rest for longer; with more, none is kept


@dataclass(slots=True)
class LateBytes:
    """The unrequested bytes that one server has sent lately."""

    longest_ms: float = 0.0  # after the answer before
    until_ms: float = -math.inf  # when they are forgotten
    uncovered_until_ms: float = -math.inf  # the same, of those that the rest hardly covers

    def rest_ms(self, now_ms: float) -> float:
        """How long its connections have to rest."""
        if now_ms >= self.until_ms:
            return REST_MS
        return max(REST_MS, RESTS_PER_DELAY * self.longest_ms)


@dataclass(slots=True)
class ConnectionReuse:
    """Whether connections to any server may carry more than one request, and after which rest."""

    forbidden_until_ms: float = -math.inf
    occasions: int = field(default=0)  # on which it was forbidden

    def is_allowed(self, now_ms: float) -> bool:
        """Whether connections may carry more than one request."""
        return now_ms >= self.forbidden_until_ms

    def may_carry(self, server: LateBytes, rested_ms: float, now_ms: float) -> bool:
        """Whether a used connection to this server may carry another request."""
        return self.is_allowed(now_ms) and rested_ms >= server.rest_ms(now_ms)

    def note_unrequested(self, server: LateBytes, after_ms: float, now_ms: float) -> None:
        """Note bytes that came ``after_ms`` after the last answer of this server."""
        known_ms = server.longest_ms if now_ms < server.until_ms else 0.0
        server.longest_ms, server.until_ms = max(known_ms, after_ms), now_ms + REMEMBERED_MS
        if after_ms <= COVERED_SHARE * REST_MS:
            return
        if self.is_allowed(now_ms):
            self.occasions += 1
        remembered_ms = min(MAX_REMEMBERED_MS, self.occasions * REMEMBERED_MS)
        self.forbidden_until_ms = server.uncovered_until_ms = now_ms + remembered_ms


def patience_ms(left_ms: float, usual_answer_ms: float, dial_ms: float = 0.0) -> float:
    """How long a request with this time left may wait, at a server that usually takes so long to answer.

    ``dial_ms``: what a new connection takes, if one has to be closed for it.
    """
    return max(0.0, min(MAX_WAIT_SHARE * left_ms, max(dial_ms, WAIT_PER_ANSWER * usual_answer_ms)))


def wait_ms(rested_ms: float, rest_ms: float, patience: float) -> float | None:
    """How long a request waits for the connection that has rested longest, or None: it gets a new one.

    ``rest_ms``: that is required; ``patience``: the longest wait, in ms.
    """
    missing_ms = max(0.0, rest_ms - rested_ms)
    return missing_ms if missing_ms <= patience else None
