"""What one call to discovery, and the watch that it becomes, reports while it lasts and at its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from lupinlink.interface import DiscoveryCallFailed

if TYPE_CHECKING:
    from lupinlink.net.watch import Watch


@dataclass(slots=True, frozen=True)
class WatchEnd:
    """Why a call or a watch is over, and what had come of it until then."""

    why: str
    silent: bool  # it showed no sign of life for too long
    reached: bool  # its connection came up
    answered: bool  # a good head came
    took_ms: float  # since it was begun
    heard_at: float  # its last sign of life
    refused: bool  # discovery answered that it does not serve it

    def as_failed_call(self, call: int, asked_whole: bool) -> DiscoveryCallFailed:
        """The event for a call of this number that told nothing; what a whole list tells counts later."""
        may_have_told = self.answered and not asked_whole
        return DiscoveryCallFailed(
            self.reached, self.answered, self.took_ms, self.silent, may_have_told, self.refused, call
        )


class WatchListener(Protocol):
    """Who a watch tells."""

    @property
    def version(self) -> int:
        """Of the list as it is known."""
        ...

    def late(self, watch: Watch) -> None:
        """It still waits, for its connection or, where lists are pushed, for its answer."""
        ...

    def reached(self, watch: Watch) -> None:
        """Its connection came up."""
        ...

    def answered(self, watch: Watch) -> None:
        """A good head came."""
        ...

    def partial(self, watch: Watch) -> None:
        """Whether something of it has begun and not come whole has changed."""
        ...

    def unchanged(self, watch: Watch) -> None:
        """It shows that nothing has changed: an empty line came, and no object before it."""
        ...

    def take(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """One object of it."""
        ...
