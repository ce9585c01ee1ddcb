"""An upgrade as each of the two processes sees it: who is told what, and who holds what. Pure.

A process may be the new one (``begin``), the old one (``called``), or, in two upgrades in a row, both.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping
from typing import Any, Protocol

from lupinlink.net.handover.capacity import Usage
from lupinlink.net.handover.messages import VERSION, refusal

log = logging.getLogger(__name__)
ANSWER_MS = 1000.0  # so long the old one may take to answer; its turns are tens of milliseconds
WAIT_MS = 12000.0  # so long an upgrade before this one may take to end


class Link(Protocol):
    """The channel to the other process."""

    def say(self, say: str, handed: int | None = None, **more: Any) -> None: ...
    def end(self) -> None: ...


class House(Protocol):
    """What the service does for an upgrade."""

    def offered(self) -> tuple[int, dict[str, Any]]:
        """The listening socket, and what a successor starts from."""

    def move_in(self, handed: int | None, offer: Mapping[str, Any]) -> None:
        """Listen: on the socket that was handed over, or on one of our own."""

    def handed_over(self) -> None:
        """A successor serves: accept nothing more, and see off who is here."""

    def taken_back(self) -> None:
        """The successor has gone: serve as before."""

    def beside(self, other: Usage | None) -> None:
        """What the old process holds; None: it has gone."""

    def holds(self) -> Usage:
        """What this process may come to hold."""

    def told(self, drain: bool) -> None:
        """An operator's call reached the old process."""


class Upgrade:
    """Both sides of it; times are milliseconds of the caller's clock."""

    def __init__(self, house: House, name: str) -> None:
        self._house, self._name = house, name
        self._old: Link | None = None
        self._until = 0.0  # when the old one's answer is no longer waited for
        self._moved_in = False
        self._new: Link | None = None  # who was offered our place
        self._superseded = False
        self._waiting: list[Link] = []
        self._told: Usage | None = None
        self._left = False

    @property
    def busy(self) -> bool:
        """Whether another process is there."""
        return self._old is not None or self._new is not None

    def begin(self, old: Link, now: float) -> None:
        """Somebody serves at our address: ask for the place."""
        self._old, self._until = old, now + ANSWER_MS
        old.say("hello", v=VERSION, name=self._name, pid=os.getpid())

    def serving(self) -> None:
        """This process serves from here on."""
        self._moved_in = True
        if self._old is not None:
            self._old.say("ready")

    def heard(self, link: Link, message: Mapping[str, Any], handed: int | None, now: float) -> None:
        """A message; one that does not fit is passed over, and a descriptor that came with it closed."""
        say = message["say"]
        if link is self._old and say == "offer" and not self._moved_in and self._until:
            self._until = 0.0
            self._house.move_in(handed, message)
            return
        if handed is not None:
            os.close(handed)
        if link is self._old:
            self._from_old(say, message, now)
        elif say == "hello":
            self._greet(link, message)
        elif say == "ready" and link is self._new and not self._superseded:
            self._superseded, self._told = True, None
            log.info("handed over")
            self._house.handed_over()
            self.tick(now)

    def _from_old(self, say: str, message: Mapping[str, Any], now: float) -> None:
        if say == "wait" and self._until:
            self._until = now + WAIT_MS
        elif say == "no":
            log.warning("no handover", extra={"kv": {"why": str(message.get("why"))}})
            self._alone()
        elif say == "holds":
            descriptors, memory = message.get("descriptors"), message.get("memory_mb")
            if isinstance(descriptors, int) and isinstance(memory, int | float):
                self._house.beside(Usage(descriptors, float(memory)))
        elif say in ("drain", "undrain"):
            self._house.told(say == "drain")

    def _greet(self, link: Link, message: Mapping[str, Any]) -> None:
        why = refusal(message, self._name)
        if why:
            link.say("no", why=why)
        elif self.busy:
            self._waiting.append(link)
            link.say("wait")
        else:
            self._offer(link)

    def _offer(self, link: Link) -> None:
        self._new = link
        handed, offer = self._house.offered()
        link.say("offer", handed, **offer)
        log.info("place offered")

    def leave(self) -> None:
        """This process ends: whatever ends from here on is none of its business."""
        self._left = True

    def ended(self, link: Link) -> None:
        """A channel has ended, and with it the process behind it."""
        if self._left:
            return
        if link in self._waiting:
            self._waiting.remove(link)
        if link is self._old:
            self._alone()
        elif link is self._new:
            self._new = None
            superseded, self._superseded = self._superseded, False
            log.warning("successor gone", extra={"kv": {"was_ready": superseded}})
            if superseded:
                self._house.taken_back()
        if self._waiting and not self.busy:
            self._offer(self._waiting.pop(0))

    def _alone(self) -> None:
        """No old process, or none that hands over."""
        old, self._old, waited = self._old, None, self._until
        self._until = 0.0
        if old is not None:
            old.end()
        if waited:
            self._house.move_in(None, {})
        self._house.beside(None)

    def pass_on(self, drain: bool) -> None:
        """An operator called here, where nobody arrives any more."""
        if self._superseded and self._new is not None:
            self._new.say("drain" if drain else "undrain")

    def tick(self, now: float) -> None:
        """To be called some ten times a second while ``busy``."""
        if self._until and now >= self._until:
            log.warning("no handover", extra={"kv": {"why": "no answer in time"}})
            self._alone()
        if self._superseded and self._new is not None:
            holds = self._house.holds()
            if holds != self._told:
                self._told = holds
                self._new.say("holds", descriptors=holds.descriptors, memory_mb=round(holds.memory_mb, 1))
