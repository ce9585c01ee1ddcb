"""One lead, whatever happens: leases, fences and campaigns over any order of events."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lupinlink.coordination.client import BURST
from lupinlink.coordination.contract import Delete, Lock, Put, Unlock, View
from lupinlink.coordination.errors import LeaseLostError
from lupinlink.coordination.fence import FenceRecord, encode_fence
from lupinlink.coordination.memory import MemoryService
from lupinlink.coordination.rate_limit import MAX_OWED_CALLS
from lupinlink.lab.model.clock import VirtualClock
from tests.fleet_members import KEY, TTL_MS, Candidate, Works

WHO = st.integers(0, 2)


class LeadMachine(RuleBasedStateMachine):
    """Three candidates; each may stand still, be cut off, lose answers; the service may go back."""

    @initialize(late=st.floats(1.0, 2.0), delay_ms=st.sampled_from([1.0, 1500.0]))
    def begin(self, late: float, delay_ms: float) -> None:
        self.clock = VirtualClock()
        self.service = MemoryService(self.clock, 1000.0, late, delay_ms)
        self.works = Works(self.service)
        self.all = [Candidate(self.service, self.clock, i) for i in range(3)]
        self.saved = self.service.save()
        self.ended: set[str] = set()  # leases that were ended by force
        self.decided: dict[int, Callable[[], None]] = {}

    @rule(ms=st.floats(1.0, 15000.0))
    def time(self, ms: float) -> None:
        self.clock.run(self.clock.now() + ms)

    @rule(who=WHO)
    def stand_still(self, who: int) -> None:
        self.decided[who] = self.all[who].decide()
        self.all[who].clock.stopped = True

    @rule(who=WHO)
    def go_on(self, who: int) -> None:
        # Danger: what it does first, it does in the belief that it had when it was stopped.
        self.decided.pop(who, lambda: None)()
        self.all[who].clock.go_on()

    @rule(who=WHO, cut=st.booleans())
    def cut(self, who: int, cut: bool) -> None:
        self.all[who].transport.cut = cut

    @rule(who=WHO, asks=st.integers(0, 2), answers=st.integers(0, 2))
    def lose(self, who: int, asks: int, answers: int) -> None:
        self.all[who].transport.lost_requests, self.all[who].transport.lost_responses = asks, answers

    @rule(who=WHO)
    def work(self, who: int) -> None:
        self.all[who].decide()()

    @rule(who=WHO)
    def expire(self, who: int) -> None:
        lease = self.all[who].process_lease.lease
        if lease is not None:
            self.ended.add(lease.name)
            self.service.expire(lease.name)

    @rule()
    def save(self) -> None:
        self.saved = self.service.save()

    @precondition(lambda self: self.service.store.index > self.saved.index)
    @rule()
    def restore(self) -> None:
        self.ended |= self.service.store.grants.keys() - self.saved.grants.keys()
        self.service.restore(self.saved)
        self.works.fences.clear()

    @rule()
    def heal(self) -> None:
        """All goes well for long enough: one leads, under a fence that everybody obeys."""
        for one in self.all:
            one.transport.cut, one.transport.lost_requests, one.transport.lost_responses = False, 0, 0
            one.clock.go_on()
        self.clock.run(self.clock.now() + 90000.0)
        leads = [one for one in self.all if one.lead.is_leader]
        assert len(leads) == 1
        assert all(one.lead.holder == leads[0].lead._name for one in self.all)
        assert all(one.seen.admits(leads[0].lead.fence) for one in self.all)
        before = len(self.works.fences)
        leads[0].decide()()
        self.clock.run(self.clock.now() + 2000.0)
        assert self.works.fences[before:] == [leads[0].lead.fence]

    @invariant()
    def work_is_accepted_under_fences_that_only_rise(self) -> None:
        if hasattr(self, "works"):
            assert self.works.fences == sorted(self.works.fences)

    @invariant()
    def a_process_leads_under_fences_that_only_rise(self) -> None:
        for one in getattr(self, "all", ()):
            assert one.became == sorted(set(one.became))

    @invariant()
    def a_lease_is_believed_no_longer_than_it_is_granted(self) -> None:
        for one in getattr(self, "all", ()):
            lease = one.process_lease.lease
            if lease is not None and lease.name not in self.ended:
                self.service.store.expire(self.clock.now())
                assert lease.name in self.service.store.grants


LeadMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=40, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck), phases=[Phase.generate],  # shrinking takes minutes
)  # fmt: skip
LeadTest = LeadMachine.TestCase


class LeadCases(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.service = MemoryService(self.clock, 1000.0, late=1.5)
        self.works = Works(self.service)

    def candidates(self, number: int) -> list[Candidate]:
        found = [Candidate(self.service, self.clock, i) for i in range(number)]
        self.clock.run(self.clock.now() + 20000.0)
        return found

    def test_a_holder_that_stood_still_writes_nothing_more(self) -> None:
        all_ = self.candidates(3)
        first = next(one for one in all_ if one.lead.is_leader)
        write, fence = first.decide(), first.lead.fence
        first.clock.stopped = True
        self.clock.run(self.clock.now() + 4 * TTL_MS)
        second = next(one for one in all_ if one is not first and one.lead.is_leader)
        self.assertGreater(second.lead.fence, fence)
        self.assertFalse(first.lead.is_leader)
        self.assertRaises(LeaseLostError, first.lead.guard)
        write()
        first.clock.go_on()
        self.clock.run(self.clock.now() + 100.0)
        self.assertEqual((first.failed, self.works.fences, first.lost), (1, [], 1))
        self.assertTrue(first.seen.admits(second.lead.fence))
        self.assertFalse(first.seen.admits(fence))

    def test_two_hundred_do_not_storm_when_the_holder_goes(self) -> None:
        all_ = self.candidates(200)
        first = next(one for one in all_ if one.lead.is_leader)
        before = sum(one.client.calls_by_kind.get("commit", 0) for one in all_)
        name = first.process_lease.lease.name if first.process_lease.lease else ""
        first.transport.cut = True
        self.service.expire(name)
        self.clock.run(self.clock.now() + 5000.0)
        self.assertEqual(sum(one.lead.is_leader for one in all_ if one is not first), 1)
        after = sum(one.client.calls_by_kind.get("commit", 0) for one in all_ if one is not first)
        self.assertLessEqual(after - before, 10)

    def test_a_lead_that_is_let_go_is_taken_at_once(self) -> None:
        all_ = self.candidates(2)
        first, second = sorted(all_, key=lambda one: not one.lead.is_leader)
        first.lead.stop()
        self.clock.run(self.clock.now() + 2500.0)  # the spread, and no lock-delay
        self.assertTrue(second.lead.is_leader and not first.lead.is_leader)
        self.assertEqual(first.lost, 0)

    def test_a_fence_that_somebody_met_is_overtaken(self) -> None:
        all_ = self.candidates(3)
        first = next(one for one in all_ if one.lead.is_leader)
        other = next(one for one in all_ if one is not first)
        other.lead.observe_fence(first.lead.fence + 7)  # as after a restore
        self.clock.run(self.clock.now() + 10000.0)
        self.assertGreater(first.lead.fence, first.became[0] + 7)
        self.assertEqual((first.lost, first.became[-1]), (0, first.lead.fence))

    def test_a_lead_that_was_told_to_be_over_comes_back_under_a_higher_fence(self) -> None:
        first = self.candidates(1)[0]
        saved = self.service.save()
        self.service.store.commit([Delete(KEY, None)], self.clock.now())
        self.service.changed()
        self.clock.run(self.clock.now() + 4.0)
        self.assertEqual((first.lost, first.lead.is_leader), (1, False))
        self.service.restore(saved)
        self.clock.run(self.clock.now() + 500.0)
        self.assertTrue(first.lead.is_leader)
        self.assertEqual(first.became, sorted(set(first.became)))

    def test_records_that_change_all_the_time_are_asked_for_at_the_pace(self) -> None:
        one = self.candidates(1)[0]
        for prefix in "abcde":
            one.client.watch(prefix, lambda view: None, lambda error: None)

        def change() -> None:
            steps = [Put(prefix, b"%f" % self.clock.now(), None) for prefix in "abcde"]
            self.service.store.commit(steps, self.clock.now())
            self.service.changed()
            self.clock.after(50.0, change)

        change()
        before = one.client.calls
        self.clock.run(self.clock.now() + 100000.0)
        calls = one.client.calls - before
        self.assertLessEqual(calls, 100 + BURST + MAX_OWED_CALLS)

    def test_a_campaign_decided_on_what_has_passed_fails(self) -> None:
        service = MemoryService(self.clock, 0.0, delay_ms=500.0)
        one = Candidate(service, self.clock, 1)
        while not one.client.calls_by_kind.get("commit"):
            self.clock.run(self.clock.now() + 100.0)
        name = service.store.open(TTL_MS, self.clock.now())  # another leads under the same fence, and goes
        for step in (
            Lock(KEY, encode_fence(FenceRecord(1, "x")), name),
            Unlock(KEY, encode_fence(FenceRecord(1)), name),
        ):
            service.store.commit([step], self.clock.now())
        service.changed()
        self.clock.run(self.clock.now() + 20000.0)
        self.assertEqual((one.became, one.lead.is_leader), ([2], True))

    def test_answers_that_overtake_each_other_change_nothing(self) -> None:
        first = self.candidates(1)[0]
        now = self.service.store.records[KEY]
        first.lead._view(View(KEY, {}, 1, asked_ms=0.0))  # asked before it led, comes late
        first.lead._written({KEY: replace(now, revision=1, lease="older")}, None)
        self.assertEqual((first.lead.is_leader, first.lost), (True, 0))

    def test_a_record_that_cannot_be_read_stops_no_campaign(self) -> None:
        self.service.store.commit(
            [Put(KEY, b"\xff", None), Put("x", encode_fence(FenceRecord(3)), None)], 0.0
        )
        self.assertEqual(sum(one.lead.is_leader for one in self.candidates(2)), 1)

    def test_the_answer_that_the_service_was_busy_changes_nothing(self) -> None:
        all_ = self.candidates(2)
        before = [list(one.became) for one in all_]
        for one in all_:
            one.transport.busy = True
        self.clock.run(self.clock.now() + 5000.0)
        for one in all_:
            one.transport.busy = False
        self.clock.run(self.clock.now() + 20000.0)
        self.assertEqual([one.became for one in all_], before)
