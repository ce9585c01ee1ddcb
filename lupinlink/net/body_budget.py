"""One memory budget for all request bodies, which tells paused bodies when there is room again. No I/O."""

from __future__ import annotations

from typing import Protocol

from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.limits.memory_sizes import NORMAL, Sizes, sizes_at

PRESSURE_SHARE = 0.5  # above this share of the budget every body that is not small is streamed


class WaitingBody(Protocol):
    """A body whose sender is paused while memory is short."""

    def resume_if_room(self) -> None:
        """Let its sender continue, if it may."""
        ...


class BodyBudget:
    """The memory that all request bodies together may take, in bytes.

    What frees memory, here or by a new limit, also wakes the bodies that wait for it: none of them could
    notice by itself that another one has ended.
    """

    def __init__(self, limit_bytes: int, account: MemoryAccount | None = None) -> None:
        """``account``: of the memory for everything that peers send."""
        self._limit_bytes, self._held_bytes = limit_bytes, 0
        self._account = account or MemoryAccount()
        self._holding = Holding(self._account, MemoryKind.BODIES)
        self._account.listen(self._level_changed)
        self._waiting: dict[WaitingBody, None] = {}

    @property
    def limit_bytes(self) -> int:
        """The most that all bodies together may take; changes with the process's limits."""
        return self._limit_bytes

    @limit_bytes.setter
    def limit_bytes(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._wake()

    @property
    def held_bytes(self) -> int:
        """What all bodies take at present."""
        return self._held_bytes

    @property
    def under_pressure(self) -> bool:
        """Whether bodies that are not small have to be streamed."""
        return (
            self._held_bytes > PRESSURE_SHARE * self._limit_bytes
            or self._account.level is not MemoryLevel.NORMAL
        )

    @property
    def sizes(self) -> Sizes:
        """How much of a body may be here at present."""
        return sizes_at(max(self._account.level, MemoryLevel.SLOW)) if self.under_pressure else NORMAL

    @property
    def exceeded(self) -> bool:
        """Whether there is no room for a further body."""
        return self._held_bytes > self._limit_bytes or self._account.level >= MemoryLevel.REFUSE

    def hold(self, count: int) -> None:
        """Count bytes that a body has received."""
        self._held_bytes += count
        self._holding.set(self._held_bytes)

    def release(self, count: int) -> None:
        """Count bytes that a body has dropped."""
        self._held_bytes -= count
        self._holding.set(self._held_bytes)
        self._wake()

    def wait(self, body: WaitingBody) -> None:
        """Wake this body once when the pressure has ended."""
        self._waiting[body] = None

    def forget(self, body: WaitingBody) -> None:
        """Do not wake this body any more."""
        self._waiting.pop(body, None)

    def _wake(self) -> None:
        """Wake each waiting body once; one that is full by its own size is resumed as it is sent."""
        if self._waiting and not self.under_pressure:
            self._wake_all()

    def _level_changed(self, before: MemoryLevel, now: MemoryLevel) -> None:
        """Wake those that a lower level has room for; the others wait again."""
        if now < before:
            self._wake_all()

    def _wake_all(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for body in waiting:
            body.resume_if_room()
