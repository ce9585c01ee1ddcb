"""What each part of the fleet's agreement (release, quota, migration) looks like to the shell that wires it.

A part is an agent that carries its pure state over an ``Agreement``; clock, randomness and what it needs of
its process are handed in. The shell (``lupinlink.net.fleet``) starts and stops it and puts its calls on the
operators' door.
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
    version: str  # of the program, as an operator names it
    pool: str = ""  # the pool of proxies that it belongs to, for migrations


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's call at the door."""

    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """What the operator reads: an HTTP status (2xx yes, 4xx or 5xx no) and a text that ends a line."""

    status: int
    text: str


AdminHandler = Callable[[AdminRequest], AdminResponse]
AdminRoutes = Mapping[str, Mapping[str, AdminHandler]]
"""By path (``/control/release/halt``), then by method (``PUT``). A call answers at once, from what is known
here; what it asks of the fleet goes on after the answer, and the state call tells how far it is."""


class Component(Protocol):
    """One agent."""

    def start(self) -> None:
        """Begin; called once, with the reactor running."""
        ...

    def stop(self) -> None:
        """End; nothing is called after it. What is held in the service may be left to its lease."""
        ...

    def admin_routes(self) -> AdminRoutes:
        """What it adds to the operators' door."""
        ...
