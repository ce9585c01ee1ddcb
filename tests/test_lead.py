"""Leader election: at most one leader can write, over random sequences of faults."""

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
from tests.fleet_members import KEY, TTL_MS, AcceptedWrites, Candidate

CANDIDATES = st.integers(0, 2)


class LeaderElectionMachine(RuleBasedStateMachine):
    """Three candidates that can be suspended, cut off or lose responses; the service can be restored."""

    @initialize(late=st.floats(1.0, 2.0), delay_ms=st.sampled_from([1.0, 1500.0]))
    def begin(self, late: float, delay_ms: float) -> None:
        self.clock = VirtualClock()
        self.service = MemoryService(self.clock, 1000.0, late, delay_ms)
        self.accepted = AcceptedWrites(self.service)
        self.all = [Candidate(self.service, self.clock, i) for i in range(3)]
        self.saved = self.service.save()
        self.ended: set[str] = set()  # leases that were ended by a fault, not by expiry
        self.prepared: dict[int, Callable[[], None]] = {}

    @rule(ms=st.floats(1.0, 15000.0))
    def time(self, ms: float) -> None:
        self.clock.run(self.clock.now() + ms)

    @rule(who=CANDIDATES)
    def suspend(self, who: int) -> None:
        self.prepared[who] = self.all[who].prepare_write()
        self.all[who].clock.stopped = True

    @rule(who=CANDIDATES)
    def resume(self, who: int) -> None:
        # A resumed process first performs the write that it had prepared before it was suspended.
        self.prepared.pop(who, lambda: None)()
        self.all[who].clock.resume()

    @rule(who=CANDIDATES, cut=st.booleans())
    def cut(self, who: int, cut: bool) -> None:
        self.all[who].transport.cut = cut

    @rule(who=CANDIDATES, requests=st.integers(0, 2), responses=st.integers(0, 2))
    def lose(self, who: int, requests: int, responses: int) -> None:
        self.all[who].transport.lost_requests, self.all[who].transport.lost_responses = requests, responses

    @rule(who=CANDIDATES)
    def work(self, who: int) -> None:
        self.all[who].prepare_write()()

    @rule(who=CANDIDATES)
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
        self.ended |= self.service.store.leases.keys() - self.saved.leases.keys()
        self.service.restore(self.saved)
        self.accepted.fences.clear()

    @rule()
    def heal(self) -> None:
        """Without faults there is one leader after a while, under a fence that all processes accept."""
        for one in self.all:
            one.transport.cut, one.transport.lost_requests, one.transport.lost_responses = False, 0, 0
            one.clock.resume()
        self.clock.run(self.clock.now() + 90000.0)
        leads = [one for one in self.all if one.lead.is_leader]
        assert len(leads) == 1
        assert all(one.lead.holder == leads[0].lead._name for one in self.all)
        assert all(one.highest_fence.admits(leads[0].lead.fence) for one in self.all)
        before = len(self.accepted.fences)
        leads[0].prepare_write()()
        self.clock.run(self.clock.now() + 2000.0)
        assert self.accepted.fences[before:] == [leads[0].lead.fence]

    @invariant()
    def writes_are_accepted_under_rising_fences_only(self) -> None:
        if hasattr(self, "accepted"):
            assert self.accepted.fences == sorted(self.accepted.fences)

    @invariant()
    def a_process_leads_under_fences_that_only_rise(self) -> None:
        for one in getattr(self, "all", ()):
            assert one.fences_led == sorted(set(one.fences_led))

    @invariant()
    def a_lease_is_not_valid_longer_than_the_service_grants_it(self) -> None:
        for one in getattr(self, "all", ()):
            lease = one.process_lease.lease
            if lease is not None and lease.name not in self.ended:
                self.service.store.expire(self.clock.now())
                assert lease.name in self.service.store.leases


LeaderElectionMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=40, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck), phases=[Phase.generate],  # shrinking takes minutes
)  # fmt: skip
LeaderElectionTest = LeaderElectionMachine.TestCase


