"""Answers of discovery that were written and do not come: no request goes to a backend that they took out.

Seen: in a fleet of some forty processes a handful sent requests to draining backends 0.30 to 0.50 s after
they counted as told, five to ten requests in each of several runs; then it stopped. What they counted as told
was 2.6 to 3.1 s after discovery had the change, and no log showed the change before that.

How it came about: their watches were broken and each process called discovery anew. Discovery wrote its
answer with the change in it, and the answer came late, or not at all. The change counts as told from the
answer's write on. The processes sent by their old list all the while, as nothing had come yet.

Cause: "no byte came" was taken for "nothing was written". The list was doubted from the first byte of an
answer, or 5.65 s after the last sign of the watch before, and in neither case while a call was out.

Proof: the tests below, with real processes: both ways in which a watch ends, answers that go astray.

The same mistake where discovery ends a watch instead of telling: nothing held until the next call. Measured
with one process that called late on purpose: the news counted 0.30 to 0.32 s after the end, four times.
"""

from __future__ import annotations

import unittest
from collections import deque
from typing import Any

from tests.discovery_replies import Kind, Reply
from tests.drain_fleet import ALL_TOLD_S, DRAINED, TOLD_AFTER_END_S, FleetProcessTest, Member
from tests.drain_script import (
    CallFault,
    Change,
    Departure,
    Fault,
    OutageKind,
    Restart,
    Run,
    Script,
    ScriptedOutage,
)
from tests.test_drain_faults import Forced

JUDGED_S = 1.0  # so long after the last moment of telling the load still goes on
ASTRAY = (Reply(Kind.LOST, transit_s=1.2), Reply(Kind.LATE, delay_s=0.1, transit_s=1.6))
LOST_AGAIN = Reply(Kind.LOST, transit_s=0.7)
SETTLED_S = 4.0  # every call that follows is answered by then
SMALL, LARGE = 5, 40  # processes that the settings tell of: how widely calls are spread


class AnswersOnTheirWay(FleetProcessTest):
    """Half of the backends drain while no watch stands, and the answer to each next call goes astray."""

    def members_of(self, peers: int) -> list[Member]:
        """A process for each answer, which its second call meets."""
        self.peers = peers  # type: ignore[misc]
        members: list[Member] = []
        for reply in ASTRAY:
            name = f"n{len(self.members)}-{peers}-{reply.kind.name}"
            members.append(self.spawn(name, self.shared.frontend(), rank=len(members)))
        return members

    def test_no_request_is_late_while_an_answer_is_on_its_way_or_lost(self) -> None:
        silent = self.members_of(SMALL) + self.members_of(LARGE)
        ended = self.members_of(SMALL) + self.members_of(LARGE)
        self.await_serving(*self.members)
        for member in self.members:
            member.load()
            member.frontends[0].watching.get(timeout=10.0)
        for members in (silent, ended):
            for member, reply in zip(members, 2 * ASTRAY, strict=True):
                again = (LOST_AGAIN,) if reply.kind is Kind.LOST else ()
                member.frontends[0].script = deque((reply, *again))
        self.shared.end_watches(member.frontends[0] for member in ended)
        self.shared.silence_watches()
        drained = self.shared.drain(*DRAINED)
        self.pass_time(drained + ALL_TOLD_S + JUDGED_S)
        self.judge_recovered(drained + ALL_TOLD_S)


class WatchesThatEndInsteadOfTelling(FleetProcessTest):
    """Discovery has a change for its watches, and ends them. A process that called at once would be told."""

    def config(self, *rows: dict[str, Any]) -> dict[str, Any]:
        """Each process draws its own wait before the next call."""
        return {**super().config(*rows), "seed": f"{len(self.members):016x}"}

    def test_no_request_is_late_between_the_end_of_a_watch_and_the_answer_to_the_next_call(self) -> None:
        for self.peers in (SMALL, LARGE):  # type: ignore[misc]
            for delay_s in (0.4, 0.9, 0.4, 0.9):
                frontend, rank = self.shared.frontend(), len(self.members) % 2
                self.spawn(f"n{len(self.members)}-{self.peers}-{delay_s}", frontend, rank=rank)
                frontend.script = deque((Reply(), Reply(delay_s=delay_s)))
        self.await_serving(*self.members)
        for member in self.members:
            member.load()
            member.frontends[0].watching.get(timeout=10.0)
        with self.shared.lock:
            ended = self.shared.end_watches()
            self.shared.drain(*DRAINED)
        self.pass_time(ended + SETTLED_S)
        self.judge_recovered(ended + TOLD_AFTER_END_S)


class LostBehindRefusals(Forced):
    """Two calls are turned down at once, the third is answered just as discovery goes down."""

    def test_an_answer_that_an_outage_cuts_off_behind_two_refusals(self) -> None:
        refused = CallFault(Fault.ERROR)
        run = Run(5000.0, (refused, refused, CallFault(Fault.LOST)))
        outage, restart = ScriptedOutage(6500.0, 8500.0), Restart(5000.0, 200.0)
        self.in_time(Script((Change(5000.0),), (outage,), (run,), restarts=(restart,)))


class EndedBeforeRefusals(Forced):
    """A watch ends instead of telling; calls that are turned down after it show nothing of its news."""

    def test_news_of_an_ended_watch_counts_though_calls_are_turned_down(self) -> None:
        outages = (
            ScriptedOutage(9400.0, 37700.0, OutageKind.ERROR, 2000.0),
            ScriptedOutage(13300.0, 15500.0, OutageKind.ERROR),
        )
        for going_at, outage in zip((9000.0, 12600.0), outages, strict=True):
            self.in_time(Script((Change(going_at, Departure.REMOVAL),), (outage,), ends_instead=True))


if __name__ == "__main__":
    unittest.main()
