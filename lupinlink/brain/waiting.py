"""Requests that wait: for discovery to tell, or for a backend that may take them. Pure bookkeeping."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lupinlink.interface import Request


class WaitingFor(Enum):
    """What ends a request's wait."""

    LIST = "discovery has told"
    BACKEND = "a backend may take it"


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """One request's wait."""

    request: Request
    cause: WaitingFor

    @property
    def name(self) -> str:
        """The request's."""
        return self.request.arrival.request_id


class WaitingRequests:
    """One queue for each cause, in the order of arrival."""

    def __init__(self) -> None:
        self._queues: dict[WaitingFor, dict[str, WaitingRequest]] = {cause: {} for cause in WaitingFor}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def add(self, request: Request, cause: WaitingFor) -> WaitingRequest:
        """It waits from now on."""
        waiting = WaitingRequest(request, cause)
        self._queues[cause][waiting.name] = waiting
        return waiting

    def move(self, waiting: WaitingRequest, cause: WaitingFor) -> None:
        """It waits for something else now."""
        self._queues[waiting.cause].pop(waiting.name, None)
        waiting.cause = cause
        self._queues[cause][waiting.name] = waiting

    def remove(self, request: Request) -> None:
        """It waits no longer, if it did."""
        for queue in self._queues.values():
            queue.pop(request.arrival.request_id, None)

    def find(self, request: Request) -> WaitingRequest | None:
        """Its wait, if it waits."""
        for queue in self._queues.values():
            if (waiting := queue.get(request.arrival.request_id)) is not None:
                return waiting
        return None

    def queue(self, cause: WaitingFor) -> list[WaitingRequest]:
        """Those that wait for this, in their order."""
        return list(self._queues[cause].values())

    def newest(self, cause: WaitingFor) -> list[WaitingRequest]:
        """The same, the newest first: under overload an answer to the oldest would come too late."""
        return self.queue(cause)[::-1]

    def any(self, cause: WaitingFor) -> bool:
        """Whether a request waits for this."""
        return bool(self._queues[cause])
