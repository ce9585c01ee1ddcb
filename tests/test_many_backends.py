"""Requests at a process with thousands of backends, while discovery or the backends are slow."""

from __future__ import annotations

import json
import signal
import threading
import time
import unittest
from collections import deque
from typing import Any

from tests.discovery_replies import Reply
from tests.loopback_servers import NEVER_RAN
from tests.many_backends import ManyBackendsStage

SERVED_LEAST = 0.85  # share, of what is served while no list comes


class ListsAnew(ManyBackendsStage):
    # Guards against a long list that keeps the event loop from requests for as long as it is read.
    def test_whole_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.one_process()
        self.whole_lists(7.0, 2.0)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], SERVED_LEAST * statuses.total(), statuses)

    # Guards against the same with each entry over several lines.
    def test_indented_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.one_process()
        self.whole_lists(7.0, 2.0, indent=1)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], SERVED_LEAST * statuses.total(), statuses)


class HeldRequests(ManyBackendsStage):
    # Guards against requests without an answer because each that waits asks every backend again and again.
    def test_a_hold_of_five_seconds_answers_every_request(self) -> None:
        member = self.one_process()
        member.frontends[0].script = deque((Reply(delay_s=5.0), Reply(delay_s=5.0), Reply(delay_s=5.0)))
        self.shared.end_watches()
        self.load(member, 8.0)


class SickBackends(ManyBackendsStage):
    """None of them serves; each request gets its final answer all the same, and none is sent on too late."""

    def sick(self, answer: bytes | None) -> None:
        member = self.one_process()
        for backend in (self.shared_backend, *self.backends.values()):
            backend.answer = answer
        self.load(member, 5.0)

    # Guards against requests that look for a free backend until the event loop stands still.
    def test_all_are_full(self) -> None:
        self.sick(NEVER_RAN)

    # Guards against the same with attempts that are called off one after another.
    def test_all_hang(self) -> None:
        self.sick(None)

    # Guards against the same with ejections by the hundred.
    def test_all_reset(self) -> None:
        self.sick(b"")


class ColdBackends(ManyBackendsStage):
    """All of them have just started."""

    def more_row(self, number: int) -> dict[str, Any]:
        return {**super().more_row(number), "boot_ms": int(time.time() * 1000)}

    # Guards against requests that ask every backend for a token.
    def test_requests_before_cold_backends_get_their_answers(self) -> None:
        self.load(self.one_process(), 5.0)


class Moves(ManyBackendsStage):
    # Guards against a new discovery's list that keeps requests from their answers.
    def test_new_configurations_in_a_row_lose_no_request(self) -> None:
        member = self.one_process()
        frontends = [self.shared.frontend() for _ in range(3)]

        def reload() -> None:
            for frontend in frontends:
                member.config["discovery"] = f"127.0.0.1:{frontend.port}"
                member.file.write_text(json.dumps(member.config))
                member.process.send_signal(signal.SIGHUP)
                time.sleep(1.0)

        threading.Thread(target=reload, daemon=True).start()
        self.load(member, 5.0)


if __name__ == "__main__":
    unittest.main()
