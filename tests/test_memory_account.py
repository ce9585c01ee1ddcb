"""The account of all memory that peers make a process hold, over drawn sequences."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lupinlink.limits.memory_account import (
    FULL_SHARE,
    HYSTERESIS_SHARE,
    LEVEL_SHARES,
    MAX_OVERHEAD,
    MIN_JUDGED_SHARE,
    MIN_OVERHEAD,
    OWN_WORK_BYTES,
    RESERVE_SHARE,
    Holding,
    MemoryAccount,
    MemoryKind,
    MemoryLevel,
    limit_for,
)

LIMIT = 1_000_000
KINDS = list(MemoryKind)
steps = st.lists(
    st.tuples(st.integers(0, 15), st.integers(0, 300_000), st.sampled_from([None, 0, 500_000, 3_000_000])),
    max_size=60,
)


class Account(unittest.TestCase):
    # Guards against: memory that is counted and never given back, or given back twice.
    @settings(max_examples=1000, deadline=None)
    @given(steps)
    def test_what_is_taken_is_given_back_and_the_sum_is_never_negative(
        self, drawn: list[tuple[int, int, int | None]]
    ) -> None:
        account = MemoryAccount(LIMIT)
        holdings = [Holding(account, KINDS[i % len(KINDS)]) for i in range(16)]
        for index, count, measured in drawn:
            holdings[index].set(count)
            if measured is not None:
                account.measured(measured)
            self.assertEqual(account.held_bytes, sum(one.bytes for one in holdings))
            self.assertEqual(account.held_bytes, sum(account.held(kind) for kind in KINDS))
            self.assertTrue(MIN_OVERHEAD <= account.overhead <= MAX_OVERHEAD)
        for one in holdings:
            one.set(0)
        self.assertEqual((account.held_bytes, account.level), (0, MemoryLevel.NORMAL))

    # Guards against: a level that does not follow from what is held, or a change that nobody is told of.
    @settings(max_examples=1000, deadline=None)
    @given(steps)
    def test_the_level_follows_from_what_is_held_and_each_change_is_told(
        self, drawn: list[tuple[int, int, int | None]]
    ) -> None:
        account, told = MemoryAccount(LIMIT), [MemoryLevel.NORMAL]

        def listen(before: MemoryLevel, now: MemoryLevel) -> None:
            self.assertEqual(before, told[-1])
            told.append(now)

        account.listen(listen)
        holdings, taken = [Holding(account, KINDS[i % len(KINDS)]) for i in range(16)], 0
        for index, count, measured in drawn:
            holdings[index].set(count)
            if measured is not None:
                account.measured(measured)
                taken = measured
            share = account.held_bytes * account.overhead / LIMIT
            must = max((one for one, at in LEVEL_SHARES.items() if share >= at), default=MemoryLevel.NORMAL)
            may = max(
                (one for one, at in LEVEL_SHARES.items() if share >= at - HYSTERESIS_SHARE - 1e-9),
                default=MemoryLevel.NORMAL,
            )
            if taken >= FULL_SHARE * LIMIT / (1.0 - RESERVE_SHARE):
                may = max(may, MemoryLevel.REFUSE)
                if account.held_bytes >= MIN_JUDGED_SHARE * LIMIT:
                    must = max(must, MemoryLevel.REFUSE)
            self.assertTrue(must <= account.level <= may, (must, account.level, may, share))
            self.assertEqual(account.level, told[-1])

    def test_memory_beyond_what_is_counted_raises_the_level_and_goes_with_what_is_held(self) -> None:
        account = MemoryAccount(LIMIT)
        holding = Holding(account, MemoryKind.BODIES)
        holding.set(270_000)
        self.assertEqual(account.level, MemoryLevel.NORMAL)
        account.measured(720_000 + OWN_WORK_BYTES)
        self.assertEqual(account.level, MemoryLevel.REFUSE)
        account.measured(0)
        self.assertEqual(account.level, MemoryLevel.NORMAL)
        account.measured(720_000 + OWN_WORK_BYTES)
        holding.set(0)  # the allocator may keep all of it
        account.measured(720_000 + OWN_WORK_BYTES)
        self.assertEqual((account.level, account.used_bytes), (MemoryLevel.NORMAL, 0))

    # Guards against: what is kept for good counts as if it were held, and refuses requests for ever.
    def test_what_is_kept_lessens_the_room_and_is_no_pressure_of_its_own(self) -> None:
        account = MemoryAccount(LIMIT)
        account.kept_bytes = 9 * LIMIT // 10
        self.assertEqual(account.level, MemoryLevel.NORMAL)
        holding = Holding(account, MemoryKind.BODIES)
        holding.set(int(LIMIT / 10 / MIN_OVERHEAD))
        self.assertEqual(account.level, MemoryLevel.CLOSE)
        account.kept_bytes = 0
        self.assertEqual(account.level, MemoryLevel.NORMAL)

    def test_a_lower_limit_raises_the_level_at_once(self) -> None:
        account = MemoryAccount(LIMIT)
        Holding(account, MemoryKind.BODIES).set(400_000)
        account.limit_bytes = 400_000
        self.assertEqual(account.level, MemoryLevel.CLOSE)
        account.limit_bytes = None
        self.assertEqual(account.level, MemoryLevel.NORMAL)

    def test_the_limit_leaves_a_reserve_and_is_never_negative(self) -> None:
        self.assertLess(limit_for(10.0), 10 * 1024 * 1024)
        self.assertEqual(limit_for(-1.0), 0)
