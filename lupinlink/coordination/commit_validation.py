"""Whether a commit is one that the service takes at all. Pure; both forms ask here and so refuse alike."""

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
    """Operations of the service that a step takes: one, and two for a Delete at a revision.

    The service's own delete at a revision says yes when the record has long gone; the step must not, or two
    processes would both believe that they removed it.
    """
    return 2 if isinstance(step, Delete) and step.revision not in (None, ABSENT) else 1


def validate_commit(steps: Sequence[Step]) -> None:
    """Raise InvalidRequestError for a commit that is empty, too long, or names a key or value that cannot be.

    Raises ConflictError for a step of a lost lease, whose name is empty. Danger: to the service "held by no
    session" is a condition like any other, and a record that nobody holds would meet it.
    """
    if not steps:
        raise InvalidRequestError("a commit without steps")
    operations = sum(map(operation_count, steps))
    if operations > MAX_STEPS:
        raise InvalidRequestError(f"a commit of {operations} operations; {MAX_STEPS} is the most")
    for step in steps:
        if not step.key or step.key.startswith("/"):
            raise InvalidRequestError(f"{step.key!r} cannot be a record's key")
        if isinstance(step, Put | Lock | Unlock) and len(step.value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"{step.key}: {len(step.value)} bytes; {MAX_VALUE_BYTES} is the most")
        if isinstance(step, Lock | CheckHolder | Unlock) and not step.lease:
            raise ConflictError(f"{step.key}: the lease was lost")
