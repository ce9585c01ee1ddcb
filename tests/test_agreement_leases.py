"""The contract of agreement, leases: in memory, and Consul's API at its stand-in."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from lupinlink.coordination.contract import (
    CheckHolder,
    Lock,
    Put,
    Unlock,
)  # fmt: skip
from lupinlink.coordination.errors import (
    ConflictError,
    LeaseLostError,
)  # fmt: skip
from lupinlink.errors import LupinError
from tests.agreements import InMemory, StandIn
from tests.contract_suite import TTL_MS, Contract, plays


class Leases(Contract):
    """The suite; a subclass names the form."""

    @plays
    async def test_a_record_is_held_by_one_lease(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        self.assertTrue(first.holds() and first.until_ms() > self.service.clock.now())
        done = (await self.a.commit([Lock("r", b"1", first.name), CheckHolder("r", first.name)]))["r"]
        self.assertEqual((done.lease, done.lock_count), (first.name, 1))
        await self.fails(ConflictError, Lock("r", b"2", second.name), by=self.b)
        await self.fails(ConflictError, CheckHolder("r", second.name), Put("s", b"", None), by=self.b)
        await self.fails(ConflictError, Unlock("r", b"2", second.name), by=self.b)
        again = (await self.a.commit([Lock("r", b"3", first.name)]))["r"]
        self.assertEqual((again.lease, again.lock_count), (first.name, 1))
        free = (await self.a.commit([Unlock("r", b"4", first.name)]))["r"]
        self.assertEqual((free.value, free.lease), (b"4", ""))
        await self.fails(ConflictError, CheckHolder("r", first.name), Put("s", b"", None))
        taken = (await self.b.commit([Lock("r", b"5", second.name)]))["r"]  # at once: it was let go
        self.assertEqual((taken.lease, taken.lock_count), (second.name, 2))

    @plays
    async def test_what_an_ended_lease_held_is_free_after_the_lock_delay(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        await self.a.commit([Lock("r", b"1", first.name)])
        told = self.told(self.b, "r")
        await told.until(lambda: "r" in told.values)
        name = first.name
        self.service.expire(name)
        await told.until(lambda: told.views[-1].records["r"].lease == "")
        for lease in (name, ""):  # the second as a lost lease calls itself
            await self.fails(ConflictError, CheckHolder("r", lease), Put("s", b"", None))
        await self.fails(ConflictError, Lock("r", b"2", second.name), by=self.b)
        while True:
            try:
                done = await self.b.commit([Lock("r", b"2", second.name)])
                break
            except ConflictError:
                await told.more()
        self.assertEqual(done["r"].lock_count, 2)

    @plays
    async def test_a_holder_cut_off_stops_believing_before_its_lease_ends(self: Any) -> None:
        lost: Deferred[LupinError] = Deferred()
        lease = await self.lease(self.a, lost.callback)  # a second call would be an error
        name = lease.name
        await self.a.commit([Lock("r", b"1", name)])
        told = self.told(self.b, "r")
        self.service.cut(0)
        self.assertIsInstance(await lost, LeaseLostError)
        self.assertFalse(lease.holds() or lease.name)
        self.assertEqual((await self.b.read("r")).records["r"].lease, name)
        await told.until(lambda: told.views[-1].records["r"].lease == "")

    @plays
    async def test_a_lease_lives_while_it_is_renewed_and_ends_when_it_is_given_up(self: Any) -> None:
        lease = await self.lease(self.a)
        await self.a.commit([Lock("r", b"1", lease.name)])
        told, until = self.told(self.b, "r"), lease.until_ms()
        await told.until(lambda: bool(told.views) and told.views[-1].asked_ms > until + TTL_MS)
        self.assertTrue(lease.holds() and told.views[-1].records["r"].lease == lease.name)
        await lease.end()
        self.assertFalse(lease.holds())
        await told.until(lambda: told.views[-1].records["r"].lease == "")
        await self.fails(ConflictError, Lock("q", b"1", "nobody"))


class LeasesInMemory(Leases, TestCase):
    form = InMemory


class LeasesByConsul(Leases, TestCase):
    form = StandIn

    @classmethod
    def tearDownClass(cls) -> None:
        StandIn.end()
