"""The clients of the soak."""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Callable
from typing import ClassVar

from tests.drain_fleet import PACE_S, Backend, FleetProcessTest
from tests.soak_backends import NamingBackend
from tests.soak_verdict import Life, Verdict

EXPIRES_S, LOST_AFTER_S = 1.5, 0.5  # a client's time, and what it waits beyond it
CROSSED_S = 0.1  # an end so soon after the request was written has crossed it unread
CONNECTIONS = 3  # of each client


class SoakClients(FleetProcessTest):
    """Clients that keep their connections for as long as these stay open."""

    backend: ClassVar[Callable[[], Backend]] = NamingBackend
    verdict: Verdict
    lock: threading.Lock

    def clients(self, life: Life) -> None:
        for _ in range(CONNECTIONS):
            threading.Thread(target=self._client, args=(life,), daemon=True).start()

    def _client(self, life: Life) -> None:
        """One connection at a time, kept for as long as it stays open, also after SIGTERM."""
        client = self._connected(life)
        while client is not None and not life.member.halt.wait(PACE_S):
            if not self._asked(life, client):
                client.close()
                client = self._connected(life)

    def _asked(self, life: Life, client: http.client.HTTPConnection) -> bool:
        """One request; whether its connection stays open."""
        trace = f"{life.member.name}.{next(life.member.traces)}-{life.frontend.port}"
        headers = {"X-Trace-Id": trace, "X-Customer": "acme", "X-Expires-In-Ms": str(int(EXPIRES_S * 1000))}
        at = time.monotonic()
        try:
            client.request("GET", "/look/1", headers=headers)
            answer = client.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as exc:
            self._unanswered(life, trace, at, exc)
            return False
        with self.lock:
            self.verdict.answers[answer.status] += 1
            if answer.status == 200 and body != trace.encode():
                self.verdict.wrong.append(f"{trace} got {body[:40]!r}")
        return answer.headers.get("Connection", "").lower() != "close"

    def _connected(self, life: Life) -> http.client.HTTPConnection | None:
        """A new connection; none once its process takes no more."""
        if life.termed_at and time.monotonic() > life.termed_at + 0.4:
            return None
        client = http.client.HTTPConnection("127.0.0.1", life.member.port, timeout=EXPIRES_S + LOST_AFTER_S)
        try:
            client.connect()
        except OSError:
            return None if life.termed_at else client
        return client

    def _unanswered(self, life: Life, trace: str, at: float, exc: Exception) -> None:
        if life.member.halt.is_set() and not life.termed_at:
            return  # its process was killed outright
        took = time.monotonic() - at
        time.sleep(CROSSED_S)  # a backend may be about to note it
        seen = any(r.trace == trace for b in self.backends.values() for r in list(b.receipts))
        if seen or took > CROSSED_S:
            since = at - life.termed_at if life.termed_at else 0.0
            with self.lock:
                self.verdict.lost.append(
                    f"{trace} after {took:.2f} s ({exc!r}), sent {since:.2f} s after SIGTERM, seen={seen}"
                )
