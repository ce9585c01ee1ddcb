"""Leases and locks of the agreement service, in memory and over the emulated Consul API."""

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
from tests.agreements import ConsulStandIn, InMemoryService
from tests.contract_suite import TTL_MS, AgreementContract, async_test


class Leases(AgreementContract):
    """The tests; a subclass sets the implementation."""

    @async_test
    async def test_a_record_is_locked_by_one_lease(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        self.assertTrue(first.holds() and first.until_ms() > self.service.clock.now())
        done = (await self.a.commit([Lock("r", b"1", first.name), CheckHolder("r", first.name)]))["r"]
        self.assertEqual((done.lease, done.lock_count), (first.name, 1))
        await self.assert_commit_fails(ConflictError, Lock("r", b"2", second.name), by=self.b)
        await self.assert_commit_fails(
            ConflictError, CheckHolder("r", second.name), Put("s", b"", None), by=self.b
        )
        await self.assert_commit_fails(ConflictError, Unlock("r", b"2", second.name), by=self.b)
        again = (await self.a.commit([Lock("r", b"3", first.name)]))["r"]
        self.assertEqual((again.lease, again.lock_count), (first.name, 1))
        free = (await self.a.commit([Unlock("r", b"4", first.name)]))["r"]
        self.assertEqual((free.value, free.lease), (b"4", ""))
        await self.assert_commit_fails(ConflictError, CheckHolder("r", first.name), Put("s", b"", None))
        taken = (await self.b.commit([Lock("r", b"5", second.name)]))[
            "r"
        ]  # without lock-delay, since it was unlocked in order
        self.assertEqual((taken.lease, taken.lock_count), (second.name, 2))

    @async_test
    async def test_records_of_an_ended_lease_can_be_locked_after_the_lock_delay(self: Any) -> None:
        first, second = await self.lease(self.a), await self.lease(self.b)
        await self.a.commit([Lock("r", b"1", first.name)])
        watched = self.watched(self.b, "r")
        await watched.until(lambda: "r" in watched.values)
        name = first.name
        self.service.expire(name)
        await watched.until(lambda: watched.views[-1].records["r"].lease == "")
        for lease in (name, ""):  # a lost lease has an empty name
            await self.assert_commit_fails(ConflictError, CheckHolder("r", lease), Put("s", b"", None))
        await self.assert_commit_fails(ConflictError, Lock("r", b"2", second.name), by=self.b)
        while True:
            try:
                done = await self.b.commit([Lock("r", b"2", second.name)])
                break
            except ConflictError:
                await watched.more()
        self.assertEqual(done["r"].lock_count, 2)

    @async_test
    async def test_a_holder_that_is_cut_off_loses_its_lease_before_the_service_ends_it(self: Any) -> None:
        lost: Deferred[LupinError] = Deferred()
        lease = await self.lease(self.a, lost.callback)  # a second call would be an error
        name = lease.name
        await self.a.commit([Lock("r", b"1", name)])
        watched = self.watched(self.b, "r")
        self.service.cut(0)
        self.assertIsInstance(await lost, LeaseLostError)
        self.assertFalse(lease.holds() or lease.name)
        self.assertEqual((await self.b.read("r")).records["r"].lease, name)
        await watched.until(lambda: watched.views[-1].records["r"].lease == "")

    @async_test
    async def test_a_lease_is_kept_by_renewals_until_it_is_ended(self: Any) -> None:
        lease = await self.lease(self.a)
        await self.a.commit([Lock("r", b"1", lease.name)])
        watched, until = self.watched(self.b, "r"), lease.until_ms()
        await watched.until(lambda: bool(watched.views) and watched.views[-1].asked_ms > until + TTL_MS)
        self.assertTrue(lease.holds() and watched.views[-1].records["r"].lease == lease.name)
        await lease.end()
        self.assertFalse(lease.holds())
        await watched.until(lambda: watched.views[-1].records["r"].lease == "")
        await self.assert_commit_fails(ConflictError, Lock("q", b"1", "nobody"))


class LeasesInMemory(Leases, TestCase):
    form = InMemoryService


class LeasesByConsul(Leases, TestCase):
    form = ConsulStandIn

    @classmethod
    def tearDownClass(cls) -> None:
        ConsulStandIn.end()
