"""Backoff, rate limit, restore detection, the in-memory store and the encoding of Consul's messages."""

from __future__ import annotations

import json
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lupinlink.coordination import consul_messages as messages
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import (
    ABSENT,
    CheckHolder,
    CheckRevision,
    Delete,
    Lock,
    Put,
    Record,
    Step,
    Unlock,
    View,
)
from lupinlink.coordination.errors import (
    BusyError,
    ConflictError,
    DeniedError,
    InvalidRequestError,
    LeaseLostError,
    UncertainError,
    UnreachableError,
)  # fmt: skip
from lupinlink.coordination.kv_store import KvStore
from lupinlink.coordination.rate_limit import CallRateLimiter
from lupinlink.coordination.restore_detection import next_view

DELAY_MS, TTL_MS = 1000.0, 5000.0
KEYS = st.sampled_from(["a", "b"])


class KvStoreMachine(RuleBasedStateMachine):
    """Checks Consul's documented guarantees for leases and locks over random sequences of calls."""

    @initialize(late=st.floats(1.0, 2.0))
    def begin(self, late: float) -> None:
        self.store, self.now = KvStore(DELAY_MS, late), 0.0
        self.names: list[str] = []
        self.renewed: dict[str, float] = {}
        self.unlocked_at: dict[str, float] = {}
        self.index = 0

    @rule(ms=st.floats(0.0, 4000.0))
    def time(self, ms: float) -> None:
        held = {key: record.lease for key, record in self.store.records.items() if record.lease}
        self.now += ms
        self.store.expire(self.now)
        for key, lease in held.items():
            if self.store.records[key].lease != lease:
                assert self.now >= self.renewed[lease] + TTL_MS  # leases never end earlier
                self.unlocked_at[key] = self.now

    @rule()
    def open(self) -> None:
        name = self.store.open(TTL_MS, self.now)
        assert name not in self.names
        self.names.append(name)
        self.renewed[name] = self.now

    @rule(number=st.integers(0, 9))
    def renew(self, number: int) -> None:
        for name in self.names[number : number + 1]:
            try:
                self.store.renew(name, self.now)
                self.renewed[name] = self.now
            except LeaseLostError:
                assert name not in self.store.leases

    @rule(key=KEYS, number=st.integers(0, 9), value=st.binary(max_size=1))
    def lock(self, key: str, number: int, value: bytes) -> None:
        for name in self.names[number : number + 1]:
            before = self.store.records.get(key)
            try:
                after = self.store.commit([Lock(key, value, name)], self.now)[key]
            except ConflictError:
                continue
            assert before is None or before.lease in ("", name)
            assert after.lease == name in self.store.leases
            if before is None or before.lease != name:
                assert self.now >= self.unlocked_at.get(key, -DELAY_MS) + DELAY_MS
                assert after.lock_count == (before.lock_count if before else 0) + 1

    @rule(key=KEYS, number=st.integers(0, 9))
    def unlock(self, key: str, number: int) -> None:
        for name in self.names[number : number + 1]:
            try:
                assert self.store.commit([Unlock(key, b"", name)], self.now)[key].lease == ""
            except ConflictError:
                assert key not in self.store.records or self.store.records[key].lease != name

    @rule(key=KEYS, behind=st.integers(0, 2), value=st.binary(max_size=1))
    def put(self, key: str, behind: int, value: bytes) -> None:
        before = self.store.records.get(key)
        revision = (before.revision if before else ABSENT) - behind
        try:
            after = self.store.commit([Put(key, value, revision)], self.now)[key]
            assert behind == 0
            assert before is None or before.value == value or after.revision > before.revision
        except ConflictError:
            assert behind > 0

    @invariant()
    def the_index_never_decreases_and_only_leases_lock(self) -> None:
        if hasattr(self, "store"):
            assert self.store.index >= self.index
            self.index = self.store.index
            assert {r.lease for r in self.store.records.values()} <= {"", *self.store.leases}
            assert all(record.revision <= self.index for record in self.store.records.values())


KvStoreMachine.TestCase.settings = settings(
    max_examples=30, stateful_step_count=30, deadline=None, derandomize=True
)
KvStoreTest = KvStoreMachine.TestCase


