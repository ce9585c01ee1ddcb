"""How the fake discovery answers a call, and in which form its watches deliver changes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Kind(Enum):
    """How one call is answered."""

    ANSWER = auto()
    CROWDED = auto()  # 503
    NOTHING = auto()  # accepted and read, never answered
    HEAD_ONLY = auto()  # the head of a watch, and nothing after it
    LOST = auto()  # written in full, but no byte arrives; the connection is reset
    LATE = auto()  # written in full, and arrives late


class Form(Enum):
    """In which form a watch delivers a change."""

    DELTA = auto()
    WHOLE = auto()  # a full list that omits draining backends
    INDENTED = auto()  # a delta over several lines, its chunk in three pieces
    LONG = auto()  # a full list that takes a proxy several reads
    BROKEN = auto()  # a delta, followed by bytes that are not a chunk
    CUT = auto()  # the first bytes of a delta, then a reset; complete on the next watch


WHOLE_FORMS = tuple(form for form in Form if form is not Form.CUT)


@dataclass(frozen=True)
class Reply:
    """The script of one call: the answer and its delays."""

    kind: Kind = Kind.ANSWER
    delay_s: float = 0.0  # from the call to the write of the answer
    transit_s: float = 0.0  # from the write of the answer to its arrival, or to the reset in its place


BUSY = Reply(Kind.CROWDED, 2.0)
SLOW = Reply(Kind.ANSWER, 1.9)
REPLIES = (  # a soak draws from these
    BUSY, SLOW, Reply(Kind.NOTHING), Reply(Kind.HEAD_ONLY), Reply(Kind.CROWDED),
    Reply(Kind.LOST, transit_s=0.7), Reply(Kind.LOST, transit_s=1.2), Reply(Kind.LATE, transit_s=0.9),
    Reply(Kind.LATE, delay_s=0.4, transit_s=1.6),
)  # fmt: skip
