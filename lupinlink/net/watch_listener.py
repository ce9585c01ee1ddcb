"""The events that a call to discovery, and the watch that it becomes, reports to its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from lupinlink.interface import DiscoveryCallFailed

if TYPE_CHECKING:
    from lupinlink.net.watch import Watch


@dataclass(slots=True, frozen=True)
class WatchEnd:
    """Why a call or a watch ended, and how far it had got."""

    why: str
    silent: bool  # there was no activity for too long
    reached: bool  # its connection was established
    answered: bool  # the head of a 200 response arrived
    took_ms: float  # since the call was made
    last_active_at: float  # ms of the process's clock
    refused: bool  # discovery answered with another status than 200

    def as_failed_call(self, call: int, requested_full_list: bool) -> DiscoveryCallFailed:
        """The event for call number ``call``, which delivered nothing.

        A lost response to a watch may have held an update that counts as notified from its write on. The
        response to a request for the full list counts only some time later.
        """
        may_have_notified = self.answered and not requested_full_list
        return DiscoveryCallFailed(
            self.reached, self.answered, self.took_ms, self.silent, may_have_notified, self.refused, call
        )


class WatchListener(Protocol):
    """Receives the events of a watch."""

    @property
    def version(self) -> int:
        """The version of the list that is known, from which a watch starts."""
        ...

    def on_late(self, watch: Watch) -> None:
        """It has waited long for its connection or, where lists are pushed, for the response."""
        ...

    def on_reached(self, watch: Watch) -> None:
        """Its connection is established and the request is written."""
        ...

    def on_answered(self, watch: Watch) -> None:
        """The head of a 200 response arrived."""
        ...

    def on_partial(self, watch: Watch) -> None:
        """An update has begun to arrive or has been completed: see ``watch.partial``."""
        ...

    def on_unchanged(self, watch: Watch) -> None:
        """Nothing has changed: an empty line, or silence of an agent, came in place of a first object."""
        ...

    def on_object(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """A decoded JSON object arrived; ``full``: it is the response to a request for the full list."""
        ...