class BackoffAndRateLimit(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.floats(1.0, 1e4), st.floats(1.0, 1e5), st.integers(0, 9))
    def test_a_wait_stays_within_its_bounds_and_resets(self, base: float, cap: float, seed: int) -> None:
        backoff = Backoff(base, cap, random.Random(seed).random)
        waits = [backoff.next_ms() for _ in range(20)]
        self.assertTrue(all(base <= wait <= max(base, cap) for wait in waits))
        backoff.reset()
        self.assertLessEqual(backoff.next_ms(), 3 * base)

    def test_two_hundred_callers_that_failed_together_retry_spread_out(self) -> None:
        waits = [Backoff(500.0, 10000.0, random.Random(i).random) for i in range(200)]
        at = sorted(sum(one.next_ms() for _ in range(6)) for one in waits)
        most = max(sum(start <= t < start + 1000.0 for t in at) for start in at)
        self.assertLess(most, 30)  # in any one second

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.lists(st.floats(0.0, 3000.0), min_size=1, max_size=60))
    def test_queries_stay_below_the_rate_limit(self, gaps: list[float]) -> None:
        limiter, now, asked = CallRateLimiter(1000.0, 3), 0.0, []
        for gap in gaps:
            now += gap
            asked.append(now + limiter.wait_ms(now))
        self.assertEqual(asked, sorted(asked))
        for i, at in enumerate(asked[3:]):
            self.assertGreaterEqual(
                at - asked[i], 1000.0 - 1e-6
            )  # at most three at once, then one per second

    def test_the_index_decreases_only_after_a_restore(self) -> None:
        def view(index: int, **revisions: int) -> View:
            return View("", {key: Record(key, b"", at) for key, at in revisions.items()}, index)

        swept = next_view(view(30, a=10), view(10, a=10))
        self.assertEqual(swept.index, 30)  # only a tombstone was removed
        for before, after in (
            (view(20, a=10, b=20), view(10, a=10)),  # a restore to a state before b
            (view(20, a=20), view(40, a=10, b=40)),  # a restore, after which the index rose further
        ):
            self.assertLess(next_view(before, after).index, before.index)
        gone = next_view(view(20, a=10, b=20), view(25, a=10))
        self.assertEqual(gone.index, 25)  # b was deleted


class ConsulMessages(unittest.TestCase):
    def test_steps_are_encoded_as_documented_operations(self) -> None:
        steps: list[Step] = [
            Put("a", b"v", None), Put("a", b"v", ABSENT), Put("a", b"v", 7), CheckRevision("a", ABSENT),
            CheckRevision("a", 7), CheckHolder("a", "s"), Lock("a", b"v", "s"), Unlock("a", b"v", "s"),
            Delete("a", None), Delete("a", ABSENT), Delete("a", 7),
        ]  # fmt: skip
        value = {"Key": "p/a", "Value": "dg=="}
        self.assertEqual(
            [one["KV"] for one in json.loads(messages.encode_transaction("p/", steps))],
            [
                {"Verb": "set", **value}, {"Verb": "cas", **value, "Index": 0},
                {"Verb": "cas", **value, "Index": 7}, {"Verb": "check-not-exists", "Key": "p/a"},
                {"Verb": "check-index", "Key": "p/a", "Index": 7},
                {"Verb": "check-session", "Key": "p/a", "Session": "s"},
                {"Verb": "lock", **value, "Session": "s"}, {"Verb": "unlock", **value, "Session": "s"},
                {"Verb": "delete", "Key": "p/a"}, {"Verb": "check-not-exists", "Key": "p/a"},
                {"Verb": "check-index", "Key": "p/a", "Index": 7}, {"Verb": "delete", "Key": "p/a"},
            ],
        )  # fmt: skip

    def test_a_session_has_no_health_checks(self) -> None:
        self.assertEqual(
            json.loads(messages.encode_session("n1", 10000.0, 500.0)),
            {"Name": "n1", "TTL": "10s", "LockDelay": "0.5s", "Behavior": "release", "NodeChecks": []},
        )
        self.assertEqual(
            [messages.decode_session_ttl_ms(b'[{"TTL":"%s"}]' % t) for t in (b"15s", b"300ms", b"1m", b"")],
            [15000.0, 300.0, 0.0, 0.0],
        )

    def test_statuses_map_to_errors_that_tell_whether_a_write_may_be_applied(self) -> None:
        for status, text, write, read in (
            (409, '{"Errors":[{"OpIndex":0,"What":"stale"}]}', ConflictError, ConflictError),
            (409, "not JSON", ConflictError, ConflictError),
            (429, "", BusyError, BusyError),
            (503, "", BusyError, BusyError),
            (403, "Permission denied", DeniedError, DeniedError),
            (413, "too large", InvalidRequestError, InvalidRequestError),
            (400, "", InvalidRequestError, InvalidRequestError),
            (500, "No cluster leader", UnreachableError, UnreachableError),
            (500, "rpc error: leadership lost while committing log", UncertainError, UnreachableError),
            (502, "", UncertainError, UnreachableError),
        ):
            with self.subTest(status=status, text=text):
                self.assertIs(type(messages.error_from_response(status, text.encode(), writes=True)), write)
                self.assertIs(type(messages.error_from_response(status, text.encode(), writes=False)), read)
