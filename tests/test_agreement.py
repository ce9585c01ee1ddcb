"""The contract of agreement, records and watches: in memory, and Consul's API at its stand-in."""

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
from tests.agreements import InMemory, StandIn
from tests.contract_suite import TTL_MS, Contract, plays


class Records(Contract):
    """The suite; a subclass names the form."""

    @plays
    async def test_a_commit_is_whole_or_nothing(self: Any) -> None:
        await self.fails(ConflictError, Put("r/a", b"1", ABSENT), Put("r/b", b"1", 7))
        self.assertIsNone(await self.value("r/a"))
        done = await self.a.commit(
            [Put("r/a", b"1", ABSENT), Put("r/b", b"2", None), CheckRevision("r/c", ABSENT)]
        )
        self.assertEqual({k: r.value for k, r in done.items()}, {"r/a": b"1", "r/b": b"2"})
        self.assertEqual(done, (await self.b.read("r/")).records)

    @plays
    async def test_of_two_at_one_revision_one_is_first(self: Any) -> None:
        before = (await self.a.commit([Put("r", b"0", ABSENT)]))["r"]
        after = (await self.a.commit([Put("r", b"a", before.revision)]))["r"]
        self.assertGreater(after.revision, before.revision)
        await self.fails(ConflictError, Put("r", b"b", before.revision), by=self.b)
        await self.fails(ConflictError, Put("r", b"b", ABSENT), by=self.b)
        await self.fails(ConflictError, CheckRevision("r", before.revision), Put("s", b"", None), by=self.b)
        await self.fails(ConflictError, CheckRevision("r", ABSENT), Put("s", b"", None), by=self.b)
        same = (await self.b.commit([CheckRevision("r", after.revision), Put("r", b"a", None)]))["r"]
        self.assertEqual(same, after)  # it changed nothing

    @plays
    async def test_a_record_is_removed_once(self: Any) -> None:
        at = (await self.a.commit([Put("r", b"0", ABSENT)]))["r"].revision
        await self.fails(ConflictError, Delete("r", at + 1))
        await self.a.commit([Delete("r", at)])
        await self.fails(ConflictError, Delete("r", at), by=self.b)
        await self.b.commit([Delete("r", ABSENT), Delete("r", None)])
        self.assertIsNone(await self.value("r"))

    @plays
    async def test_what_is_too_much_is_refused(self: Any) -> None:
        await self.a.commit([Put(f"r/{i}", b"", None) for i in range(MAX_STEPS)])
        await self.fails(InvalidRequestError, *(Put(f"r/{i}", b"", None) for i in range(MAX_STEPS + 1)))
        await self.fails(InvalidRequestError, *(Delete(f"r/{i}", 1) for i in range(MAX_STEPS // 2 + 1)))
        await self.fails(InvalidRequestError, Put("r", b"x" * (MAX_VALUE_BYTES + 1), None))
        await self.fails(InvalidRequestError, Put("", b"", None))
        await self.fails(InvalidRequestError)

    @plays
    async def test_a_watch_tells_the_present_each_change_and_that_nothing_changed(self: Any) -> None:
        await self.a.commit([Put("r/1", b"1", None), Put("q/1", b"1", None)])
        told = self.told(self.b, "r/")
        await told.until(lambda: told.values == {"r/1": b"1"})
        await self.a.commit([Put("r/2", b"2", None), Put("q/1", b"2", None)])
        await told.until(lambda: told.values == {"r/1": b"1", "r/2": b"2"})
        await self.a.commit([Delete("r/1", None)])
        await told.until(lambda: told.values == {"r/2": b"2"})
        await told.more()
        self.assertEqual(told.views[-1].records, told.views[-2].records)
        self.assertEqual([v.index for v in told.views], sorted(v.index for v in told.views))
        asked = [view.asked_ms for view in told.views]
        self.assertEqual(asked, sorted(set(asked)))

    @plays
    async def test_a_restore_is_told_by_a_lower_index(self: Any) -> None:
        await self.a.commit([Put("r", b"old", None)])
        self.service.save()
        await self.a.commit([Put("r", b"new", None), Put("s", b"", None)])
        told = self.told(self.b, "r")
        await told.until(lambda: told.values == {"r": b"new"})
        self.service.restore()
        await told.until(lambda: told.values == {"r": b"old"})
        self.assertLess(told.views[-1].index, told.views[-2].index)
        await self.a.commit([Put("r", b"newer", None)])
        await told.until(lambda: told.values == {"r": b"newer"})

    @plays
    async def test_without_the_service_nothing_happens_and_a_watch_comes_back(self: Any) -> None:
        told = self.told(self.b, "r")
        await told.until(lambda: bool(told.views))
        self.service.gone()
        await self.fails(UnreachableError, Put("r", b"1", None))
        await told.until(lambda: bool(told.errors))
        self.assertIsInstance(told.errors[0], UnreachableError)
        await self.failing(UnreachableError, self.a.read("r"))
        await self.failing(UnreachableError, self.a.lease(TTL_MS, lambda error: None))
        self.service.gone(False)
        await told.more()
        self.assertEqual(told.values, {})

    @plays
    async def test_being_turned_away_is_told(self: Any) -> None:
        self.service.busy()
        await self.fails(BusyError, Put("r", b"1", None))
        await self.failing(BusyError, self.a.read("r"))
        self.service.busy(False)
        self.assertIsNone(await self.value("r"))

    @plays
    async def test_a_lost_answer_leaves_it_open_whether_it_was_done(self: Any) -> None:
        self.service.lose_answer()
        await self.fails(UncertainError, Put("r", b"1", ABSENT))
        self.assertEqual(await self.value("r"), b"1")
        self.service.lose_answer()
        await self.fails(UncertainError, Put("r", b"2", ABSENT))  # also when it did not fit
        self.assertEqual(await self.value("r"), b"1")


class RecordsInMemory(Records, TestCase):
    form = InMemory


class RecordsByConsul(Records, TestCase):
    form = StandIn

    @classmethod
    def tearDownClass(cls) -> None:
        StandIn.end()

    @plays
    async def test_no_leader_is_told_and_did_nothing(self: Any) -> None:
        self.service.no_leader()
        await self.fails(UnreachableError, Put("r", b"1", None))
        self.service.no_leader(False)
        self.assertIsNone(await self.value("r"))

    @plays
    async def test_silence_ends_a_write_openly_and_a_read_surely(self: Any) -> None:
        await self.a.read("r")  # a connection stands
        self.service.cut(0)
        await self.fails(UncertainError, Put("r", b"1", None))
        await self.failing(UnreachableError, self.a.read("r"))
        self.assertIsNone(await self.value("r"))
        await self.fails(UnreachableError, Put("r", b"1", None))  # no connection comes up: never sent

    @plays
    async def test_a_slow_service_answers_in_time_or_not_at_all(self: Any) -> None:
        self.service.slow(100.0)
        await self.a.commit([Put("r", b"1", None)])
        self.service.slow(1500.0)
        await self.fails(UncertainError, Put("r", b"2", None))
        await self.failing(UnreachableError, self.a.read("r"))
