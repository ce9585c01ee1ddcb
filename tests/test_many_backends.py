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

MIN_SERVED = 0.85  # as a share of all answers


class WholeLists(ManyBackendsStage):
    # Guards against a long list whose parsing blocks the event loop.
    def test_whole_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.start_process()
        self.send_whole_lists(7.0, 2.0)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], MIN_SERVED * statuses.total(), statuses)

    # Guards against the same with each entry over several lines.
    def test_indented_lists_twice_a_second_leave_requests_served(self) -> None:
        member = self.start_process()
        self.send_whole_lists(7.0, 2.0, indent=1)
        statuses = self.load(member, 6.0).statuses()
        self.assertGreaterEqual(statuses[200], MIN_SERVED * statuses.total(), statuses)


class HeldRequests(ManyBackendsStage):
    # Guards against held requests that stay unanswered because each one checks every backend repeatedly.
    def test_a_hold_of_five_seconds_answers_every_request(self) -> None:
        member = self.start_process()
        member.frontends[0].script = deque((Reply(delay_s=5.0), Reply(delay_s=5.0), Reply(delay_s=5.0)))
        self.shared.end_watches()
        self.load(member, 8.0)


class FailingBackends(ManyBackendsStage):
    """No backend serves; still each request gets its final answer, and none is forwarded too late."""

    def run_with_answer(self, answer: bytes | None) -> None:
        member = self.start_process()
        for backend in (self.shared_backend, *self.backends.values()):
            backend.answer = answer
        self.load(member, 5.0)

    # Guards against requests that block the event loop with their search for a free backend.
    def test_all_are_full(self) -> None:
        self.run_with_answer(NEVER_RAN)

    # Guards against the same with attempts that are cancelled one after another.
    def test_all_hang(self) -> None:
        self.run_with_answer(None)

    # Guards against the same with hundreds of ejections.
    def test_all_reset(self) -> None:
        self.run_with_answer(b"")


class ColdBackends(ManyBackendsStage):
    """All of them have just started."""

    def more_row(self, number: int) -> dict[str, Any]:
        return {**super().more_row(number), "boot_ms": int(time.time() * 1000)}

    # Guards against requests that try the token bucket of every backend.
    def test_requests_before_cold_backends_get_their_answers(self) -> None:
        self.load(self.start_process(), 5.0)


class DiscoveryMoves(ManyBackendsStage):
    # Guards against a new discovery's list whose processing delays answers.
    def test_repeated_reloads_lose_no_request(self) -> None:
        member = self.start_process()
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
