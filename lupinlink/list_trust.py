"""Whether the node trusts its copy of discovery's list of backends, and why requests are held if not.

A change of the list counts as notified some time after discovery has it, even if the node did not receive it:
from then on a request may no longer go to a backend that has left. Times are in milliseconds on the caller's
clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ListTrust(Enum):
    """How far the node relies on its copy of discovery's list."""

    CONFIRMED = "confirmed"  # a watch is open
    UNCONFIRMED = "unconfirmed"  # no watch is open, but later changes cannot count as notified yet
    HELD = "held"  # changes that were not received may count as notified: requests wait
    AWAY = "away"  # discovery cannot be reached: requests are sent by the last known list


class HoldCause(Enum):
    """Why requests are held: which changes may count as notified although they were not received."""

    STARTED = "started"  # those of which the previous process was notified, and those since
    UNCONFIRMED = "unconfirmed"  # those since the list was last confirmed, which is too long ago
    CUT_SHORT = "cut_short"  # the rest of a message of which only a part has arrived
    ANSWER_PENDING = "answer_pending"  # the answer to a call, which may be in transit or lost


@dataclass(slots=True)
class ListTrustChanged:
    """Reports a change for the log; the caller need not do anything else."""

    trust: ListTrust
    unconfirmed_ms: float  # since a watch last confirmed the list, or the node started
    cause: HoldCause | None = None  # why requests are held
