"""The rule ``drain`` on several real processes: outages, silence, restarts and moves of discovery.

All backends go on answering 200, so a request to a drained one shows only in its receipts.
"""

from __future__ import annotations

import json
import signal
import time
import unittest
from collections import deque
from typing import ClassVar

from tests.drain_discovery import BUSY, SLOW, Form, Kind, Reply, SharedDiscovery
from tests.drain_fleet import ALL_NOTIFIED_S, DRAINED, START_S, FleetProcessTest, Member
from tests.loopback_servers import WAIT

JUDGED_S = 1.0  # time for which the load goes on after every change counts as notified


class Outage(FleetProcessTest):
    """Discovery refuses connections for 8 s and ends all watches."""

    def test_calls_that_fail_after_an_outage_with_a_restart_on_an_old_list(self) -> None:
        """The second call of one process is slow, of the others the third; one is restarted in the outage."""
        members = self.fleet()
        killed = members[0]
        self.shared.go_down()
        self.shared.drain(*DRAINED)
        killed.halt.set()
        killed.process.kill()
        killed.process.wait(WAIT)
        restarted = self.spawn("anew", killed.frontends[0])
        self.await_serving(restarted)
        restarted.load()
        self.pass_time(restarted.serving_at + 8.2)
        self.shared.script(BUSY, BUSY, SLOW)
        members[1].frontends[0].script = deque((BUSY, SLOW))
        notified_at = self.shared.come_back() + ALL_NOTIFIED_S
        self.pass_time(notified_at + JUDGED_S)
        self.judge_recovered(notified_at)


class Silence(FleetProcessTest):
    """Open watches deliver nothing; the change arrives as a full list at last."""

    forms: ClassVar[tuple[Form, ...]] = (Form.WHOLE,)

    def test_silent_watches_and_three_calls_to_the_next_answer(self) -> None:
        self.fleet()
        self.shared.script(Reply(Kind.NOTHING), BUSY)
        notified_at = self.shared.silence_watches() + ALL_NOTIFIED_S
        self.shared.drain(*DRAINED)
        self.pass_time(notified_at + JUDGED_S)
        self.judge_recovered(notified_at)

    def test_heads_without_an_object_after_a_restart(self) -> None:
        """One process for each script: immediate heads, late heads, and calls that fail before a head."""
        late_head = Reply(Kind.HEAD_ONLY, 1.9)
        scripts = (
            (Reply(Kind.HEAD_ONLY), Reply(Kind.HEAD_ONLY)),
            (late_head, late_head),
            (BUSY, Reply(Kind.HEAD_ONLY)),
            (BUSY, BUSY),
        )
        frontends = [self.shared.frontend() for _ in scripts]
        for frontend, script in zip(frontends, scripts, strict=True):
            frontend.script.extend(script)
        self.shared.drain(*DRAINED)
        members = [self.spawn(f"n{i}", frontend, rank=i) for i, frontend in enumerate(frontends)]
        self.await_serving(*members)
        for member in members:
            member.load()

        def notified_at(member: Member) -> float:
            return max(member.spawned_at, member.serving_at - START_S) + ALL_NOTIFIED_S

        self.pass_time(max(map(notified_at, members)) + JUDGED_S)
        self.judge_recovered(notified_at)


class Moves(FleetProcessTest):
    """SIGHUP names another discovery, the first one, and the other one again."""

    def setUp(self) -> None:
        super().setUp()
        self.other = self.peer(SharedDiscovery(self.rows))
        self.first = self.fleet(3)
        for member in self.first:
            member.frontends.append(self.other.frontend())

    def move_to(self, place: int) -> None:
        """Move every process by SIGHUP to its frontend of this number."""
        for member in self.first:
            config = {**member.config, "discovery": f"127.0.0.1:{member.frontends[place].port}"}
            member.file.write_text(json.dumps(config))
            member.process.send_signal(signal.SIGHUP)

    def await_calls(self, place: int) -> None:
        for member in self.first:
            member.frontends[place].calls.get(timeout=WAIT)

    def move_there_back_and_there(self) -> float:
        for member in self.first:
            while not member.frontends[0].calls.empty():
                member.frontends[0].calls.get()
        silent = Reply(Kind.NOTHING)  # for the first call of each script, which the move back closes
        self.other.script(silent, BUSY, SLOW)
        self.first[1].frontends[1].script = deque((silent, BUSY, BUSY, SLOW))
        self.first[2].frontends[1].script = deque((silent, silent, BUSY, SLOW))
        self.shared.script(Reply(Kind.NOTHING), Reply(Kind.NOTHING))
        self.move_to(1)
        self.await_calls(1)
        self.move_to(0)
        self.await_calls(0)
        self.move_to(1)
        self.await_calls(1)
        self.other.drain(*DRAINED)
        return time.monotonic()

    def test_a_delta_on_the_first_watch_counts_while_the_new_one_is_asked(self) -> None:
        drained = self.move_there_back_and_there()
        self.shared.drain(*DRAINED)
        self.assertTrue(
            all(member.frontends[0].written for member in self.first), "the first watch has ended"
        )
        self.pass_time(drained + ALL_NOTIFIED_S + JUDGED_S)
        self.judge_recovered(drained + ALL_NOTIFIED_S)

    def test_the_first_discovery_goes_down_and_the_new_one_is_crowded(self) -> None:
        drained = self.move_there_back_and_there()
        self.shared.go_down()
        self.pass_time(drained + ALL_NOTIFIED_S + JUDGED_S)
        self.judge_recovered(drained + ALL_NOTIFIED_S)


if __name__ == "__main__":
    unittest.main()
