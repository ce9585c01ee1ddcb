"""The interface between the fleet's components (release, quota, migration) and the process that hosts them.

A component coordinates over an ``Agreement``; clock, randomness and what it needs of its process are passed
in. ``lupinlink.net.fleet`` starts and stops the components and adds their endpoints to the management API.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the fleet."""

    name: str  # the same after a restart
    zone: str
    version: str  # of the program, as operators name it
    pool: str = ""  # the pool of proxies that it belongs to, for migrations


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's request to the management API."""

    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to an operator: an HTTP status and a text that ends with a newline."""

    status: int
    text: str


AdminHandler = Callable[[AdminRequest], AdminResponse]
AdminRoutes = Mapping[str, Mapping[str, AdminHandler]]
"""By path (``/control/release/halt``), then by method (``PUT``). A handler responds at once, from what this
process knows; what it asks of the fleet goes on afterwards, and the state endpoint shows the progress."""


class Component(Protocol):
    """A component of the fleet extension."""

    def start(self) -> None:
        """Start; called once, with the reactor running."""
        ...

    def stop(self) -> None:
        """Stop; nothing is called after it. Locks in the service may be left to expire with the lease."""
        ...

    def admin_routes(self) -> AdminRoutes:
        """The endpoints that the component adds to the management API."""
        ...
