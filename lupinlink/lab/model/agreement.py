"""What a scenario says of a fleet's agreement: its file, the service, pools, quotas, operators' calls."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from lupinlink.lab.model.schema import Amount, Instant, Part, Positive, Span


class Agreement(Part, frozen=True):
    """The agreement service stands in the rig, and every proxy has a fleet file.

    In the texts ``@name@``, ``@zone@``, ``@version@``, ``@pool@``, ``@address@`` (of the service, as that
    proxy finds it) and ``@folder@`` (of the file) stand for a proxy's own. The bounds that the referee holds
    the fleet to are those of the file's ``release.proxies`` and ``release.servers`` tables.
    """

    file: str  # the fleet file, TOML
    policy: str = ""  # of quotas: written beside it as quota.policy
    version: str = "1"  # that all proxies start with
    missing: tuple[str, ...] = ()  # versions that cannot be had: the one before is started in their place
    lead: str = "lead"  # the lead's record has a key that ends so
    permits: str = "release/permits"  # and the permits' one
    restarts_servers: bool = False  # a platform starts those servers anew that are out by permit
    pools: dict[str, Positive] = field(default_factory=dict)  # shares of the proxies; the first one serves
    ttl_floor_s: Annotated[float, Meta(ge=0.1, le=86400.0)] = 10.0  # of sessions
    notice_s: Amount = 30.0  # so long may the fleet take to notice who is hurt
    settled_s: Span = 4.0  # a pool that served alone for so long has the listener
    idle_s: Annotated[int, Meta(ge=1, le=60)] = 4  # a server that nobody used for so long is out of use
    idle_least: Positive = 20.0  # if so many requests came to the others meanwhile, each
    ready_after_s: Instant = 0.0  # from the fleet's start to the first client: it gets to know itself
    steady_from_s: Instant = 5.0  # quotas count as dealt from then on
    steady_after_s: Amount = 3.0  # and so long after each fault


class Quota(Part, frozen=True):
    """What the referee holds all gateways together to; the policy says the same in its own words."""

    rate_per_s: Positive
    burst: Amount
    of_class: str = ""  # empty: all
    member: str = ""


class Call(Part, frozen=True):
    """An operator's call at a proxy's door."""

    at_s: Instant
    call: str  # METHOD /path?query
    body: str = ""
    to: str = "any"  # a proxy's name; any: one that runs, another if it says no
    until_s: Amount = 10.0  # so long is it asked again until it is answered with 2xx


class When(Part, frozen=True):
    """A moment in what is agreed: a record whose key ends with ``key`` holds a text."""

    key: str
    holds: str
