"""Validates commits, so that both implementations of the service reject the same ones. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from lupinlink.coordination.contract import (
    ABSENT,
    MAX_STEPS,
    MAX_VALUE_BYTES,
    CheckHolder,
    Delete,
    Lock,
    Put,
    Step,
    Unlock,
)
from lupinlink.coordination.errors import ConflictError, InvalidRequestError


def operation_count(step: Step) -> int:
    """The number of Consul operations that a step takes: one, and two for a Delete at a revision.

    Consul's own delete at a revision (delete-cas) also succeeds when the record does not exist any more. The
    step must fail then, or two processes would both believe that they removed the record.
    """
    return 2 if isinstance(step, Delete) and step.revision not in (None, ABSENT) else 1


def validate_commit(steps: Sequence[Step]) -> None:
    """Raise InvalidRequestError for a commit that is empty, too long, or has an invalid key or value.

    Raises ConflictError for a step of a lost lease, whose name is empty. To Consul an empty session is a
    valid condition, which any unlocked record meets.
    """
    if not steps:
        raise InvalidRequestError("a commit without steps")
    total = sum(map(operation_count, steps))
    if total > MAX_STEPS:
        raise InvalidRequestError(f"a commit of {total} operations; {MAX_STEPS} is the most")
    for step in steps:
        if not step.key or step.key.startswith("/"):
            raise InvalidRequestError(f"{step.key!r} cannot be a record's key")
        if isinstance(step, Put | Lock | Unlock) and len(step.value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"{step.key}: {len(step.value)} bytes; {MAX_VALUE_BYTES} is the most")
        if isinstance(step, Lock | CheckHolder | Unlock) and not step.lease:
            raise ConflictError(f"{step.key}: the lease was lost")
