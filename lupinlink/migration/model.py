"""What a migration consists of, as it is written down: listeners, migrations, and what each proxy reports.

Records are JSON by msgspec. One record holds a listener's owner, its epoch and its migration, so that a
single compare-and-set moves them together; the epoch rises with every write of it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct, json

LISTENERS = "migration/listener/"  # by name; every proxy watches these
REPORTS = "migration/proxy/"  # by name; read by the lead only, so that a report wakes nobody
PROGRESS = "migration/progress/"  # by listener: the lead's word, read where an operator asks


class State(StrEnum):
    """Where a migration stands."""

    PLANNED = "planned"  # asked for; the lead has yet to take it up
    PREPARING = "preparing"  # targets are looked at, nothing has moved
    SHIFTING = "shifting"  # new connections move, step by step
    DRAINING = "draining"  # all new ones are at the target; what was kept at the source ends
    SETTLED = "settled"
    HALTED = "halted"  # nobody moves further; who serves goes on serving
    RETURNING = "returning"  # the same back
    RETURNED = "returned"


ENDED = (State.SETTLED, State.RETURNED)


class Order(Struct, frozen=True, array_like=True):
    """What one proxy is told. A report from before ``epoch`` says nothing of whether it was obeyed."""

    serves: bool
    epoch: int = 0  # at which it was given; 0: it stood so when the migration was taken up


class Began(Struct, frozen=True, array_like=True):
    """What a proxy held when it was told to take no more."""

    run: str  # of its process: another one knows nothing of these
    live: int


class Migration(Struct, frozen=True, kw_only=True):
    """One migration of a listener; while it is open, a proxy serves if its order says so, and no other."""

    number: int  # the listener's first is 1
    source: str
    target: str
    state: State
    why: str = ""  # what brought it there, a line for people
    sources: tuple[str, ...] = ()  # proxies of the source pool, by name; set when it is taken up
    targets: tuple[str, ...] = ()
    orders: dict[str, Order] = {}  # by name; empty: it is not taken up yet, and the owner's pool serves
    step: int = 0  # so often were proxies brought in since it last took this direction
    prepared: bool = False
    accepted: int = -1  # the last step whose gate an operator has accepted unread
    without: tuple[str, ...] = ()  # an operator's word: these are off: while silent they are not waited for
    began: dict[str, Began] = {}  # by the name of each proxy that was told to take no more

    def serving(self) -> set[str]:
        """Who is told to serve."""
        return {name for name, order in self.orders.items() if order.serves}


class Listener(Struct, frozen=True, kw_only=True):
    """A named listener, and who has it.

    ``owner`` is the source of an open migration until every proxy of it has said that it serves no more (or
    an operator has said that it is off), and the target from then on: no epoch has two.
    """

    name: str
    owner: str
    epoch: int  # rises with every write
    migration: Migration | None = None

    @property
    def open(self) -> Migration | None:
        """The migration that is under way."""
        one = self.migration
        return one if one is not None and one.state not in ENDED else None

    def pools(self) -> set[str]:
        """Those that it needs for itself."""
        return {self.owner} if self.open is None else {self.open.source, self.open.target}

    def serves(self, name: str, pool: str) -> bool:
        """Whether the proxy of that name and pool serves it at this epoch."""
        migration = self.open
        if migration is None or not migration.orders:
            return pool == self.owner
        order = migration.orders.get(name)
        return order is not None and order.serves


class Figures(Struct, frozen=True, kw_only=True):
    """What a proxy holds at one moment; all figures are counts but for those that name a unit."""

    live: int = 0  # connections of clients
    idle: int = 0  # of these: with no part of a request
    closing: int = 0  # of these: answered for the last time
    requests: int = 0  # that still owe an answer
    oldest_ms: float = 0.0  # the age of the oldest request
    bytes_to_go: int = 0  # of long answers and bodies whose length is told
    untold: int = 0  # long ones whose length is not
    unread: int = 0  # long answers that are not read at the moment
    capacity: int = 0  # connections that it may hold
    servers: int = 0  # application servers that take its work
    warm: int = 0  # of these: no longer cold, so that they know their keys


class Report(Struct, frozen=True, kw_only=True):
    """One proxy's word."""

    name: str
    pool: str
    run: str  # drawn at each start of a process
    beat: int  # rises with each report of a run
    seen: dict[str, int] = {}  # by listener, the highest epoch that it knows and obeys
    serves: bool = False  # whether it answers /up with yes, as far as migrations go
    ready: bool = False  # whether it listens and could serve
    role_ms: float = 0.0  # how long it has served, or not served, by its own clock
    ended: int = 0  # connections that it ended by the rules since it serves no more
    leaving_s: float = 0.0  # connections that left a second, of late
    bytes_s: float = 0.0  # bytes of long bodies that went a second, of late
    figures: Figures = Figures()


def packed(record: Struct) -> bytes:
    """As it is written."""
    return json.encode(record)


read_listener: Callable[[bytes], Listener] = json.Decoder(Listener).decode
read_report: Callable[[bytes], Report] = json.Decoder(Report).decode
