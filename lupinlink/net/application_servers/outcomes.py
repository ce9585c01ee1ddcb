"""Interprets an answer: the attempt's result, the server's load report, the headers to forward. No I/O."""

from __future__ import annotations

from contextlib import suppress

from lupinlink.interface import Status
from lupinlink.net import http1
from lupinlink.net.request_types import AttemptResult, Reply
from lupinlink.settings import SOCKET_FIELDS

MAX_UTILIZATION, MAX_VALUE, MAX_REPORT_CHARS = 16.0, 1e6, 1024  # larger values or reports are not plausible
FORWARDED_HEADERS = ("content-type", "content-encoding", "etag", "last-modified", "cache-control")


def read_report(text: str | None) -> dict[str, float] | None:
    """Parse a load report like ``TEXT inflight=7, util=0.61``; the keys are renamed to those of the module.

    Unknown keys and implausible values (not a number, infinite, negative, a million cores) are skipped.
    """
    if not text:
        return None
    report = {}
    for pair in text[:MAX_REPORT_CHARS].strip().removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        if name in SOCKET_FIELDS:
            with suppress(ValueError):
                known, figure = SOCKET_FIELDS[name], float(value)
                if 0.0 <= figure <= (MAX_UTILIZATION if known == "utilization" else MAX_VALUE):
                    report[known] = figure
    return report or None


def forwarded_headers(message: http1.Message) -> list[tuple[str, str]]:
    """The headers of an answer that are forwarded to the client."""
    return [(n, v) for n, v in message.headers if n.lower() in FORWARDED_HEADERS]


def outcome(message: http1.Message) -> AttemptResult:
    """The result of an attempt that got this answer."""
    report = read_report(message.get("endpoint-load-metrics"))
    if message.status == 200:
        return AttemptResult(Status.OK, Reply(forwarded_headers(message), message.body), report)
    if message.status in (503, 504) and message.get("x-never-ran") == "1":
        return AttemptResult(Status.OVERLOADED, None, report)
    if 400 <= message.status < 500 and message.status not in (408, 429):
        return AttemptResult(Status.REJECTED, None, report)
    return AttemptResult(Status.ERROR, None, report)  # it may have run


def probe_result(end: AttemptResult) -> AttemptResult:
    """The result of a probe, with the report that its answer has as a text."""
    if end.reply is not None and end.reply.stream is not None:
        end.reply.stream.stop()
    if end.reply is not None and end.report is None:
        end.report = read_report(end.reply.body.decode("latin-1"))
    return end
