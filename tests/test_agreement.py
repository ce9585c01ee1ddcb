"""The contract of agreement, one suite against both forms: in memory, and Consul's API at its stand-in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from functools import wraps
from typing import Any, TypeVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from lupinlink.coordination.contract import (
    ABSENT,
    MOST_STEPS,
    MOST_VALUE,
    Agreement,
    Delete,
    Drop,
    Guarded,
    Held,
    Lease,
    Put,
    Step,
    Take,
    View,
)  # fmt: skip
from lupinlink.coordination.errors import (
    BusyError,
    ConflictError,
    LeaseLostError,
    TooMuchError,
    UncertainError,
    UnreachableError,
)  # fmt: skip
from lupinlink.errors import LupinError
from tests.agreements import InMemory, StandIn

E = TypeVar("E", bound=LupinError)
TTL_MS = 300.0


def plays(test: Callable[[Any], Coroutine[Any, Any, None]]) -> Callable[[Any], Deferred[None]]:
    """A test that awaits."""

    @wraps(test)
    def played(self: Any) -> Deferred[None]:
        return Deferred.fromCoroutine(test(self))

    return played


class Told:
    """What a watch has told; ``until`` waits for a View."""

    def __init__(self, agreement: Agreement, prefix: str) -> None:
        self.views: list[View] = []
        self.errors: list[LupinError] = []
        self._waits: list[tuple[Callable[[], bool], Deferred[None]]] = []
        self.watch = agreement.watch(prefix, self._seen, self._silent)

    def _seen(self, view: View) -> None:
        self.views.append(view)
        self._look()

    def _silent(self, error: LupinError) -> None:
        self.errors.append(error)
        self._look()

    def _look(self) -> None:
        for wait in [wait for wait in self._waits if wait[0]()]:
            self._waits.remove(wait)
            wait[1].callback(None)

    def until(self, holds: Callable[[], bool]) -> Deferred[None]:
        fired: Deferred[None] = Deferred()
        self._waits.append((holds, fired))
        self._look()
        return fired.addTimeout(8.0, reactor)

    def more(self) -> Deferred[None]:
        seen = len(self.views)
        return self.until(lambda: len(self.views) > seen)

    @property
    def values(self) -> dict[str, bytes]:
        return {key: record.value for key, record in self.views[-1].records.items()} if self.views else {}


class Contract:
    """The suite; a subclass names the form."""

    form: Callable[[], Any]

    def setUp(self: Any) -> None:
        self.service = self.form()
        self.a, self.b = self.service.client(), self.service.client()
        self.leases: list[Lease] = []
        self.addCleanup(self._clean)

    def _clean(self: Any) -> None:
        self.service.close()
        net: Any = reactor
        for call in net.getDelayedCalls():
            call.cancel()
        net.removeAll()  # connections that never came up

    async def fails(self: Any, kind: type[E], *steps: Step, by: Agreement | None = None) -> E:
        try:
            await (by or self.a).commit(steps)
        except kind as error:
            return error
        raise AssertionError(f"{steps} was done")

    async def value(self: Any, key: str) -> bytes | None:
        record = (await self.b.read(key)).records.get(key)
        return record.value if record is not None else None

    def told(self: Any, agreement: Agreement, prefix: str) -> Told:
        told = Told(agreement, prefix)
        self.addCleanup(told.watch.stop)
        return told

    async def lease(self: Any, agreement: Agreement, lost: Callable[[LupinError], object] = id) -> Lease:
        lease: Lease = await agreement.lease(TTL_MS, lost)
        self.addCleanup(lambda: lease.end())
        return lease

    @plays
    async def test_a_commit_is_whole_or_nothing(self: Any) -> None:
        await self.fails(ConflictError, Put("r/a", b"1", ABSENT), Put("r/b", b"1", 7))
        self.assertIsNone(await self.value("r/a"))
        done = await self.a.commit([Put("r/a", b"1", ABSENT), Put("r/b", b"2", None), Guarded("r/c", ABSENT)])
        self.assertEqual({k: r.value for k, r in done.items()}, {"r/a": b"1", "r/b": b"2"})
        self.assertEqual(done, (await self.b.read("r/")).records)

    @plays
    async def test_of_two_at_one_revision_one_is_first(self: Any) -> None:
        before = (await self.a.commit([Put("r", b"0", ABSENT)]))["r"]
        after = (await self.a.commit([Put("r", b"a", before.revision)]))["r"]
        self.assertGreater(after.revision, before.revision)
        await self.fails(ConflictError, Put("r", b"b", before.revision), by=self.b)
        await self.fails(ConflictError, Put("r", b"b", ABSENT), by=self.b)
        await self.fails(ConflictError, Guarded("r", before.revision), Put("s", b"", None), by=self.b)
        await self.fails(ConflictError, Guarded("r", ABSENT), Put("s", b"", None), by=self.b)
        same = (await self.b.commit([Guarded("r", after.revision), Put("r", b"a", None)]))["r"]
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
        await self.a.commit([Put(f"r/{i}", b"", None) for i in range(MOST_STEPS)])
        await self.fails(TooMuchError, *(Put(f"r/{i}", b"", None) for i in range(MOST_STEPS + 1)))
        await self.fails(TooMuchError, *(Delete(f"r/{i}", 1) for i in range(MOST_STEPS // 2 + 1)))
        await self.fails(TooMuchError, Put("r", b"x" * (MOST_VALUE + 1), None))
        await self.fails(TooMuchError, Put("", b"", None))
        await self.fails(TooMuchError)

    @plays
    async def test_a_record_is_held_by_one_lease(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        self.assertTrue(first.holds() and first.until_ms() > self.service.clock.now())
        done = (await self.a.commit([Take("r", b"1", first.name), Held("r", first.name)]))["r"]
        self.assertEqual((done.lease, done.taken), (first.name, 1))
        await self.fails(ConflictError, Take("r", b"2", second.name), by=self.b)
        await self.fails(ConflictError, Held("r", second.name), Put("s", b"", None), by=self.b)
        await self.fails(ConflictError, Drop("r", b"2", second.name), by=self.b)
        again = (await self.a.commit([Take("r", b"3", first.name)]))["r"]
        self.assertEqual((again.lease, again.taken), (first.name, 1))
        free = (await self.a.commit([Drop("r", b"4", first.name)]))["r"]
        self.assertEqual((free.value, free.lease), (b"4", ""))
        await self.fails(ConflictError, Held("r", first.name), Put("s", b"", None))
        taken = (await self.b.commit([Take("r", b"5", second.name)]))["r"]  # at once: it was let go
        self.assertEqual((taken.lease, taken.taken), (second.name, 2))

    @plays
    async def test_what_an_ended_lease_held_is_free_after_the_lock_delay(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        await self.a.commit([Take("r", b"1", first.name)])
        told = self.told(self.b, "r")
        await told.until(lambda: "r" in told.values)
        name = first.name
        self.service.expire(name)
        await told.until(lambda: told.views[-1].records["r"].lease == "")
        for lease in (name, ""):  # the second as a lost lease calls itself
            await self.fails(ConflictError, Held("r", lease), Put("s", b"", None))
        await self.fails(ConflictError, Take("r", b"2", second.name), by=self.b)
        while True:
            try:
                done = await self.b.commit([Take("r", b"2", second.name)])
                break
            except ConflictError:
                await told.more()
        self.assertEqual(done["r"].taken, 2)

    @plays
    async def test_a_holder_cut_off_stops_believing_before_its_lease_ends(self: Any) -> None:
        lost: Deferred[LupinError] = Deferred()
        lease = await self.lease(self.a, lost.callback)  # a second call would be an error
        name = lease.name
        await self.a.commit([Take("r", b"1", name)])
        told = self.told(self.b, "r")
        self.service.cut(0)
        self.assertIsInstance(await lost, LeaseLostError)
        self.assertFalse(lease.holds() or lease.name)
        self.assertEqual((await self.b.read("r")).records["r"].lease, name)
        await told.until(lambda: told.views[-1].records["r"].lease == "")

    @plays
    async def test_a_lease_lives_while_it_is_renewed_and_ends_when_it_is_given_up(self: Any) -> None:
        lease = await self.lease(self.a)
        await self.a.commit([Take("r", b"1", lease.name)])
        told, until = self.told(self.b, "r"), lease.until_ms()
        await told.until(lambda: bool(told.views) and told.views[-1].asked_ms > until + TTL_MS)
        self.assertTrue(lease.holds() and told.views[-1].records["r"].lease == lease.name)
        await lease.end()
        self.assertFalse(lease.holds())
        await told.until(lambda: told.views[-1].records["r"].lease == "")
        await self.fails(ConflictError, Take("r", b"1", "nobody"))

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

    async def failing(self: Any, kind: type[LupinError], call: Awaitable[object]) -> None:
        try:
            await call
        except kind:
            return
        raise AssertionError("it was answered")

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


class MemoryTest(Contract, TestCase):
    form = InMemory


class ConsulTest(Contract, TestCase):
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
