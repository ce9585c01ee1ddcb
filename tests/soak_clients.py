"""The clients of the soak."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from random import Random
from typing import ClassVar

from tests.crossing_judge import CROSSED_S, CrossingClient
from tests.drain_fleet import PACE_S, Backend, FleetProcessTest
from tests.soak_backends import NamingBackend
from tests.soak_verdict import Life, Verdict

EXPIRES_S, LOST_AFTER_S = 1.5, 0.5  # a client's time, and what it waits beyond it
NOTED_S = 0.1  # by then a backend has noted a request that it was sent
CONNECTIONS = 3  # of the steady clients of each process
RESTING, TOGETHER = 6, 2  # further clients of each: those that rest, and those that write several at once
SHORT_REST_S, LONG_REST_S = (0.0, 0.3), (2.0, 2.35)  # long: around the idle time-out of the proxy
MOST_TOGETHER = 4
NEW_CONNECTIONS_S = 0.4  # after SIGTERM


class SoakClients(FleetProcessTest):
    """Clients that keep their connections for as long as these stay open."""

    backend: ClassVar[Callable[[], Backend]] = NamingBackend
    verdict: Verdict
    lock: threading.Lock

    def clients(self, life: Life) -> None:
        plays = [self._pace] * CONNECTIONS + [self._rest] * RESTING + [self._gather] * TOGETHER
        for number, play in enumerate(plays):
            rng = Random(f"{self.verdict.seed} {life.frontend.port} {number}")
            threading.Thread(target=self._client, args=(life, number, rng, play), daemon=True).start()

    def _pace(self, life: Life, client: CrossingClient, rng: Random) -> int:
        """Wait for the next request; returns how many to write, none if the connection has ended."""
        return 0 if life.member.halt.wait(PACE_S) or client.has_ended() else 1

    def _rest(self, life: Life, client: CrossingClient, rng: Random) -> int:
        """As ``_pace``, for a time that may be over when the proxy ends idle connections."""
        rest_s = rng.uniform(*rng.choice((SHORT_REST_S, LONG_REST_S)))
        return 0 if client.has_ended(rest_s) or life.member.halt.is_set() else 1

    def _gather(self, life: Life, client: CrossingClient, rng: Random) -> int:
        """As ``_pace``, for several requests."""
        return self._pace(life, client, rng) and rng.randint(1, MOST_TOGETHER)

    def _client(
        self,
        life: Life,
        number: int,
        rng: Random,
        play: Callable[[Life, CrossingClient, Random], int],
    ) -> None:
        """One connection at a time, kept for as long as it stays open, also after SIGTERM."""
        while not life.member.halt.is_set() and (client := self._connected(life, number)) is not None:
            while (together := play(life, client, rng)) and self._asked(life, client, together):
                pass
            client.close()
            life.member.halt.wait(PACE_S)

    def _asked(self, life: Life, client: CrossingClient, together: int) -> bool:
        """Requests that are written at once; whether their connection stays open."""
        at = time.monotonic()
        try:
            at = client.write(together)
        except OSError as exc:
            for trace in client.names:
                self._unanswered(life, trace, at, repr(exc))
            return False
        for trace in client.names:
            why = "ended"
            try:
                status = client.answer()
            except OSError as exc:
                status, why = None, repr(exc)
            if status is None:
                self._unanswered(life, trace, at, why, client.ended_after(at))
                return False
            with self.lock:
                self.verdict.answers[status] += 1
                if status == 200 and client.body != trace.encode():
                    log = life.member.logged(trace)
                    self.verdict.wrong.append(f"{trace} got {client.body[:40]!r}{log}")
        return not client.closes

    def _connected(self, life: Life, number: int) -> CrossingClient | None:
        """A new connection; none once its process takes no more."""
        while not life.member.halt.is_set():
            if life.termed_at and time.monotonic() > life.termed_at + NEW_CONNECTIONS_S:
                return None
            name = f"{life.member.name}.{next(life.member.traces)}c{number}"
            at, timeout_s = time.monotonic(), EXPIRES_S + LOST_AFTER_S
            try:
                return CrossingClient(life.member.port, name, f"-{life.frontend.port}", timeout_s)
            except OSError as exc:
                if life.termed_at:
                    return None
                self._unanswered(life, name, at, repr(exc))
            life.member.halt.wait(PACE_S)
        return None

    def _unanswered(self, life: Life, trace: str, at: float, why: str, took: float | None = None) -> None:
        """Judge a request with no answer; ``took``: seconds until its connection ended, if not until now."""
        noticed = time.monotonic() - at
        took = noticed if took is None else took
        if life.member.halt.is_set() and not life.termed_at:
            return  # its process was killed outright
        time.sleep(NOTED_S)
        seen = any(r.trace == trace for b in self.backends.values() for r in list(b.receipts))
        if seen or took > CROSSED_S:
            since = at - life.termed_at if life.termed_at else 0.0
            with self.lock:
                self.verdict.lost.append(
                    f"{trace} after {took:.3f} s, noticed after {noticed:.3f} s ({why}), "
                    f"sent {since:.2f} s after SIGTERM, seen={seen}{life.member.logged(trace)}"
                )
