"""What the stand-in of discovery answers to one call, and in which form its watches tell."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Kind(Enum):
    """What becomes of one call."""

    ANSWER = auto()
    CROWDED = auto()  # 503
    NOTHING = auto()  # accepted and read, never answered
    HEAD_ONLY = auto()  # the head of a watch, and nothing after it
    LOST = auto()  # written whole, of which not one byte comes; its connection is reset
    LATE = auto()  # written whole, and comes so late


class Form(Enum):
    """In which form a watch tells a change."""

    DELTA = auto()
    WHOLE = auto()  # a whole list that leaves out what drains
    INDENTED = auto()  # a delta over several lines, its chunk in three pieces
    LONG = auto()  # a whole list that takes a proxy several reads
    BROKEN = auto()  # a delta, and right after it bytes that are no chunk
    CUT = auto()  # the first bytes of a delta's chunk, then nothing, then a reset; whole on the next watch


WHOLE_FORMS = tuple(form for form in Form if form is not Form.CUT)


@dataclass(frozen=True)
class Reply:
    """The script of one call: what comes, and after how long."""

    kind: Kind = Kind.ANSWER
    delay_s: float = 0.0  # from the call to the answer's write
    transit_s: float = 0.0  # from that write to the answer's arrival, or to the reset in its place


BUSY = Reply(Kind.CROWDED, 2.0)
SLOW = Reply(Kind.ANSWER, 1.9)
REPLIES = (  # that a soak draws from
    BUSY, SLOW, Reply(Kind.NOTHING), Reply(Kind.HEAD_ONLY), Reply(Kind.CROWDED),
    Reply(Kind.LOST, transit_s=0.7), Reply(Kind.LOST, transit_s=1.2), Reply(Kind.LATE, transit_s=0.9),
    Reply(Kind.LATE, delay_s=0.4, transit_s=1.6),
)  # fmt: skip
