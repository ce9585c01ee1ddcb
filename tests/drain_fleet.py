"""A small fleet of real proxy processes under light load, judged by the rule ``drain``.

Times do not depend on the load of the machine: the kernel stamps what a backend receives, and a change counts
as written only after discovery's write has returned.
"""

from __future__ import annotations

import http.client
import queue
import socket
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, ClassVar

from tests.drain_discovery import DiscoveryFrontend, Form, SharedDiscovery
from tests.loopback_servers import (
    OK,
    STAMP_BYTES,
    WAIT,
    LoopbackServer,
    received_at,
    reset,
    row,
    stamp_receipts,
)
from tests.proxy_process import SETTINGS, ProxyProcessTest

GRACE_S, SLACK_S = 0.25, 0.05  # grace after a change counts as notified; extra time for sockets
ALL_NOTIFIED_S = 6.0  # from a change at a reachable discovery, or from a watch falling silent
NOTIFIED_AFTER_END_S = 0.3  # earliest time after the end of a watch at which its change counts
START_S = 1.0  # allowed time to start: a process counts from a second before it serves
UIDS = ("s-0", "s-1", "s-2", "s-3")
DRAINED = ("s-0", "s-1")  # half of the backends, so that most requests would reach one
THREADS, PACE_S = 3, 0.1  # load on each process: some 30 requests a second


@dataclass(frozen=True)
class Receipt:
    """One request at a backend: the time of its first bytes, and its trace."""

    at: float
    trace: str


class Backend(LoopbackServer):
    """Answers 200, in whatever state it is listed, and records each request."""

    def __init__(self, answer: bytes | None = OK, port: int = 0) -> None:
        """``answer``: to each request; None: never answer; empty: reset the connection."""
        self.receipts: list[Receipt] = []
        self.answer = answer
        super().__init__(port)

    def talk(self, connection: socket.socket) -> None:
        stamp_receipts(connection)
        while True:
            head, at = b"", 0.0
            while b"\r\n\r\n" not in head:
                data, ancillary, _, _ = connection.recvmsg(65536, STAMP_BYTES)
                if not data:
                    return
                at = at or received_at(ancillary)
                head += data
            trace = ""
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("x-trace-id:"):
                    trace = line.partition(":")[2].strip()
                    self.receipts.append(Receipt(at, trace))
            if self.answer == b"":
                return reset(connection)
            self.respond(connection, head, trace)

    def respond(self, connection: socket.socket, received: bytes, trace: str) -> None:
        """Answer the request of this id, of which this was received so far."""
        self.send_answer(connection, trace)

    def send_answer(self, connection: socket.socket, trace: str) -> None:
        """Answer the request of this id."""
        connection.sendall(self.answer or b"")


@dataclass
class Member:
    """One proxy process."""

    name: str
    frontends: list[DiscoveryFrontend]
    process: subprocess.Popen[str]
    log: queue.Queue[str]
    config: dict[str, Any]
    file: Path
    spawned_at: float
    serving_at: float = 0.0
    port: int = 0
    answers: queue.Queue[int] = field(default_factory=queue.Queue)
    traces: count[int] = field(default_factory=count)
    halt: threading.Event = field(default_factory=threading.Event)

    def head(self) -> bytes:
        """Return one more request."""
        trace = f"{self.name}.{next(self.traces)}"
        return (
            f"GET /look/1 HTTP/1.1\r\nHost: test\r\nX-Trace-Id: {trace}\r\nX-Customer: acme\r\n"
            "X-Expires-In-Ms: 1500\r\n\r\n"
        ).encode()

    def logged(self, identity: str) -> str:
        """Return the lines of its log that name this id, as far as they have been kept."""
        return "".join(f" [{line.strip()}]" for line in list(self.log.queue) if identity in line)

    def notified_at(self, uid: str, latest: float) -> float:
        return min(
            [latest, *(frontend.written[uid] for frontend in self.frontends if uid in frontend.written)]
        )

    def load(self) -> None:
        """Send requests until ``halt`` is set."""
        for _ in range(THREADS):
            threading.Thread(target=self._load, daemon=True).start()

    def _load(self) -> None:
        client = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)
        while not self.halt.wait(PACE_S):
            try:
                headers = {"X-Trace-Id": f"{self.name}.{next(self.traces)}", "X-Customer": "acme"}
                client.request("GET", "/look/1", headers={**headers, "X-Expires-In-Ms": "1500"})
                answer = client.getresponse()
                answer.read()
                self.answers.put(answer.status)
            except (OSError, http.client.HTTPException):
                client.close()  # the process is ending or gone
        client.close()

    def served(self, wanted: int) -> None:
        """Wait until so many more requests have been answered with 200."""
        until = time.monotonic() + WAIT
        while not self.answers.empty():
            self.answers.get()
        while wanted:
            wanted -= self.answers.get(timeout=max(0.0, until - time.monotonic())) == 200


