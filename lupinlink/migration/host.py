"""What a migration needs of the process it runs in; the shell wires it to the service's parts."""

from __future__ import annotations

from typing import Protocol

from lupinlink.migration.model import Figures


class Host(Protocol):
    """One proxy. ``drain`` and ``in_service`` speak for migrations alone.

    Danger: an operator or a release may want the same proxy out. The shell keeps their wishes apart, and has
    it in service only while nobody wants it out.
    """

    @property
    def ready(self) -> bool:
        """Whether it listens, knows servers and is not stopping."""
        ...

    def figures(self) -> Figures:
        """What it holds now."""
        ...

    def drain(self) -> None:
        """Take no more clients: ``/up`` says no, kept connections end with their answers. Again is
        harmless."""
        ...

    def in_service(self) -> None:
        """Take clients, as far as migrations go; again is harmless."""
        ...

    def end_last(self) -> int:
        """End what is still open by the rules, each request with its answer; how many connections it ends."""
        ...

    def remember(self, text: bytes) -> None:
        """Keep some hundred bytes for the next process of this name on this machine, if that can be done."""
        ...

    def recall(self) -> bytes:
        """What a process before this one kept; empty: nothing."""
        ...
