"""Clients of one proxy, and a referee that compares what they got with what the backends received."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count, pairwise
from random import Random

from tests.faulty_answers import PADDING, Farm, Receipt

EXPIRES_S, LOST_AFTER_S = 1.5, 0.5  # a client's time, and what it waits beyond it
OVERLAP_S = 0.010  # events of two connections may be read in either order in one iteration of the loop
SAFE, KEYED, UNSAFE = "look", "scan", "post"  # the classes' names
CLASSES = [
    {"Name": SAFE, "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "pure"},
    {"Name": KEYED, "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "cell",
     "MemorySpanMs": 2000.0},
    {"Name": UNSAFE, "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"},
]  # fmt: skip


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got; status 0: nothing."""

    trace: str
    kind: str
    status: int = 0
    body: str = ""


@dataclass
class Clients:
    """Clients that keep their connections and send one request after another."""

    port: int
    number: int = 12
    seed: int = 1
    answers: list[Answer] = field(default_factory=list)

    async def play(self, seconds: float) -> None:
        """Send requests for so long; returns when the last one is answered."""
        self._ids, self._rng = count(), Random(self.seed)
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._client(until) for _ in range(self.number)))

    async def _client(self, until: float) -> None:
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while asyncio.get_running_loop().time() < until:
            stream = stream or await asyncio.open_connection("127.0.0.1", self.port)
            answer, stays = await self._ask(*stream)
            self.answers.append(answer)
            if not stays:
                stream[1].close()
                stream = None
        if stream is not None:
            stream[1].close()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> tuple[Answer, bool]:
        kind, trace = self._rng.choice((SAFE, KEYED, UNSAFE)), f"t{self.seed}-{next(self._ids)}"
        key = f"Idempotency-Key: k-{trace}\r\n" if kind == KEYED else ""
        body = "" if kind == SAFE else "Content-Length: 4\r\n\r\nbody"
        head = (
            f"{'GET' if kind == SAFE else 'POST'} /{kind}/1 HTTP/1.1\r\nHost: test\r\nX-Customer: acme\r\n"
            f"X-Trace-Id: {trace}\r\nX-Expires-In-Ms: {int(EXPIRES_S * 1000)}\r\n{key}"
        )
        writer.write((head + (body or "\r\n")).encode())
        try:
            return await asyncio.wait_for(self._read(reader, trace, kind), EXPIRES_S + LOST_AFTER_S)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return Answer(trace, kind), False

    @staticmethod
    async def _read(reader: asyncio.StreamReader, trace: str, kind: str) -> tuple[Answer, bool]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        body = await reader.readexactly(int(lines.get("content-length", 0)))
        status = int(head.split()[1])
        return Answer(trace, kind, status, body.decode("latin-1")), lines.get("connection") != "close"


@dataclass
class Findings:
    """Broken rules, each with the ids of its requests."""

    broken: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    statuses: Counter[int] = field(default_factory=Counter)

    def __str__(self) -> str:
        broken = {rule: (len(traces), traces[:3]) for rule, traces in self.broken.items()}
        return f"requests={self.statuses.total()} statuses={dict(self.statuses)} broken={broken}"

    @property
    def served_share(self) -> float:
        return self.statuses[200] / max(1, self.statuses.total())


def judge(farm: Farm, answers: list[Answer]) -> Findings:
    """Apply the rules on lost and repeated requests. No backend here ever says that a request never ran."""
    findings, attempts = Findings(), defaultdict[str, list[Receipt]](list)
    for receipt in farm.receipts:
        attempts[receipt.trace].append(receipt)
    for answer in answers:
        findings.statuses[answer.status] += 1
        for rule in broken_rules(answer, attempts[answer.trace]):
            findings.broken[rule].append(answer.trace)
    return findings


def broken_rules(answer: Answer, attempts: list[Receipt]) -> list[str]:
    """The rules that one request broke."""
    repeated = len(attempts) > 1
    checks = {
        "no answer": answer.status == 0,
        "served what no backend made for it": answer.status == 200
        and answer.body.rstrip(PADDING) != answer.trace,
        "two attempts at once": any(
            second.began_at < first.ended_at - OVERLAP_S for first, second in pairwise(attempts)
        ),
        "unsafe request sent again": answer.kind == UNSAFE and repeated,
        "keyed request sent outside its cell": answer.kind == KEYED
        and len({attempt.cell for attempt in attempts}) > 1,
        "refused though it may have run": answer.kind != SAFE
        and answer.status in (429, 503)
        and bool(attempts),
    }
    return [rule for rule, is_broken in checks.items() if is_broken]
