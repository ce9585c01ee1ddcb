"""What the fleet file says of migrations: the ``[migration]`` table, read and bounded by msgspec."""

from __future__ import annotations

from collections import Counter
from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")]
Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class ListenerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One named listener: the client address and classes of clients that every proxy of a pool serves."""

    name: Name
    home: Name  # the pool that has it before any migration, and where nothing else is known
    least: Annotated[int, Meta(ge=1, le=10000)] = 1  # proxies that serve it at any time
    classes: tuple[Name, ...] = ()  # of clients, as operators read them; empty: all


class MigrationSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Off unless the fleet file has the table. Names ending in ``_ms`` are milliseconds.

    What a step's gate asks for, and how many may be out at once, is said in the ``[release]`` table.
    """

    listeners: tuple[ListenerSettings, ...] = ()
    first_step: Annotated[int, Meta(ge=1, le=1000)] = 1  # proxies of the target in the first step
    growth: Annotated[float, Meta(ge=1.0, le=10.0)] = 2.0  # of each step over the one before
    step_ms: Annotated[float, Meta(ge=1000.0, le=3.6e6)] = 30000.0  # then who obeys not is not counted on
    prepare_ms: Annotated[float, Meta(ge=1000.0, le=3.6e6)] = 60000.0  # so long may a target take to be ready
    # Longer than any body that keeps the rules takes (32 MB at 32 kB a second), so that none is cut by it.
    long_ms: Annotated[float, Meta(ge=1000.0, le=8.64e7)] = 1.2e6
    idle_ms: Annotated[float, Meta(ge=0.0, le=3.6e6)] = 4000.0  # kept longer at rest in a drain: stuck
    silent_ms: Annotated[float, Meta(ge=0.0, le=3.6e6)] = 20000.0  # nothing of it moves for so long: stuck
    fill: Share = 0.8  # of a pool's capacity in connections, at most
    known_share: Share = 0.9  # of the servers the source knows, that a target must know
    warm_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5  # of a target's servers, that must be warm
    trouble_share: Share = 0.25  # of a pool's proxies lost: it is in trouble
    trouble_ms: Annotated[float, Meta(ge=0.0, le=3.6e6)] = 10000.0  # it halts for trouble that lasts so long
    look_ms: Annotated[float, Meta(ge=200.0, le=60000.0)] = 2000.0  # how often the lead looks at a migration
    report_ms: Annotated[float, Meta(ge=500.0, le=60000.0)] = 2000.0  # how often its proxies report
    rest_ms: Annotated[float, Meta(ge=1000.0, le=600000.0)] = 20000.0  # how often, while nothing migrates
    fresh_ms: Annotated[float, Meta(ge=1000.0, le=600000.0)] = 7000.0  # a report counts for so long
    know_ms: Annotated[float, Meta(ge=0.0, le=600000.0)] = 3000.0  # a start waits so long for the records

    def __post_init__(self) -> None:
        """Raises ValueError, which msgspec gives on with the table's name."""
        self.check()

    def check(self) -> None:
        """What no bound of one key tells; raises ValueError with what is wrong and what is allowed."""
        for what, names in (
            ("listener", [one.name for one in self.listeners]),
            ("home", [one.home for one in self.listeners]),
        ):
            name, times = next(iter(Counter(names).most_common(1)), ("", 0))
            if times > 1:
                # A proxy has one client address and one answer to /up: a pool serves one listener.
                raise ValueError(f"{what} {name!r} is given to {times} listeners, it must be of one only")
        if self.fresh_ms < 2.0 * self.report_ms:
            raise ValueError(
                f"fresh_ms {self.fresh_ms:g} is under twice report_ms {self.report_ms:g}, "
                "so that one late report makes a proxy silent"
            )

    def listener(self, name: str) -> ListenerSettings | None:
        """What is said of one, or None."""
        return next((one for one in self.listeners if one.name == name), None)
