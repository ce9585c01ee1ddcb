"""What the stand-in agreement service knows at one time: records, sessions, transactions. Pure.

From the public pages of Consul: a session's TTL is a lower bound, its end may come up to twice as late (drawn
here); when one ends, by its TTL or by a call, what it held is let go (or deleted) and cannot be locked by
anybody for its lock-delay; a new leader, a restart or a restore gives every session its whole time again.
Times are milliseconds of a clock that never steps back.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from lupinlink.lab.fleet.consul_records import MOST_VALUE, Records, RefusedError, Row

MOST_STEPS = 64
MOST_TTL_MS, MOST_DELAY_MS = 86_400_000.0, 60_000.0
LATEST = 2.0  # times its TTL: so late may a session's end come


class InvalidError(Exception):
    """Asked wrongly: the service answers 400."""


@dataclass(frozen=True, slots=True)
class Session:
    """One session; ``ttl_ms`` 0: it ends only by a call."""

    name: str
    title: str
    ttl_ms: float
    delay_ms: float
    deletes: bool
    index: int


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a transaction."""

    verb: str
    key: str
    value: bytes = b""
    flags: int = 0
    index: int = 0
    session: str = ""


@dataclass(frozen=True, slots=True)
class Saved:
    """A whole older state."""

    index: int
    rows: dict[str, Row]
    graves: dict[str, int]
    sessions: dict[str, Session]


WRITES = {"set", "cas", "lock", "unlock", "delete", "delete-cas", "delete-tree"}
SHOWS = {"get", "get-tree"}  # the others' results come without the value


class State:
    """The service's state; whoever holds it calls ``due`` when ``next_end`` has come."""

    def __init__(self, seed: int = 0, ttl_floor_ms: float = 10_000.0) -> None:
        self.index = 1
        self.history = 0  # how often an older state was put back
        self.records = Records()
        self.sessions: dict[str, Session] = {}
        self._ttl_floor_ms = ttl_floor_ms
        self._random = random.Random(seed)
        self._ends: dict[str, float] = {}  # session: when it ends unless it is renewed
        self._delays: dict[str, float] = {}  # key: until when nobody may lock it

    # Sessions

    def create(self, now: float, title: str, ttl_ms: float, delay_ms: float, deletes: bool) -> str:
        """A new session's name. Raises InvalidError."""
        if ttl_ms and not self._ttl_floor_ms <= ttl_ms <= MOST_TTL_MS:
            raise InvalidError(
                f"Invalid Session TTL '{ttl_ms * 1e6:.0f}', must be between "
                f"[{self._ttl_floor_ms / 1000.0:g}s={MOST_TTL_MS / 1000.0:g}s]"
            )
        self.index += 1
        digits = f"{self._random.getrandbits(128):032x}"
        name = "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))
        self.sessions[name] = Session(name, title, ttl_ms, min(delay_ms, MOST_DELAY_MS), deletes, self.index)
        self.renew(now, name)
        return name

    def renew(self, now: float, name: str) -> Session | None:
        """Its whole time again, or None: there is no such session."""
        session = self.sessions.get(name)
        if session is not None and session.ttl_ms:
            self._ends[name] = now + session.ttl_ms * self._random.uniform(1.0, LATEST)
        return session

    def end(self, now: float, name: str) -> None:
        """Let go of all that it holds, and remember the lock-delay."""
        session = self.sessions.pop(name, None)
        self._ends.pop(name, None)
        if session is None:
            return
        self.index += 1
        for row in [row for row in self.records.rows.values() if row.session == name]:
            left = None if session.deletes else replace(row, session="", modified=self.index)
            self.records.put(left, row.key, self.index)
            if session.delay_ms:
                self._delays[row.key] = now + session.delay_ms

    def next_end(self) -> float | None:
        """When the next session ends, or None."""
        return min(self._ends.values(), default=None)

    def due(self, now: float) -> None:
        """End the sessions whose time is over."""
        for name in [name for name, at in self._ends.items() if at <= now]:
            self.end(now, name)

    # Records

    def one(self, now: float, step: Step) -> Row | None:
        """One step by itself. Raises RefusedError (it does not fit), LookupError (no such session)."""
        if step.verb == "lock" and step.session not in self.sessions:
            raise LookupError(f'invalid session "{step.session}"')
        rows = self._step(now, step, self.index + 1)
        self._count(step.verb)
        return rows[0] if rows else None

    def transact(self, now: float, steps: Sequence[Step]) -> tuple[list[Row], list[tuple[int, str]]]:
        """All steps or none: the rows to show, or which steps did not fit and why."""
        results: list[Row] = []
        errors: list[tuple[int, str]] = []
        self.records.undo = []
        for at, step in enumerate(steps):
            try:
                rows = self._step(now, step, self.index + 1)
            except RefusedError as exc:
                errors.append((at, str(exc)))
                continue
            shows = step.verb in SHOWS
            results += rows if shows else [replace(row, value=b"") for row in rows]
        if errors:
            self.records.roll_back()
            return [], errors
        self.records.undo = None
        self._count(*(step.verb for step in steps))
        return results, []

    def _count(self, *verbs: str) -> None:
        self.index += not WRITES.isdisjoint(verbs)

    def _step(self, now: float, step: Step, index: int) -> list[Row]:
        records, key = self.records, step.key
        if len(step.value) > MOST_VALUE:
            raise RefusedError(f'Value for key "{key}" is too large')
        match step.verb:
            case "set":
                return [records.set(key, step.value, step.flags, index)]
            case "cas":
                return [records.cas(key, step.value, step.flags, step.index, index)]
            case "lock":
                if step.session not in self.sessions:
                    raise RefusedError(f'invalid session "{step.session}"')
                if self._delays.get(key, now) > now:
                    raise RefusedError(f'failed to lock key "{key}" due to lock delay')
                return [records.lock(key, step.value, step.flags, step.session, index)]
            case "unlock":
                return [records.unlock(key, step.value, step.flags, step.session, index)]
            case "delete":
                records.put(None, key, index)
            case "delete-cas":
                records.delete_cas(key, step.index, index)
            case "delete-tree":
                for row in records.below(key):
                    records.put(None, row.key, index)
            case "get":
                return [records.get(key)]
            case "get-tree":
                return records.below(key)
            case "check-index":
                return [records.check(key, step.index)]
            case "check-session":
                return [records.held(key, step.session)]
            case "check-not-exists":
                records.absent(key)
            case _:
                raise RefusedError(f'unknown KV verb "{step.verb}"')
        return []

    # Older states

    def save(self) -> Saved:
        """All of it, to be put back later."""
        records = self.records
        return Saved(self.index, dict(records.rows), dict(records.graves), dict(self.sessions))

    def restore(self, now: float, saved: Saved) -> None:
        """Put an older state back: the index goes back with it."""
        records, self.records = self.records, Records()
        for row in saved.rows.values():
            self.records.put(row, row.key, 0)
        self.records.graves = dict(saved.graves)
        self.records.changed |= records.rows.keys()
        self.index, self.sessions = saved.index, dict(saved.sessions)
        self.history += 1
        self._delays.clear()
        self.anew(now)

    def anew(self, now: float) -> None:
        """A new leader: every session has its whole time again."""
        self._ends.clear()
        for name in self.sessions:
            self.renew(now, name)

    def view(self) -> Records:
        """Records as they stand now, for reads that may be answered from an older state."""
        copy = Records()
        for row in self.records.rows.values():
            copy.put(row, row.key, 0)
        copy.graves = dict(self.records.graves)
        return copy