class FleetProcessTest(ProxyProcessTest):
    """Several proxy processes with one discovery and four backends."""

    forms: ClassVar[tuple[Form, ...]] = (Form.DELTA,)  # of the watches, in rotation
    peers: ClassVar[int] = 4  # size of the fleet in the settings
    backend: ClassVar[Callable[[], Backend]] = Backend
    more_backends: ClassVar[int] = 0  # backends that share the listeners of the four

    def setUp(self) -> None:
        super().setUp()
        self.backends = {uid: self.peer(type(self).backend()) for uid in UIDS}
        self.rows = [row(uid, backend) for uid, backend in self.backends.items()]
        self.rows += [
            row(f"{uid}/{number}", backend)  # it drains together with that backend
            for uid, backend in self.backends.items()
            for number in range(self.more_backends // len(UIDS))
        ]
        self.shared = self.peer(SharedDiscovery(self.rows))
        self.members: list[Member] = []

    def spawn(
        self, name: str, *frontends: DiscoveryFrontend, rank: int = 0, listen: str = "127.0.0.1:0"
    ) -> Member:
        """Start one process with the initial list; it is not serving yet."""
        limits = {**self.settings, "PeersTotal": self.peers, "Rank": rank}
        tenants = [{"Name": "acme", "QuotaPerS": 10000.0}]
        config = {**self.config(*self.rows), "name": name, "listen": listen,
                  "discovery": f"127.0.0.1:{frontends[0].port}",
                  "settings": {**SETTINGS, "Tenants": tenants, **limits}}  # fmt: skip
        spawned_at = time.monotonic()
        process, log = self.launch(config)
        member = Member(name, list(frontends), process, log, config, self.file, spawned_at)
        self.members.append(member)
        self.addCleanup(member.halt.set)
        return member

    def await_serving(self, *members: Member) -> None:
        for member in members:
            member.port = int(self.line("msg=serving", member.log).rsplit("port=", 1)[1])
            member.serving_at = time.monotonic()

    def fleet(self, size: int = 4) -> list[Member]:
        """Start processes under load, each with an open watch."""
        members = []
        for rank in range(size):
            frontend = self.shared.frontend()
            frontend.form = self.forms[rank % len(self.forms)]
            members.append(self.spawn(f"n{rank}", frontend, rank=rank))
        self.await_serving(*members)
        for member in members:
            member.load()
            member.frontends[0].watching.get(timeout=WAIT)
        for member in members:
            member.served(5)
        return members

    def pass_time(self, until: float) -> None:
        """Wait while the load goes on."""
        threading.Event().wait(max(0.0, until - time.monotonic()))

    def judge(self, latest: float | Callable[[Member], float], *uids: str) -> None:
        """Assert that no first byte reached a drained backend after notification, grace and socket slack."""
        late = []
        for member in self.members:
            for uid in uids or DRAINED:
                bound = latest(member) if callable(latest) else latest
                notified_at = member.notified_at(uid, bound)
                how = "notified at the latest then" if notified_at == bound else "written to it"
                over = [
                    receipt.at - notified_at - GRACE_S
                    for receipt in list(self.backends[uid].receipts)
                    if receipt.trace.startswith(f"{member.name}.")
                    and receipt.at > notified_at + GRACE_S + SLACK_S
                ]
                if over:
                    late.append(
                        f"{member.name} sent {len(over)} to {uid}, {min(over) * 1000:.0f} to "
                        f"{max(over) * 1000:.0f} ms after the grace "
                        f"({how}, {member.frontends[0].form.name})"
                    )
        self.assertFalse(late, "\n" + "\n".join(late))

    def receipts_after(self, member: Member, at: float) -> int:
        """Return how many requests this process has sent since then, to any backend."""
        receipts = (receipt for backend in self.backends.values() for receipt in list(backend.receipts))
        return sum(one.at > at and one.trace.startswith(f"{member.name}.") for one in receipts)

    def judge_recovered(self, latest: float | Callable[[Member], float]) -> None:
        """Judge a fleet that has to serve again, since one that sends nothing would pass as well."""
        for member in self.members:
            if member.process.poll() is None:
                member.served(10)
        self.judge(latest)
