"""What a form of the agreement service must be able to do: single calls, each with a time-out of its own.

``lupinlink.coordination.client`` makes an ``Agreement`` of it: renewals, standing questions, pace, back-off.
Errors as in ``lupinlink.coordination.contract``.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.coordination.contract import Record, Step


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The answer to a question."""

    records: dict[str, Record]  # by key
    index: int  # to be handed in with the next question, over 0


class Transport(Protocol):
    """The calls."""

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        """Records below a prefix; with an index over 0 only once there is another, or after ``wait_ms``.

        Fails: UnreachableError, BusyError.
        """
        ...

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        """All steps or none; as ``Agreement.commit``."""
        ...

    def open(self, ttl_ms: float) -> Deferred[str]:
        """A new lease's name. Fails: UnreachableError, BusyError; one made unheard ends by itself."""
        ...

    def renew(self, lease: str) -> Deferred[float]:
        """Renew it; gives its time, more than was asked for from a service that wants fewer renewals.

        Fails: LeaseLostError (there is none), UnreachableError, BusyError.
        """
        ...

    def close(self, lease: str) -> Deferred[None]:
        """End it. Fails: UnreachableError, BusyError."""
        ...
