"""The data model of quota policies, and the questions and answers of the decision. Holds no logic.

A policy is a list of limits that form trees (fleet, tenant, class). A request belongs to every tree whose
root it matches, and within a limit to the first child that it matches. All limits on these paths must allow
the request; then each is charged one token, otherwise none is. Times are milliseconds of the monotonic clock.
A wall-clock date only selects which rate parameters of a limit are in force (``Policy.limits_during``).
"""

from __future__ import annotations

import datetime
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Network, IPv6Network
from typing import NamedTuple, Protocol

Network = IPv4Network | IPv6Network
VALUE_SEPARATOR = "\x1f"  # joins the values of nested ``by`` fields, outermost first


@dataclass(frozen=True, slots=True)
class Place:
    """A position in the policy file; line and column count from 1."""

    line: int = 0
    column: int = 0


NOWHERE = Place()


@dataclass(frozen=True, slots=True)
class Match:
    """The conditions of a limit, all of which must hold; an empty tuple or None matches everything."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    key_prefixes: tuple[str, ...] = ()
    networks: tuple[Network, ...] = ()
    second_try: bool | None = None
    # Position of each name, by kind and name.
    places: Mapping[tuple[str, str], Place] = field(default_factory=dict, compare=False, hash=False)


@dataclass(frozen=True, slots=True)
class RateParameters:
    """Rate and burst of a limit: any window of w seconds admits at most ``rate_per_s`` * w + ``burst``."""

    rate_per_s: float
    burst: float  # at least 1
    guaranteed_per_s: float = 0.0  # reserved from the parent's rate, whatever the siblings use


@dataclass(frozen=True, slots=True)
class ScheduledOverride:
    """Rate parameters that replace the default ones on the days of a schedule."""

    schedule: str
    parameters: RateParameters


@dataclass(frozen=True, slots=True)
class Limit:
    """One limit of a policy, with the rate parameters in force."""

    path: str  # names from the root down, as ``fleet/anna/orders``; identifies the limit across versions
    rate_per_s: float
    burst: float
    parent: str = ""  # path of the parent; empty: this is the root of a tree
    guaranteed_per_s: float = 0.0
    borrows: bool = True  # may use more than is guaranteed while siblings leave tokens unused
    worth: float = 1.0  # over 0; when the parent runs short of tokens, children of more worth go first
    by: str = ""  # class, tenant, zone, key or address: one bucket per value; empty: a single one
    by_ipv4_bits: int = 0  # prefix length of the network that is the value of an IPv4 address
    by_ipv6_bits: int = 0  # the same for an IPv6 address
    max_values: int = 1  # most buckets at a time, over all values of this limit and its ancestors
    shadow: bool = False  # only counts what it would refuse; so do all limits inside it
    sends_retry_after: bool = True  # whether its refusals carry Retry-After
    match: Match = field(default_factory=Match)
    overrides: tuple[ScheduledOverride, ...] = ()  # the first whose schedule applies is used
    default_parameters: RateParameters | None = None  # outside all schedules; None: the ones above
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(slots=True)  # not frozen, which would triple the cost of creating one per request
class QuotaRequest:
    """The fields of a request that quotas look at; empty where the request does not state one."""

    class_name: str
    tenant: str = ""
    zone: str = ""  # of the gateway that received it
    key: str = ""
    address: str = ""  # of its client, as text
    second_try: bool = False  # marked as a retry by its client


@dataclass(frozen=True, slots=True)
class Schedule:
    """A span of days in each year: the ``days`` days before a feast, or from one date to another."""

    name: str
    feast: str = ""  # christmas or easter; empty: ``first`` to ``last``
    days: int = 0
    first: tuple[int, int] = (1, 1)  # month and day
    last: tuple[int, int] = (12, 31)  # inclusive; if before ``first``, the span crosses the turn of the year
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class ExpectedCase:
    """An expected case in the policy: ``count`` equal requests at the same time, with full buckets."""

    request: QuotaRequest
    count: int
    admitted: int
    refused_by: str = ""  # path of the limit that refuses the rest; empty: not checked
    limits: tuple[str, ...] | None = None  # paths of the limits charged; None: not checked
    on: datetime.date | None = None
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class Policy:
    """A quota policy; the same text gives the same policy in every process."""

    version: str
    limits: tuple[Limit, ...] = ()  # in the order of the file: each after its parent
    schedules: tuple[Schedule, ...] = ()
    expected_cases: tuple[ExpectedCase, ...] = ()

    def limits_during(self, active: frozenset[str]) -> tuple[Limit, ...]:
        """The limits with the rate parameters in force while the schedules of these names apply."""
        return tuple(_with_parameters(limit, active) for limit in self.limits)


def _with_parameters(limit: Limit, active: frozenset[str]) -> Limit:
    parameters = limit.default_parameters or RateParameters(
        limit.rate_per_s, limit.burst, limit.guaranteed_per_s
    )
    parameters = next(
        (override.parameters for override in limit.overrides if override.schedule in active), parameters
    )
    return replace(
        limit,
        rate_per_s=parameters.rate_per_s,
        burst=parameters.burst,
        guaranteed_per_s=parameters.guaranteed_per_s,
    )


class Charge(NamedTuple):
    """One token from one bucket of a limit."""

    limit: int  # index in ``Policy.limits``
    value: str = ""  # the ``by`` values from the root down, joined by ``VALUE_SEPARATOR``


class Shortfall(NamedTuple):
    """The limit that lacked a token, so that nothing was charged."""

    limit: int  # index of the limit with the longest wait
    retry_after_ms: float  # wait for its token if nobody else takes it; inf: unknown


class TokenStore(Protocol):
    """The tokens that this process may spend: whole buckets, or slices of the fleet's buckets."""

    def take(self, charges: Sequence[Charge], now_ms: float) -> Shortfall | None:
        """Charge all of ``charges``, or none and return why. A limit always follows its parent."""
        ...

    def refund(self, charges: Sequence[Charge], now_ms: float) -> None:
        """Undo a ``take`` of the same time, after another version of the policy has refused."""
        ...


@dataclass(slots=True)
class Verdict:
    """The answer to one request."""

    allowed: bool
    refused_by: str = ""  # path of the refusing limit
    retry_after_ms: float = 0.0  # of a refusal; 0: no Retry-After is sent
    shadowed: str = ""  # path of a limit in shadow mode that would have refused
