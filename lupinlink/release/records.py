"""The records through which the fleet agrees who is out: their fields, and how they stand in the service.

Below the fleet's prefix: ``reports/NAME`` (written by that proxy alone), ``release/permits`` and
``release/plan`` (by the lead alone, under its lease, by compare-and-set), ``release/order``,
``release/halt`` and ``release/wanted`` (by any process for an operator, by compare-and-set). JSON by msgspec;
fields that a later program added are passed over. No record holds a time: clocks are not shared.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

import msgspec
from msgspec import Struct, field

from lupinlink.release.errors import RecordError

MEMBERS, PERMITS, PLAN = "reports/", "release/permits", "release/plan"
ORDER, HALT, WANTED = "release/order", "release/halt", "release/wanted"
RELEASE, LEAD = "release/", "release/lead"


class Figures(Struct, omit_defaults=True):
    """Requests since the process (or, of a server, the proxy that tells) started; all only rise."""

    arrived: int = 0
    in_time: int = 0  # served within what the client waits
    refused: int = 0  # turned away, known not to have run
    failed: int = 0  # everything else that ended

    @property
    def ended(self) -> int:
        return self.in_time + self.refused + self.failed


class Report(Struct, omit_defaults=True):
    """What one proxy says of itself; who has written none for ``silent_ms`` counts as out."""

    name: str
    zone: str
    version: str
    life: int  # rises with each process of this name
    nonce: str  # of this process alone
    beat: int = 0
    pool: str = ""
    ready: bool = False  # it can serve
    serving: bool = False  # it takes clients: ready and not drained
    standby: bool = False  # it serves nobody because nobody wants it to: neither out nor in use
    ask: str = ""  # why it wants to be out, in words; empty: it does not
    begun: int = 0  # the number of the permit that it acts on; 0: none
    acts: str = ""  # the release that this permit is of; empty: of none
    left: int = 0  # connections and requests still here
    use: float = 0.0  # of what it can bear, 0 to 1
    need: float = 0.0  # servers that all arrivals would keep busy, as seen from here; 0: not known
    figures: Figures = field(default_factory=Figures)
    fence: int = 0  # the highest seen
    turn: int = 0  # of the permits that it obeys: it sends nothing new to servers out by then
    busy: list[str] = []  # servers that are out by permit and still have requests from here
    ejected: list[str] = []  # servers that it leaves out by itself
    servers: dict[str, Figures] = {}  # of those that the plan watches


class Permit(Struct, omit_defaults=True):
    """One member may be out."""

    number: int  # of the decision that gave it; rises
    zone: str
    nonce: str  # the process that may act on it; no other of that name does
    why: str  # for an operator
    version: str = ""  # what to start in its place; empty: nothing is to end
    plan: str = ""  # the release that it is of
    asked: bool = False  # the member, or an operator, asked for it; neither: another part's, who ends it


class Outs(Struct, omit_defaults=True):
    """Who is out among the proxies, or among the servers."""

    held: dict[str, Permit] = {}  # by name
    without: dict[str, str] = {}  # out without a permit: why
    waiting: dict[str, str] = {}  # asked to be out: why not yet
    allowed: int = 0  # how many may be out in all
    bound: str = ""  # what sets that number
    members: int = 0


class Permits(Struct, omit_defaults=True):
    """Who is out, and by what right."""

    turn: int = 0  # rises with each change
    fence: int = 0  # of the lead that wrote it
    lead: str = ""
    proxies: Outs = field(default_factory=Outs)
    servers: Outs = field(default_factory=Outs)
    watched: list[str] = []  # servers whose figures the proxies are to report, for the gates


class State(str, Enum):
    """Where one member of a release stands, in one direction of it."""

    WAITING = "waiting"
    PERMITTED = "permitted"
    DRAINING = "draining"
    OUT = "out"
    BACK = "back"
    JUDGED = "judged"
    FAILED = "failed"


AWAY = frozenset({State.PERMITTED, State.DRAINING, State.OUT})
SETTLED = frozenset({State.BACK, State.JUDGED, State.FAILED})


class Placed(Struct, omit_defaults=True):
    """One member of a release."""

    state: State
    wave: int
    old: str  # the version it had
    nonce: str = ""  # the process that is to go
    number: int = 0  # of its permit
    trips: int = 0  # how often it went out in this direction; never over 1
    why: str = ""  # what is waited for, or why it failed
    told: bool = False  # its failure has halted the release once
    left: bool = False  # of a server: it left the list, or was not in service, while it was out


class Stand(str, Enum):
    """Where a release stands."""

    RUNNING = "running"
    DONE = "done"
    RETURNING = "returning"
    RETURNED = "returned"


class Plan(Struct, omit_defaults=True):
    """One release."""

    id: str
    number: int  # of the order it was made from
    version: str  # of the new; for servers it may be empty: started anew is all that is asked
    kind: str = "proxies"
    restart: bool = False  # the version stays, each process is to be another
    stand: Stand = Stand.RUNNING
    wave: int = 0
    waves: int = 0
    fence: int = 0
    note: str = ""  # what is waited for, for an operator
    heeded: int = 0  # the number of the last go-on that was heeded
    accepted: int = -1  # the wave that an operator took for judged without its gate
    members: dict[str, Placed] = {}

    @property
    def ended(self) -> bool:
        return self.stand in (Stand.DONE, Stand.RETURNED)

    @property
    def back(self) -> bool:
        return self.stand in (Stand.RETURNING, Stand.RETURNED)

    def run_for(self, permit: Permit) -> bool:
        """Whether this permit is of this release."""
        return permit.plan == self.id

    def away(self, name: str) -> bool:
        """Whether the member may be out for this release."""
        placed = self.members.get(name)
        return placed is not None and placed.state in AWAY

    def wants(self, name: str) -> str:
        """The version that the member is to have."""
        placed = self.members[name]
        return placed.old if self.back or self.restart else self.version


class Order(Struct, omit_defaults=True):
    """The release that operators want, and which way it is to go."""

    number: int
    id: str
    version: str
    kind: str = "proxies"
    restart: bool = False
    back: bool = False  # never taken back: a release that was sent back stays so
    pool: str = ""  # only that pool's proxies; empty: all
    zone: str = ""  # only that zone; empty: all
    by: str = ""


class Wanted(Struct, omit_defaults=True):
    """The servers that operators want out by themselves."""

    number: int = 0
    servers: dict[str, str] = {}  # by name: why


class Halt(Struct, omit_defaults=True):
    """Whether releases stand still. It stays until a go-on, or a way back, that names it."""

    number: int = 0  # rises with each halt and each go-on
    stands: bool = False
    by: str = ""
    why: str = ""
    accept: bool = False  # of a go-on: the wave counts as judged without its gate


T = TypeVar("T", bound=Struct)


def encoded(record: Struct) -> bytes:
    """The bytes of a record; equal records have equal bytes."""
    return msgspec.json.encode(record, order="deterministic")


def decoded(kind: type[T], key: str, value: bytes) -> T:
    """The record in these bytes. Fails: RecordError."""
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RecordError(f"{key}: {exc}") from exc
