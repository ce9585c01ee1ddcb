"""Adapter for the simulator: reads events as batches of text lines and writes the actions of each batch.

One process hosts many independent nodes, each with its own instance of the decision module.
"""

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

STATUSES = {
    "OK": Status.OK,
    "INTERNAL": Status.ERROR,
    "RESOURCE_EXHAUSTED": Status.OVERLOADED,
    "DEADLINE_EXCEEDED": Status.TIMEOUT,
    "UNAVAILABLE": Status.UNREACHABLE,
    "ABORTED": Status.RESET,
    "CANCELLED": Status.CANCELLED,
    "TOO_LATE": Status.NOT_SENT,
}


class SimulatorProtocolError(LupinError):
    """The input does not follow the simulator's protocol."""

    code = "LL602"
    about = "the adapter received a line that the simulator's protocol does not allow"
    remedy = "check the line that it names; the simulator and this version must use the same protocol"


def _number(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def _report(text: str) -> dict[str, float] | None:
    if text == "-":
        return None
    report = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        field = REPORT_FIELDS.get(name)
        if field is not None:
            report[field] = float(value)
    return report


def _arrival(args: list[str]) -> Event:
    tenant = 0 if args[4] == "-" else int(args[4])
    return Arrival(
        args[2], int(args[3]), tenant, float(args[6]), args[8] == "1", "" if args[5] == "-" else args[5]
    )


def _outcome(args: list[str]) -> Event:
    return Outcome(
        args[2], STATUSES[args[3]], float(args[4]), int(args[5]), args[6] == "1", args[7], _report(args[8])
    )


def _stream_started(args: list[str]) -> Event:
    return StreamStarted(args[2], int(args[3]), float(args[4]), args[5])


def _client_gone(args: list[str]) -> Event:
    return ClientGone(args[2])


def _timer_fired(args: list[str]) -> Event:
    return TimerFired(int(args[2]))


def _probe_result(args: list[str]) -> Event:
    return ProbeResult(args[2], STATUSES[args[4]], _number(args[3]), _report(args[5]))


# Message type -> number of fields and decoder.
DECODERS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    "SUBMIT": (10, _arrival),
    "RESOLVED": (9, _outcome),
    "STREAMING": (6, _stream_started),
    "TIMED_OUT_CLIENT": (3, _client_gone),
    "ALARM": (3, _timer_fired),
    "ECHO": (6, _probe_result),
}


def _endpoint(line: str) -> Endpoint:
    args = line.split(" ")
    if args[0] != "SERVER" or len(args) != 8:
        raise SimulatorProtocolError(f"expected a SERVER line with 8 fields, got {line[:40]!r}")
    hint = 1.0 if args[6] == "-" else float(args[6])
    return Endpoint(
        args[1], int(args[2]), int(args[3]), int(args[4]), EndpointState(int(args[5])), hint, _number(args[7])
    )


def encode(node: str, action: Action) -> str:
    """Return the protocol line for one action."""
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
        case ListTrustChanged():  # for the simulator's log only
            return f"DEBUG {node} list {action.trust.value} for {action.unconfirmed_ms:.0f} ms"


class NodeHost:
    """Hosts the nodes: passes each one its events and collects its actions."""

    def __init__(self) -> None:
        self.nodes: dict[str, Balancer] = {}
        self.now = 0.0
        self.line_number = 0

    def serve(self, input_lines: TextIO, output: TextIO) -> None:
        """Answer batches until the input ends; raises SimulatorProtocolError on invalid input."""
        reply: list[str] | None = None
        lines = iter(input_lines)
        for raw_line in lines:
            self.line_number += 1
            line = raw_line.rstrip("\n")
            if reply is None:
                if not line:
                    continue
                keyword, _, clock = line.partition(" ")
                if keyword != "BEGIN_BATCH":
                    raise SimulatorProtocolError(f"expected BEGIN_BATCH, got {keyword[:40]!r}")
                self.now = float(clock)
                reply = []
            elif line == "YOUR_TURN":
                reply.append("YIELD\n")
                output.write("\n".join(reply))
                output.flush()
                reply = None
            else:
                self.handle_line(line, lines, reply)
        if reply is not None:
            raise SimulatorProtocolError("input ended inside a batch")

    def handle_line(self, line: str, lines: Any, reply: list[str]) -> None:
        """Decode one event, pass it to its node and append the node's actions to ``reply``."""
        fields = line.split(" ")
        decoder = DECODERS.get(fields[0])
        if decoder is not None:
            if len(fields) != decoder[0]:
                raise SimulatorProtocolError(f"{fields[0]} takes {decoder[0]} fields, got {len(fields)}")
            event = decoder[1](fields)
        elif fields[0] == "UPDATE":
            if len(fields) != 5:
                raise SimulatorProtocolError(f"UPDATE takes 5 fields, got {len(fields)}")
            endpoints = []
            for _ in range(int(_number(fields[4]))):
                self.line_number += 1
                endpoints.append(_endpoint(next(lines, "").rstrip("\n")))
            event = Membership(MembershipKind(int(fields[2])), endpoints)
        elif fields[0] == "CREATE":
            fields = line.split(" ", 3)
            if len(fields) != 4:
                raise SimulatorProtocolError("CREATE takes 4 fields: CREATE, node, seed and settings")
            settings = parse_settings(fields[3])
            self.nodes[fields[1]] = Balancer(settings, random.Random(int(fields[2])))
            return
        elif fields[0] == "CRASH_NOW" and len(fields) == 2:
            if self.nodes.pop(fields[1], None) is None:
                raise SimulatorProtocolError(f"unknown node {fields[1][:40]!r}")
            return
        elif fields[0] == "INBOX":
            return  # messages from peers are not used
        else:
            raise SimulatorProtocolError(f"unknown message {fields[0][:40]!r}")
        node = self.nodes.get(fields[1])
        if node is None:
            raise SimulatorProtocolError(f"unknown node {fields[1][:40]!r}")
        try:
            actions = node.handle(self.now, event)
        except Exception as exc:
            traceback.print_exc(file=sys.stderr)
            cause = " ".join(f"{type(exc).__name__}: {exc}".split())
            reply.append(f"BROKEN {fields[1]} {cause}")
            return
        if actions:
            name = fields[1]
            for action in actions:
                reply.append(encode(name, action))


def main() -> int:
    """Serve the simulator on standard input and output; return the exit code."""
    gc.freeze()
    host = NodeHost()
    try:
        host.serve(sys.stdin, sys.stdout)
    except (SimulatorProtocolError, ValueError, KeyError, IndexError) as exc:
        message = (
            str(exc)
            if isinstance(exc, SimulatorProtocolError | SettingsError)
            else f"{type(exc).__name__}: {exc}"
        )
        print(f"lupinlink: line {host.line_number}: {message}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
