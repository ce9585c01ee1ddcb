"""Wire codec: batches of text lines in, actions out, for many isolated balancers. No decision here."""

from __future__ import annotations

import gc
import random
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from lupinlink.brain import Balancer
from lupinlink.errors import LupinError
from lupinlink.interface import (
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Endpoint,
    EndpointState,
    Event,
    Fail,
    ListTrustChanged,
    Membership,
    MembershipKind,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Send,
    SetTimer,
    Status,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from lupinlink.settings import REPORT_FIELDS, SettingsError, parse_settings

STATUS = {
    "OK": Status.OK,
    "INTERNAL": Status.ERROR,
    "RESOURCE_EXHAUSTED": Status.OVERLOADED,
    "DEADLINE_EXCEEDED": Status.TIMEOUT,
    "UNAVAILABLE": Status.UNREACHABLE,
    "ABORTED": Status.RESET,
    "CANCELLED": Status.CANCELLED,
    "TOO_LATE": Status.NOT_SENT,
}


class WireError(LupinError):
    """The input breaks the wire's rules."""

    code = "LL602"
    about = "the adapter was given a line that the simulator's wire does not have"
    remedy = "look at the line it names; the simulator and this version must speak the same wire"


def _number(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def _report(text: str) -> dict[str, float] | None:
    if text == "-":
        return None
    out = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        known = REPORT_FIELDS.get(name)
        if known is not None:
            out[known] = float(value)
    return out


def _arrival(p: list[str]) -> Event:
    tenant = 0 if p[4] == "-" else int(p[4])
    return Arrival(p[2], int(p[3]), tenant, float(p[6]), p[8] == "1", "" if p[5] == "-" else p[5])


def _outcome(p: list[str]) -> Event:
    return Outcome(p[2], STATUS[p[3]], float(p[4]), int(p[5]), p[6] == "1", p[7], _report(p[8]))


def _stream(p: list[str]) -> Event:
    return StreamStarted(p[2], int(p[3]), float(p[4]), p[5])


def _gone(p: list[str]) -> Event:
    return ClientGone(p[2])


def _timer(p: list[str]) -> Event:
    return TimerFired(int(p[2]))


def _probe(p: list[str]) -> Event:
    return ProbeResult(p[2], STATUS[p[4]], _number(p[3]), _report(p[5]))


# message -> (number of parts, decoder)
DECODERS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    "SUBMIT": (10, _arrival),
    "RESOLVED": (9, _outcome),
    "STREAMING": (6, _stream),
    "TIMED_OUT_CLIENT": (3, _gone),
    "ALARM": (3, _timer),
    "ECHO": (6, _probe),
}


def _endpoint(line: str) -> Endpoint:
    p = line.split(" ")
    if p[0] != "SERVER" or len(p) != 8:
        raise WireError("expected a SERVER line")
    hint = 1.0 if p[6] == "-" else float(p[6])
    return Endpoint(p[1], int(p[2]), int(p[3]), int(p[4]), EndpointState(int(p[5])), hint, _number(p[7]))


def encode(node: str, action: Action) -> str:
    """One action as one wire line."""
    match action:
        case Send():
            return f"SUBMIT_TO {node} {action.request_id} {action.endpoint} {action.timeout_ms:.3f}"
        case SetTimer():
            return f"TIMER {node} {action.delay_ms:.3f} {action.token}"
        case Cancel():
            return f"WITHDRAW {node} {action.request_id} {action.attempt}"
        case Refuse():
            return f"NOT_NOW {node} {action.request_id} {action.retry_after_ms:.3f}"
        case Fail():
            return f"REPORT_FAILURE {node} {action.request_id}"
        case Probe():
            return f"PROBE {node} {action.endpoint}"
        case Subscribe():
            return f"STREAM_CHANGES {node} 1"
        case ListTrustChanged():  # a note only
            return f"DEBUG {node} list {action.trust.value} for {action.unconfirmed_ms:.0f} ms"


class NodeHost:
    """Feeds each instance its own events and collects its actions."""

    def __init__(self) -> None:
        self.nodes: dict[str, Balancer] = {}
        self.now = 0.0
        self.line_number = 0

    def serve(self, source: TextIO, sink: TextIO) -> None:
        """Answer batches until the input ends."""
        reply: list[str] | None = None
        lines = iter(source)
        for raw in lines:
            self.line_number += 1
            line = raw.rstrip("\n")
            if reply is None:
                if not line:
                    continue
                head, _, clock = line.partition(" ")
                if head != "BEGIN_BATCH":
                    raise WireError(f"expected BEGIN_BATCH, got {head[:40]!r}")
                self.now = float(clock)
                reply = []
            elif line == "YOUR_TURN":
                reply.append("YIELD\n")
                sink.write("\n".join(reply))
                sink.flush()
                reply = None
            else:
                self.event(line, lines, reply)
        if reply is not None:
            raise WireError("input ended inside a batch")

    def event(self, line: str, lines: Any, reply: list[str]) -> None:
        """Decode one event and let its instance act."""
        parts = line.split(" ")
        decoder = DECODERS.get(parts[0])
        if decoder is not None:
            if len(parts) != decoder[0]:
                raise WireError(f"{parts[0]} takes {decoder[0]} parts, got {len(parts)}")
            event = decoder[1](parts)
        elif parts[0] == "UPDATE":
            if len(parts) != 5:
                raise WireError(f"UPDATE takes 5 parts, got {len(parts)}")
            rows = []
            for _ in range(int(_number(parts[4]))):
                self.line_number += 1
                rows.append(_endpoint(next(lines, "").rstrip("\n")))
            event = Membership(MembershipKind(int(parts[2])), rows)
        elif parts[0] == "CREATE":
            parts = line.split(" ", 3)
            if len(parts) != 4:
                raise WireError("CREATE takes 4 parts")
            settings = parse_settings(parts[3])
            self.nodes[parts[1]] = Balancer(settings, random.Random(int(parts[2])))
            return
        elif parts[0] == "CRASH_NOW" and len(parts) == 2:
            if self.nodes.pop(parts[1], None) is None:
                raise WireError(f"unknown instance {parts[1][:40]!r}")
            return
        elif parts[0] == "INBOX":
            return  # peers' messages are not used
        else:
            raise WireError(f"unknown message {parts[0][:40]!r}")
        node = self.nodes.get(parts[1])
        if node is None:
            raise WireError(f"unknown instance {parts[1][:40]!r}")
        try:
            actions = node.handle(self.now, event)
        except Exception as exc:
            traceback.print_exc(file=sys.stderr)
            cause = " ".join(f"{type(exc).__name__}: {exc}".split())
            reply.append(f"BROKEN {parts[1]} {cause}")
            return
        if actions:
            name = parts[1]
            for action in actions:
                reply.append(encode(name, action))


def main() -> int:
    """Serve the wire on standard input and output."""
    gc.freeze()
    host = NodeHost()
    try:
        host.serve(sys.stdin, sys.stdout)
    except (WireError, ValueError, KeyError, IndexError) as exc:
        fault = str(exc) if isinstance(exc, WireError | SettingsError) else f"{type(exc).__name__}: {exc}"
        print(f"lupinlink: line {host.line_number}: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
