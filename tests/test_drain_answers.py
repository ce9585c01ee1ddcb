"""Guards against requests to draining backends while an answer of discovery is delayed or lost.

A process whose watch has ended calls discovery again. A change in the answer counts as notified from its
write on, even if the answer arrives late or never. A process that takes "no byte arrived" for "nothing was
written" goes on using its old list meanwhile: in a fleet of some 40 processes a handful sent requests to
draining backends 0.30 to 0.50 s after the change counted, which was 2.6 to 3.1 s after discovery had it. The
list was doubted only from the first byte of an answer on, or 5.65 s after the last activity of the old watch.

The same holds where discovery ends a watch instead of delivering a change on it. In four trials with a
process that called late the change counted 0.30 to 0.32 s after the end.
"""

from __future__ import annotations

import unittest
from collections import deque
from typing import Any

from tests.discovery_replies import Kind, Reply
from tests.drain_fleet import ALL_NOTIFIED_S, DRAINED, NOTIFIED_AFTER_END_S, FleetProcessTest, Member
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

JUDGED_S = 1.0  # time for which the load goes on after every change counts as notified
DELAYED_OR_LOST = (Reply(Kind.LOST, transit_s=1.2), Reply(Kind.LATE, delay_s=0.1, transit_s=1.6))
LOST_AGAIN = Reply(Kind.LOST, transit_s=0.7)
SETTLED_S = 4.0  # by then every later call is answered
SMALL, LARGE = 5, 40  # size of the fleet in the settings, which determines how far calls are spread


class AnswersOnTheirWay(FleetProcessTest):
    """Half of the backends drain while no watch is open, and the answer to the next call is late or lost."""

    def spawn_members(self, peers: int) -> list[Member]:
        """Start a process for each reply, which its second call gets."""
        self.peers = peers  # type: ignore[misc]
        members: list[Member] = []
        for reply in DELAYED_OR_LOST:
            name = f"n{len(self.members)}-{peers}-{reply.kind.name}"
            members.append(self.spawn(name, self.shared.frontend(), rank=len(members)))
        return members

    def test_no_request_is_late_while_an_answer_is_delayed_or_lost(self) -> None:
        silent = self.spawn_members(SMALL) + self.spawn_members(LARGE)
        ended = self.spawn_members(SMALL) + self.spawn_members(LARGE)
        self.await_serving(*self.members)
        for member in self.members:
            member.load()
            member.frontends[0].watching.get(timeout=10.0)
        for members in (silent, ended):
            for member, reply in zip(members, 2 * DELAYED_OR_LOST, strict=True):
                again = (LOST_AGAIN,) if reply.kind is Kind.LOST else ()
                member.frontends[0].script = deque((reply, *again))
        self.shared.end_watches(member.frontends[0] for member in ended)
        self.shared.silence_watches()
        drained = self.shared.drain(*DRAINED)
        self.pass_time(drained + ALL_NOTIFIED_S + JUDGED_S)
        self.judge_recovered(drained + ALL_NOTIFIED_S)


class WatchesEndedInsteadOfUpdated(FleetProcessTest):
    """Discovery ends its watches instead of writing a change, which a call made at once would get."""

    def config(self, *rows: dict[str, Any]) -> dict[str, Any]:
        """Give each process its own seed, and so its own backoff."""
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
        self.judge_recovered(ended + NOTIFIED_AFTER_END_S)


class AnswerLostAfterRefusals(Forced):
    """Two calls are refused at once, the third is answered just as discovery goes down."""

    def test_an_answer_that_is_lost_in_an_outage_after_two_refusals(self) -> None:
        refused = CallFault(Fault.ERROR)
        run = Run(5000.0, (refused, refused, CallFault(Fault.LOST)))
        outage, restart = ScriptedOutage(6500.0, 8500.0), Restart(5000.0, 200.0)
        self.in_time(Script((Change(5000.0),), (outage,), (run,), restarts=(restart,)))


class EndedBeforeRefusals(Forced):
    """A watch ends instead of delivering; calls refused afterwards do not show that nothing changed."""

    def test_news_of_an_ended_watch_counts_though_calls_are_turned_down(self) -> None:
        outages = (
            ScriptedOutage(9400.0, 37700.0, OutageKind.ERROR, 2000.0),
            ScriptedOutage(13300.0, 15500.0, OutageKind.ERROR),
        )
        for departure_at, outage in zip((9000.0, 12600.0), outages, strict=True):
            self.in_time(Script((Change(departure_at, Departure.REMOVAL),), (outage,), ends_instead=True))


if __name__ == "__main__":
    unittest.main()
