"""What an answer says: of its attempt, of the server's load, and to the client. No I/O."""

from __future__ import annotations

from contextlib import suppress

from lupinlink.interface import Status
from lupinlink.net import http1
from lupinlink.net.request_types import AttemptResult, Reply
from lupinlink.settings import SOCKET_FIELDS

MOST_BUSY, MOST_FIGURE, MOST_REPORT = 16.0, 1e6, 1024  # beyond these a load report is noise
KEPT = ("content-type", "content-encoding", "etag", "last-modified", "cache-control")  # of an answer's


def read_report(text: str | None) -> dict[str, float] | None:
    """``TEXT inflight=7, util=0.61`` as the module names it; unknown and unreadable figures are skipped.

    A figure that no server can mean (nan, inf, below zero, a million cores) is one that can't be read.
    """
    if not text:
        return None
    report = {}
    for pair in text[:MOST_REPORT].strip().removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        if name in SOCKET_FIELDS:
            with suppress(ValueError):
                known, figure = SOCKET_FIELDS[name], float(value)
                if 0.0 <= figure <= (MOST_BUSY if known == "utilization" else MOST_FIGURE):
                    report[known] = figure
    return report or None


def kept(message: http1.Message) -> list[tuple[str, str]]:
    """The headers of an answer that go on to the client."""
    return [(n, v) for n, v in message.headers if n.lower() in KEPT]


def outcome(message: http1.Message) -> AttemptResult:
    """What an answer says of the attempt."""
    report = read_report(message.get("endpoint-load-metrics"))
    if message.status == 200:
        return AttemptResult(Status.OK, Reply(kept(message), message.body), report)
    if message.status in (503, 504) and message.get("x-never-ran") == "1":
        return AttemptResult(Status.OVERLOADED, None, report)
    if 400 <= message.status < 500 and message.status not in (408, 429):
        return AttemptResult(Status.REJECTED, None, report)
    return AttemptResult(Status.ERROR, None, report)  # it may have run