class LeaderElectionCases(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.service = MemoryService(self.clock, 1000.0, late=1.5)
        self.accepted = AcceptedWrites(self.service)

    def candidates(self, number: int) -> list[Candidate]:
        found = [Candidate(self.service, self.clock, i) for i in range(number)]
        self.clock.run(self.clock.now() + 20000.0)
        return found

    def test_a_leader_that_was_suspended_and_replaced_cannot_write(self) -> None:
        all_ = self.candidates(3)
        first = next(one for one in all_ if one.lead.is_leader)
        write, fence = first.prepare_write(), first.lead.fence
        first.clock.stopped = True
        self.clock.run(self.clock.now() + 4 * TTL_MS)
        second = next(one for one in all_ if one is not first and one.lead.is_leader)
        self.assertGreater(second.lead.fence, fence)
        self.assertFalse(first.lead.is_leader)
        self.assertRaises(LeaseLostError, first.lead.guard)
        write()
        first.clock.resume()
        self.clock.run(self.clock.now() + 100.0)
        self.assertEqual((first.failed_writes, self.accepted.fences, first.lost), (1, [], 1))
        self.assertTrue(first.highest_fence.admits(second.lead.fence))
        self.assertFalse(first.highest_fence.admits(fence))

    def test_of_two_hundred_candidates_few_try_when_the_leader_is_gone(self) -> None:
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

    def test_a_released_leadership_is_taken_without_lock_delay(self) -> None:
        all_ = self.candidates(2)
        first, second = sorted(all_, key=lambda one: not one.lead.is_leader)
        first.lead.stop()
        self.clock.run(self.clock.now() + 2500.0)  # the random wait without the lock-delay
        self.assertTrue(second.lead.is_leader and not first.lead.is_leader)
        self.assertEqual(first.lost, 0)

    def test_a_leader_moves_above_a_higher_fence_that_another_process_has_seen(self) -> None:
        all_ = self.candidates(3)
        first = next(one for one in all_ if one.lead.is_leader)
        other = next(one for one in all_ if one is not first)
        other.lead.observe_fence(first.lead.fence + 7)  # as after a restore
        self.clock.run(self.clock.now() + 10000.0)
        self.assertGreater(first.lead.fence, first.fences_led[0] + 7)
        self.assertEqual((first.lost, first.fences_led[-1]), (0, first.lead.fence))

    def test_a_leadership_that_ended_resumes_under_a_higher_fence(self) -> None:
        first = self.candidates(1)[0]
        saved = self.service.save()
        self.service.store.commit([Delete(KEY, None)], self.clock.now())
        self.service.changed()
        self.clock.run(self.clock.now() + 4.0)
        self.assertEqual((first.lost, first.lead.is_leader), (1, False))
        self.service.restore(saved)
        self.clock.run(self.clock.now() + 500.0)
        self.assertTrue(first.lead.is_leader)
        self.assertEqual(first.fences_led, sorted(set(first.fences_led)))

    def test_records_that_change_all_the_time_are_queried_at_the_rate_limit(self) -> None:
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

    def test_a_campaign_based_on_an_outdated_record_fails(self) -> None:
        service = MemoryService(self.clock, 0.0, delay_ms=500.0)
        one = Candidate(service, self.clock, 1)
        while not one.client.calls_by_kind.get("commit"):
            self.clock.run(self.clock.now() + 100.0)
        name = service.store.open(
            TTL_MS, self.clock.now()
        )  # another process leads under the same fence and leaves
        for step in (
            Lock(KEY, encode_fence(FenceRecord(1, "x")), name),
            Unlock(KEY, encode_fence(FenceRecord(1)), name),
        ):
            service.store.commit([step], self.clock.now())
        service.changed()
        self.clock.run(self.clock.now() + 20000.0)
        self.assertEqual((one.fences_led, one.lead.is_leader), ([2], True))

    def test_responses_out_of_order_change_nothing(self) -> None:
        first = self.candidates(1)[0]
        now = self.service.store.records[KEY]
        first.lead._on_view(View(KEY, {}, 1, asked_ms=0.0))  # queried before the election, delivered late
        first.lead._on_written({KEY: replace(now, revision=1, lease="older")}, None)
        self.assertEqual((first.lead.is_leader, first.lost), (True, 0))

    def test_an_unreadable_record_does_not_prevent_an_election(self) -> None:
        self.service.store.commit(
            [Put(KEY, b"\xff", None), Put("x", encode_fence(FenceRecord(3)), None)], 0.0
        )
        self.assertEqual(sum(one.lead.is_leader for one in self.candidates(2)), 1)

    def test_a_busy_service_does_not_change_the_leader(self) -> None:
        all_ = self.candidates(2)
        before = [list(one.fences_led) for one in all_]
        for one in all_:
            one.transport.busy = True
        self.clock.run(self.clock.now() + 5000.0)
        for one in all_:
            one.transport.busy = False
        self.clock.run(self.clock.now() + 20000.0)
        self.assertEqual([one.fences_led for one in all_], before)
