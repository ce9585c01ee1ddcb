"""Whether requests are sent by the list of discovery, and why not. Times are ms of the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ListTrust(Enum):
    """Whether requests are sent by discovery's list as this node has it."""

    CONFIRMED = "confirmed"  # a watch stands
    UNCONFIRMED = "unconfirmed"  # no watch stands; what has changed since can't count as told yet
    HELD = "held"  # changes may count as told that did not come: requests wait
    AWAY = "away"  # discovery can't be reached, so the list as it is serves on


class HoldCause(Enum):
    """Why requests are held: what may count as told without having come."""

    STARTED = "started"  # what the former process was told, or what changed since
    UNCONFIRMED = "unconfirmed"  # what changed since the list was last confirmed, which is too long ago
    CUT_SHORT = "cut_short"  # the rest of something that has begun
    ANSWER_PENDING = "answer_pending"  # the answer to a call, which may be on its way or lost


@dataclass(slots=True)
class ListTrustChanged:
    """For the log: nothing is to be done."""

    trust: ListTrust
    unconfirmed_ms: float  # since a watch told last, or the node started
    cause: HoldCause | None = None  # why requests are held
