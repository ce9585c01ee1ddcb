"""What a policy of quotas consists of, and what its decision is asked and answers. Decides nothing.

A policy is a list of limits that form trees (fleet, tenant, class). A request belongs to every tree whose
root it matches; inside a limit it belongs to the first part that it matches. All limits on its way must allow
it, and all are charged one token or none. Times are milliseconds of the monotonic clock; a wall-clock date
only picks which of a limit's stated figures holds (``Policy.limits_during``).
"""

from __future__ import annotations

import datetime
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Network, IPv6Network
from typing import NamedTuple, Protocol

Network = IPv4Network | IPv6Network
VALUE_SEPARATOR = "\x1f"  # of the values of nested ``by`` fields, outermost first


@dataclass(frozen=True, slots=True)
class Place:
    """Where in the file something stands; both count from 1."""

    line: int = 0
    column: int = 0


NOWHERE = Place()


@dataclass(frozen=True, slots=True)
class Match:
    """What a limit is for; an empty tuple and None match everything. All that is stated must hold."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    key_prefixes: tuple[str, ...] = ()
    networks: tuple[Network, ...] = ()
    second_try: bool | None = None
    # Where each name stands, by kind and name.
    places: Mapping[tuple[str, str], Place] = field(default_factory=dict, compare=False, hash=False)


@dataclass(frozen=True, slots=True)
class RateParameters:
    """A limit's size: over any window of w seconds at most ``rate_per_s`` * w + ``burst`` are let in."""

    rate_per_s: float
    burst: float  # at least 1
    guaranteed_per_s: float = 0.0  # of the parent's rate: kept for this limit, whatever its siblings ask for


@dataclass(frozen=True, slots=True)
class ScheduledOverride:
    """Other figures, on the days of a schedule."""

    schedule: str
    parameters: RateParameters


@dataclass(frozen=True, slots=True)
class Limit:
    """One limit of a policy, with the figures that hold now."""

    path: str  # its name and those round it, as ``fleet/anna/orders``; the same in every version that has it
    rate_per_s: float
    burst: float
    parent: str = ""  # path of the limit round it; empty: it is the root of a tree
    guaranteed_per_s: float = 0.0
    borrows: bool = True  # beyond the guaranteed part it may use what siblings leave; False: never
    worth: float = 1.0  # over 0; when the parent is short, parts of more worth go first
    by: str = ""  # class, tenant, zone, key or address: each value has its own bucket; empty: one
    by_ipv4_bits: int = 0  # of an IPv4 address that make its value
    by_ipv6_bits: int = 0  # of an IPv6 address
    max_values: int = 1  # buckets at a time, at most; values of the limits round it count along
    shadow: bool = False  # counts what it would refuse, and refuses nothing; so do all limits inside it
    sends_retry_after: bool = True  # a refusal by it carries Retry-After
    match: Match = field(default_factory=Match)
    overrides: tuple[ScheduledOverride, ...] = ()  # the first whose schedule holds
    default_parameters: RateParameters | None = None  # the figures outside all seasons; None: those above
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(slots=True)  # not frozen: one is made for each request, and that would take three times as long
class QuotaRequest:
    """A request, as far as quotas look at it. Empty: it does not say."""

    class_name: str
    tenant: str = ""
    zone: str = ""  # of the gateway that it came to
    key: str = ""
    address: str = ""  # of its client, as text
    second_try: bool = False  # its client marked it as a repeat


@dataclass(frozen=True, slots=True)
class Schedule:
    """A span of days in each year: ``days`` long up to the day before a feast, or from a day to a day."""

    name: str
    feast: str = ""  # christmas or easter; empty: the days below
    days: int = 0
    first: tuple[int, int] = (1, 1)  # month and day
    last: tuple[int, int] = (12, 31)  # included; before ``first``: over the turn of the year
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class ExpectedCase:
    """A case that the file states: so many like this at once, on a day, with full buckets."""

    asked: QuotaRequest
    count: int
    admitted: int
    refused_by: str = ""  # path of the limit that refuses the rest; empty: not said
    limits: tuple[str, ...] | None = None  # paths that it is charged to; None: not said
    on: datetime.date | None = None
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class Policy:
    """One policy; the same text gives the same policy in every process."""

    version: str
    limits: tuple[Limit, ...] = ()  # in the order of the file: each after the one round it
    schedules: tuple[Schedule, ...] = ()
    expected_cases: tuple[ExpectedCase, ...] = ()

    def limits_during(self, holding: frozenset[str]) -> tuple[Limit, ...]:
        """The limits with the figures that hold while the schedules of these names do."""
        return tuple(_figured(limit, holding) for limit in self.limits)


def _figured(limit: Limit, holding: frozenset[str]) -> Limit:
    parameters = limit.default_parameters or RateParameters(
        limit.rate_per_s, limit.burst, limit.guaranteed_per_s
    )
    parameters = next(
        (season.parameters for season in limit.overrides if season.schedule in holding), parameters
    )
    return replace(
        limit,
        rate_per_s=parameters.rate_per_s,
        burst=parameters.burst,
        guaranteed_per_s=parameters.guaranteed_per_s,
    )


class Charge(NamedTuple):
    """One token of one limit's bucket."""

    limit: int  # index in ``Policy.limits``
    value: str = ""  # of ``by``, of this limit and those round it, with ``BETWEEN`` between; empty: no ``by``


class Shortfall(NamedTuple):
    """Why nothing was charged."""

    limit: int  # index of the limit whose token comes last
    retry_after_ms: float  # until it comes, if nobody else takes it; inf: not known when


class TokenStore(Protocol):
    """The tokens that this process holds: whole buckets (one process) or slices of the fleet's."""

    def take(self, charges: Sequence[Charge], now_ms: float) -> Shortfall | None:
        """Charge all, or none and say why. ``charges``: a limit always after the one round it."""
        ...

    def refund(self, charges: Sequence[Charge], now_ms: float) -> None:
        """Undo a ``take`` that was made in this same moment, when the other of two versions refused."""
        ...


@dataclass(slots=True)
class Verdict:
    """What the decision answers."""

    allowed: bool
    refused_by: str = ""  # path of the limit that refused
    retry_after_ms: float = 0.0  # of a refusal; 0: it says no time
    shadowed: str = ""  # path of a limit in shadow mode that would have refused
