"""Clients of the soak that are slow, large, impatient or rude, and what their servers do."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import count
from pathlib import Path
from random import Random
from typing import ClassVar

from tests.scripted_peers import Answered, ask, paced, request
from tests.soak_backends import Kill, NamingBackend
from tests.soak_clients import LOST_AFTER_S, SoakClients
from tests.soak_scripts import LONG, SCRIPTS, SMALL, WAIT_S
from tests.soak_verdict import Life

GAP_S = (0.1, 0.8)
LARGE = b"u" * 900_000
LEFT_S, AGAIN_S = (0.005, 0.28), (0.0, 0.6)
FLOOD_S, SLOW_CLIENTS = 0.5, 40
FLOODS = (
    b"GET /none/1 HTTP/1.1\r\nX-Trace-Id: f\r\n\r\n" * 300,
    b"GET /up HTTP/1.1\r\nHost: t\r\n\r\n" * 300,
    b"POST /note/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Trace-Id: f\r\n\r\n" + b"1\r\nx\r\n" * 5000,
    b"\x00\xff" * 5000,
)


SERVED = {"pause-small": len(SMALL), "pause-begun": len(SMALL), "pause-long": len(LONG), "long": len(LONG)}


class SoakStrangers(SoakClients):
    """Carries them out and judges what becomes of them."""

    judges_early_failures: ClassVar[bool] = True  # not where answers are doubted
    judges_second_runs: ClassVar[bool] = True  # not where servers claim that a request never ran
    owners: list[NamingBackend]  # the processes at one address, one after another
    kills: list[Kill]  # of one of them, with what it was answering

    def strangers(self, life: Life) -> None:
        """Begin all of them beside a process."""
        plays = [*([name] for name in SCRIPTS if name != "work"), ["again"], ["flood"]]
        for number, (name,) in enumerate(plays):
            rng = Random(f"{self.verdict.seed} {life.frontend.port} {name}")
            play = {"again": self._again, "flood": self._flood}.get(name, partial(self._ask, name))
            threading.Thread(target=self._loop, args=(life, number, rng, play), daemon=True).start()
        for number in range(SLOW_CLIENTS):
            threading.Thread(target=self._slow, args=(life, number), daemon=True).start()

    def _loop(self, life: Life, number: int, rng: Random, play: Callable[[Life, str, Random], None]) -> None:
        numbers = count()
        while not life.member.halt.wait(rng.uniform(*GAP_S)) and not life.termed_at:
            with suppress(OSError):
                play(life, f"{life.member.name}.x{number}.{next(numbers)}-{life.frontend.port}", rng)

    def _ask(self, name: str, life: Life, identity: str, rng: Random) -> None:
        body = LARGE if name in ("stuck", "large") else b""
        data = request(f"/note/{name}", identity, WAIT_S, body, chunked=bool(body) and rng.random() < 0.5)
        began = time.monotonic()
        found = ask(life.member.port, data, patience_s=WAIT_S + 3.0)
        if found.status in (0, 502) and self._may_be_killed(began, found):
            return
        if not life.termed_at and not life.member.halt.is_set():
            self._judge_answer(life, name, identity, found)

    def _may_be_killed(self, began: float, found: Answered) -> bool:
        """Whether its server may have been killed: a started answer that breaks with it is not lost."""
        has_begun = found.status == 502 or bool(found.body)
        return has_begun and any(kill.falls_into(began, time.monotonic()) for kill in self.kills)

    def _judge_answer(self, life: Life, name: str, identity: str, found: Answered) -> None:
        what = f"{name} {identity}: {found.status}, {len(found.body)} bytes, {found.last_s:.2f} s"
        timed_s = found.first_s if name in SERVED and SERVED[name] > 65536 else found.last_s
        with self.lock:
            self.verdict.strangers[f"{name} {found.status}"] += 1
            if not found.status or timed_s > WAIT_S + LOST_AFTER_S:
                self.verdict.overdue.append(what + life.member.logged(identity))
            elif self._is_cut(name, identity, found):
                self.verdict.cut.append(what + life.member.logged(identity))

    def _is_cut(self, name: str, identity: str, found: Answered) -> bool:
        """Whether a sound answer did not come whole, or was given up before its time."""
        if found.status == 200:
            return len(found.body) != SERVED.get(name, len(identity))
        is_early = found.status == 502 and found.written_s + found.last_s < WAIT_S - 0.1
        return is_early and name in SERVED and self.judges_early_failures

    def _again(self, life: Life, identity: str, rng: Random) -> None:
        """A client leaves, and its id comes again."""
        data = request("/note/work", identity, WAIT_S)
        with socket.create_connection(("127.0.0.1", life.member.port)) as client:
            client.sendall(data)
            time.sleep(rng.uniform(*LEFT_S))
        time.sleep(rng.uniform(*AGAIN_S))
        ask(life.member.port, data)
        backends = [*self.backends.values(), *self.owners]
        runs = sum(one.trace == identity for backend in backends for one in list(backend.receipts))
        if runs > 1 and self.judges_second_runs:
            with self.lock:
                self.verdict.twice.append(f"{identity}: {runs} runs")

    def _flood(self, life: Life, identity: str, rng: Random) -> None:
        data, until = rng.choice(FLOODS), time.monotonic() + FLOOD_S
        with socket.create_connection(("127.0.0.1", life.member.port), 1.0) as client:
            while time.monotonic() < until:
                client.sendall(data)

    def _slow(self, life: Life, number: int) -> None:
        """A client that writes slowly, stops half way, or reads slowly."""
        rng = Random(f"slow {life.frontend.port} {number}")
        body = request("/note/large", f"slow{number}-{life.frontend.port}", WAIT_S, LARGE)
        fields = b"GET /look/1 HTTP/1.1\r\n" + b"a:b\r\n" * 3000
        with suppress(OSError), socket.create_connection(("127.0.0.1", life.member.port), 5.0) as client:
            for part in paced(rng.choice((body[:400_000], body, fields)), 70_000.0):
                if life.member.halt.is_set() or life.termed_at:
                    return
                if isinstance(part, bytes):
                    client.sendall(part)
                else:
                    time.sleep(part)
            client.recv(65536)


def peak_mb(pid: int) -> float:
    """The most memory that a process has had resident; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
    return 0.0
