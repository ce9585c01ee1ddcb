"""Records and watches of the agreement service, in memory and over the emulated Consul API."""

from __future__ import annotations

from typing import Any

from twisted.trial.unittest import TestCase

from lupinlink.coordination.contract import (
    ABSENT,
    MAX_STEPS,
    MAX_VALUE_BYTES,
    CheckRevision,
    Delete,
    Put,
)  # fmt: skip
from lupinlink.coordination.errors import (
    BusyError,
    ConflictError,
    InvalidRequestError,
    UncertainError,
    UnreachableError,
)  # fmt: skip
from tests.agreements import ConsulStandIn, InMemoryService
from tests.contract_suite import TTL_MS, AgreementContract, async_test


class Records(AgreementContract):
    """The tests; a subclass sets the implementation."""

    @async_test
    async def test_a_commit_is_atomic(self: Any) -> None:
        await self.assert_commit_fails(ConflictError, Put("r/a", b"1", ABSENT), Put("r/b", b"1", 7))
        self.assertIsNone(await self.value("r/a"))
        done = await self.a.commit(
            [Put("r/a", b"1", ABSENT), Put("r/b", b"2", None), CheckRevision("r/c", ABSENT)]
        )
        self.assertEqual({k: r.value for k, r in done.items()}, {"r/a": b"1", "r/b": b"2"})
        self.assertEqual(done, (await self.b.read("r/")).records)

    @async_test
    async def test_only_one_of_two_writes_at_one_revision_succeeds(self: Any) -> None:
        before = (await self.a.commit([Put("r", b"0", ABSENT)]))["r"]
        after = (await self.a.commit([Put("r", b"a", before.revision)]))["r"]
        self.assertGreater(after.revision, before.revision)
        await self.assert_commit_fails(ConflictError, Put("r", b"b", before.revision), by=self.b)
        await self.assert_commit_fails(ConflictError, Put("r", b"b", ABSENT), by=self.b)
        await self.assert_commit_fails(
            ConflictError, CheckRevision("r", before.revision), Put("s", b"", None), by=self.b
        )
        await self.assert_commit_fails(
            ConflictError, CheckRevision("r", ABSENT), Put("s", b"", None), by=self.b
        )
        same = (await self.b.commit([CheckRevision("r", after.revision), Put("r", b"a", None)]))["r"]
        self.assertEqual(same, after)  # an equal value is no change

    @async_test
    async def test_a_record_is_deleted_only_once(self: Any) -> None:
        at = (await self.a.commit([Put("r", b"0", ABSENT)]))["r"].revision
        await self.assert_commit_fails(ConflictError, Delete("r", at + 1))
        await self.a.commit([Delete("r", at)])
        await self.assert_commit_fails(ConflictError, Delete("r", at), by=self.b)
        await self.b.commit([Delete("r", ABSENT), Delete("r", None)])
        self.assertIsNone(await self.value("r"))

    @async_test
    async def test_commits_beyond_the_limits_are_rejected(self: Any) -> None:
        await self.a.commit([Put(f"r/{i}", b"", None) for i in range(MAX_STEPS)])
        await self.assert_commit_fails(
            InvalidRequestError, *(Put(f"r/{i}", b"", None) for i in range(MAX_STEPS + 1))
        )
        await self.assert_commit_fails(
            InvalidRequestError, *(Delete(f"r/{i}", 1) for i in range(MAX_STEPS // 2 + 1))
        )
        await self.assert_commit_fails(InvalidRequestError, Put("r", b"x" * (MAX_VALUE_BYTES + 1), None))
        await self.assert_commit_fails(InvalidRequestError, Put("", b"", None))
        await self.assert_commit_fails(InvalidRequestError)

    @async_test
    async def test_a_watch_delivers_the_state_each_change_and_unchanged_views(self: Any) -> None:
        await self.a.commit([Put("r/1", b"1", None), Put("q/1", b"1", None)])
        watched = self.watched(self.b, "r/")
        await watched.until(lambda: watched.values == {"r/1": b"1"})
        await self.a.commit([Put("r/2", b"2", None), Put("q/1", b"2", None)])
        await watched.until(lambda: watched.values == {"r/1": b"1", "r/2": b"2"})
        await self.a.commit([Delete("r/1", None)])
        await watched.until(lambda: watched.values == {"r/2": b"2"})
        await watched.more()
        self.assertEqual(watched.views[-1].records, watched.views[-2].records)
        self.assertEqual([v.index for v in watched.views], sorted(v.index for v in watched.views))
        asked = [view.asked_ms for view in watched.views]
        self.assertEqual(asked, sorted(set(asked)))

    @async_test
    async def test_a_restore_shows_as_a_lower_index(self: Any) -> None:
        await self.a.commit([Put("r", b"old", None)])
        self.service.save()
        await self.a.commit([Put("r", b"new", None), Put("s", b"", None)])
        watched = self.watched(self.b, "r")
        await watched.until(lambda: watched.values == {"r": b"new"})
        self.service.restore()
        await watched.until(lambda: watched.values == {"r": b"old"})
        self.assertLess(watched.views[-1].index, watched.views[-2].index)
        await self.a.commit([Put("r", b"newer", None)])
        await watched.until(lambda: watched.values == {"r": b"newer"})

    @async_test
    async def test_calls_fail_while_the_service_is_down_and_a_watch_resumes(self: Any) -> None:
        watched = self.watched(self.b, "r")
        await watched.until(lambda: bool(watched.views))
        self.service.gone()
        await self.assert_commit_fails(UnreachableError, Put("r", b"1", None))
        await watched.until(lambda: bool(watched.errors))
        self.assertIsInstance(watched.errors[0], UnreachableError)
        await self.assert_fails(UnreachableError, self.a.read("r"))
        await self.assert_fails(UnreachableError, self.a.lease(TTL_MS, lambda error: None))
        self.service.gone(False)
        await watched.more()
        self.assertEqual(watched.values, {})

    @async_test
    async def test_a_busy_service_raises_busy_errors(self: Any) -> None:
        self.service.busy()
        await self.assert_commit_fails(BusyError, Put("r", b"1", None))
        await self.assert_fails(BusyError, self.a.read("r"))
        self.service.busy(False)
        self.assertIsNone(await self.value("r"))

    @async_test
    async def test_a_lost_response_makes_a_write_uncertain(self: Any) -> None:
        self.service.lose_answer()
        await self.assert_commit_fails(UncertainError, Put("r", b"1", ABSENT))
        self.assertEqual(await self.value("r"), b"1")
        self.service.lose_answer()
        await self.assert_commit_fails(
            UncertainError, Put("r", b"2", ABSENT)
        )  # also when a condition did not hold
        self.assertEqual(await self.value("r"), b"1")


class RecordsInMemory(Records, TestCase):
    form = InMemoryService


class RecordsByConsul(Records, TestCase):
    form = ConsulStandIn

    @classmethod
    def tearDownClass(cls) -> None:
        ConsulStandIn.end()

    @async_test
    async def test_without_a_leader_a_write_has_no_effect(self: Any) -> None:
        self.service.no_leader()
        await self.assert_commit_fails(UnreachableError, Put("r", b"1", None))
        self.service.no_leader(False)
        self.assertIsNone(await self.value("r"))

    @async_test
    async def test_a_time_out_makes_a_write_uncertain_and_a_read_unreachable(self: Any) -> None:
        self.service.hang()
        await self.assert_commit_fails(UncertainError, Put("r", b"1", None))
        await self.assert_fails(UnreachableError, self.a.read("r"))
        self.service.hang(False)
        self.assertIsNone(await self.value("r"))
        self.service.cut(0)
        await self.assert_commit_fails(UnreachableError, Put("r", b"1", None))  # no connection, so never sent

    @async_test
    async def test_a_slow_service_succeeds_within_the_time_out_only(self: Any) -> None:
        self.service.slow(100.0)
        await self.a.commit([Put("r", b"1", None)])
        self.service.slow(1500.0)
        await self.assert_commit_fails(UncertainError, Put("r", b"2", None))
        await self.assert_fails(UnreachableError, self.a.read("r"))
