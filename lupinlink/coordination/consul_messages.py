"""Consul's published HTTP API as bytes: what is sent, and what an answer means. Pure.

KV store, transactions, sessions and blocking queries as the pages of its HTTP API give them. Statuses that
surely changed nothing are told apart from those after which a write may have happened.
"""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import quote

import msgspec

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
)
from lupinlink.coordination.errors import (
    BusyError,
    ConflictError,
    CoordinationError,
    DeniedError,
    InvalidRequestError,
    UncertainError,
    UnreachableError,
)

# Texts of a 500 that is answered before anything was proposed; after any other one a write may have happened.
NOTHING_DONE = ("No cluster leader", "No known Consul servers", "not the leader")


class Entry(msgspec.Struct, rename="pascal"):
    """One record as Consul gives it."""

    key: str
    modify_index: int
    lock_index: int = 0
    value: bytes | None = None
    session: str = ""


class Operation(msgspec.Struct, rename="pascal", omit_defaults=True):
    """One KV operation of a transaction."""

    verb: str
    key: str
    value: bytes | None = None
    index: int | None = None
    session: str = ""


class Wrapped(msgspec.Struct):
    """The same with its kind."""

    kv: Operation = msgspec.field(name="KV")


class Result(msgspec.Struct):
    """One result of a transaction."""

    kv: Entry | None = msgspec.field(name="KV", default=None)


class Fault(msgspec.Struct, rename="pascal"):
    """Why one operation failed."""

    op_index: int = 0
    what: str = ""


class Outcome(msgspec.Struct, rename="pascal"):
    """A transaction's answer."""

    results: list[Result] | None = None
    errors: list[Fault] | None = None


class Opened(msgspec.Struct):
    """A new session."""

    id: str = msgspec.field(name="ID")


class Renewed(msgspec.Struct, rename="pascal"):
    """A session that was renewed; the service may ask for fewer renewals by a longer time."""

    ttl: str = msgspec.field(name="TTL", default="")


_entries: msgspec.json.Decoder[list[Entry] | None] = msgspec.json.Decoder(list[Entry] | None)
_outcome: msgspec.json.Decoder[Outcome] = msgspec.json.Decoder(Outcome)
_opened: msgspec.json.Decoder[Opened] = msgspec.json.Decoder(Opened)
_renewed: msgspec.json.Decoder[list[Renewed]] = msgspec.json.Decoder(list[Renewed])


def kv_path(key: str) -> str:
    """The path of the records below a key."""
    return "/v1/kv/" + quote(key)


def operations(root: str, steps: Sequence[Step]) -> bytes:
    """A transaction's body; ``root`` goes before each key."""
    sent: list[Operation] = []
    for step in steps:
        key = root + step.key
        match step:
            case CheckRevision(_, revision):
                sent.append(_check(key, revision))
            case CheckHolder(_, lease):
                sent.append(Operation("check-session", key, session=lease))
            case Delete(_, None):
                sent.append(Operation("delete", key))
            case Delete(_, revision):
                # Danger: delete-cas says yes to a record that has long gone.
                sent.append(_check(key, revision or ABSENT))
                if revision:
                    sent.append(Operation("delete", key))
            case Put(_, value, None):
                sent.append(Operation("set", key, value))
            case Put(_, value, revision):
                sent.append(Operation("cas", key, value, index=revision))
            case Lock(_, value, lease):
                sent.append(Operation("lock", key, value, session=lease))
            case Unlock(_, value, lease):
                sent.append(Operation("unlock", key, value, session=lease))
    return msgspec.json.encode([Wrapped(operation) for operation in sent])


def _check(key: str, revision: int) -> Operation:
    if revision == ABSENT:
        return Operation("check-not-exists", key)
    return Operation("check-index", key, index=revision)


def session(name: str, ttl_ms: float, lock_delay_ms: float) -> bytes:
    """A new session's body. No health check ends it: its time alone is what the contract promises."""
    return msgspec.json.encode(
        {
            "Name": name,
            "TTL": f"{ttl_ms / 1000.0:g}s",
            "LockDelay": f"{lock_delay_ms / 1000.0:g}s",
            "Behavior": "release",
            "NodeChecks": [],
        }
    )


def records(root: str, body: bytes) -> dict[str, Record]:
    """A listing's records by key. Raises msgspec.DecodeError."""
    found = {}
    for entry in _entries.decode(body) or ():
        key = entry.key.removeprefix(root)
        found[key] = Record(key, entry.value or b"", entry.modify_index, entry.session, entry.lock_index)
    return found


def written(root: str, steps: Sequence[Step], body: bytes) -> dict[str, Record]:
    """The records that a transaction wrote; the answer holds no values. Raises msgspec.DecodeError."""
    values: dict[str, bytes] = {}
    for step in steps:
        if isinstance(step, Put | Lock | Unlock):
            values[step.key] = step.value
        elif isinstance(step, Delete):
            values.pop(step.key, None)
    out = {}
    for result in _outcome.decode(body).results or ():
        if (entry := result.kv) is not None and (key := entry.key.removeprefix(root)) in values:
            out[key] = Record(key, values[key], entry.modify_index, entry.session, entry.lock_index)
    return out


def opened(body: bytes) -> str:
    """The new session's name. Raises msgspec.DecodeError."""
    return _opened.decode(body).id


def renewed(body: bytes) -> float:
    """The time of a session that was renewed, ms; 0 if it cannot be read. Raises msgspec.DecodeError."""
    told = _renewed.decode(body)
    text = told[0].ttl if told else ""
    if text.endswith("ms"):
        text, unit = text[:-2], 1.0
    else:
        text, unit = text.removesuffix("s"), 1000.0
    try:
        return float(text) * unit
    except ValueError:
        return 0.0  # a time in minutes and seconds: the one that was asked for is kept


def refusal(status: int, body: bytes, writes: bool) -> CoordinationError:
    """What an answer that is no 200 means."""
    text = body[:300].decode(errors="replace")
    if status == 409:
        try:
            faults = _outcome.decode(body).errors or ()
        except msgspec.DecodeError:
            faults = ()
        return ConflictError("; ".join(fault.what for fault in faults) or "409")
    if status in (429, 503):
        return BusyError(f"{status} {text}")
    if status in (401, 403):
        return DeniedError(f"{status} {text}")
    if 400 <= status < 500:
        return InvalidRequestError(f"{status} {text}")
    if not writes or any(known in text for known in NOTHING_DONE):
        return UnreachableError(f"{status} {text}")
    return UncertainError(f"{status} {text}")
