"""Encodes requests to Consul's HTTP API and decodes its responses. Performs no I/O.

Covers the KV store, transactions, sessions and blocking queries as Consul's API documentation describes them.
Statuses that prove that nothing was written are distinguished from those after which a write may be applied.
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

# Texts of a 500 that Consul sends before it proposes a write; after any other 500 the write may be applied.
NOTHING_WRITTEN = ("No cluster leader", "No known Consul servers", "not the leader")


class Entry(msgspec.Struct, rename="pascal"):
    """One record in a response."""

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


class TransactionOperation(msgspec.Struct):
    """One operation of a transaction, wrapped with its kind."""

    kv: Operation = msgspec.field(name="KV")


class TransactionResult(msgspec.Struct):
    """One result of a transaction."""

    kv: Entry | None = msgspec.field(name="KV", default=None)


class TransactionError(msgspec.Struct, rename="pascal"):
    """Why an operation of a transaction failed."""

    op_index: int = 0
    what: str = ""


class TransactionResponse(msgspec.Struct, rename="pascal"):
    """The response to a transaction."""

    results: list[TransactionResult] | None = None
    errors: list[TransactionError] | None = None


class CreatedSession(msgspec.Struct):
    """The response to a created session."""

    id: str = msgspec.field(name="ID")


class RenewedSession(msgspec.Struct, rename="pascal"):
    """A renewed session; the service may ask for fewer renewals by a longer time to live."""

    ttl: str = msgspec.field(name="TTL", default="")


_entries: msgspec.json.Decoder[list[Entry] | None] = msgspec.json.Decoder(list[Entry] | None)
_transaction: msgspec.json.Decoder[TransactionResponse] = msgspec.json.Decoder(TransactionResponse)
_created_session: msgspec.json.Decoder[CreatedSession] = msgspec.json.Decoder(CreatedSession)
_renewed_sessions: msgspec.json.Decoder[list[RenewedSession]] = msgspec.json.Decoder(list[RenewedSession])


def kv_path(key: str) -> str:
    """The URL path of the records below a key."""
    return "/v1/kv/" + quote(key)


def encode_transaction(root: str, steps: Sequence[Step]) -> bytes:
    """The body of a transaction; ``root`` is the prefix of each key."""
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
                # Not delete-cas, which also succeeds for a record that does not exist any more.
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
    return msgspec.json.encode([TransactionOperation(operation) for operation in sent])


def _check(key: str, revision: int) -> Operation:
    if revision == ABSENT:
        return Operation("check-not-exists", key)
    return Operation("check-index", key, index=revision)


def encode_session(name: str, ttl_ms: float, lock_delay_ms: float) -> bytes:
    """The body that creates a session. No health checks: only its time to live may end a lease."""
    return msgspec.json.encode(
        {
            "Name": name,
            "TTL": f"{ttl_ms / 1000.0:g}s",
            "LockDelay": f"{lock_delay_ms / 1000.0:g}s",
            "Behavior": "release",
            "NodeChecks": [],
        }
    )


def decode_records(root: str, body: bytes) -> dict[str, Record]:
    """Decode a list of records, by key. Raises msgspec.DecodeError."""
    found = {}
    for entry in _entries.decode(body) or ():
        key = entry.key.removeprefix(root)
        found[key] = Record(key, entry.value or b"", entry.modify_index, entry.session, entry.lock_index)
    return found


def decode_written_records(root: str, steps: Sequence[Step], body: bytes) -> dict[str, Record]:
    """The records that a transaction wrote; the response has no values. Raises msgspec.DecodeError."""
    values: dict[str, bytes] = {}
    for step in steps:
        if isinstance(step, Put | Lock | Unlock):
            values[step.key] = step.value
        elif isinstance(step, Delete):
            values.pop(step.key, None)
    found = {}
    for result in _transaction.decode(body).results or ():
        if (entry := result.kv) is not None and (key := entry.key.removeprefix(root)) in values:
            found[key] = Record(key, values[key], entry.modify_index, entry.session, entry.lock_index)
    return found


def decode_session_id(body: bytes) -> str:
    """The new session's identifier. Raises msgspec.DecodeError."""
    return _created_session.decode(body).id


def decode_session_ttl_ms(body: bytes) -> float:
    """The time to live of a renewed session, ms; 0 if it is in another unit. Raises msgspec.DecodeError."""
    sessions = _renewed_sessions.decode(body)
    text = sessions[0].ttl if sessions else ""
    if text.endswith("ms"):
        text, unit = text[:-2], 1.0
    else:
        text, unit = text.removesuffix("s"), 1000.0
    try:
        return float(text) * unit
    except ValueError:
        return 0.0  # in minutes and seconds: the caller keeps the requested time to live


def error_from_response(status: int, body: bytes, writes: bool) -> CoordinationError:
    """The error for a response whose status is not 200; ``writes``: to a call that may write."""
    text = body[:300].decode(errors="replace")
    if status == 409:
        try:
            errors = _transaction.decode(body).errors or ()
        except msgspec.DecodeError:
            errors = ()
        return ConflictError("; ".join(error.what for error in errors) or "409")
    if status in (429, 503):
        return BusyError(f"{status} {text}")
    if status in (401, 403):
        return DeniedError(f"{status} {text}")
    if 400 <= status < 500:
        return InvalidRequestError(f"{status} {text}")
    if not writes or any(known in text for known in NOTHING_WRITTEN):
        return UnreachableError(f"{status} {text}")
    return UncertainError(f"{status} {text}")
