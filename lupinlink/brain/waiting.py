"""Requests that wait for a trusted list or for a backend with room. Only keeps the queues."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from lupinlink.interface import Request


class WaitingFor(Enum):
    """What ends the wait of a request."""

    LIST = "discovery has told"
    BACKEND = "a backend may take it"


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request and what it waits for."""

    request: Request
    cause: WaitingFor

    @property
    def name(self) -> str:
        """The request's id."""
        return self.request.arrival.request_id


class WaitingRequests:
    """One queue for each cause, in the order of arrival."""

    def __init__(self) -> None:
        # Ordered ones find their first entry at once, even where those before it were removed.
        self._queues: dict[WaitingFor, OrderedDict[str, WaitingRequest]] = {
            cause: OrderedDict() for cause in WaitingFor
        }

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def add(self, request: Request, cause: WaitingFor) -> WaitingRequest:
        """Queue a request."""
        waiting = WaitingRequest(request, cause)
        self._queues[cause][waiting.name] = waiting
        return waiting

    def move(self, waiting: WaitingRequest, cause: WaitingFor) -> None:
        """Move a waiting request to another queue."""
        self._queues[waiting.cause].pop(waiting.name, None)
        waiting.cause = cause
        self._queues[cause][waiting.name] = waiting

    def remove(self, request: Request) -> None:
        """Drop a request from its queue, if it waits."""
        for queue in self._queues.values():
            queue.pop(request.arrival.request_id, None)

    def find(self, request: Request) -> WaitingRequest | None:
        """The entry of a request, or None if it does not wait."""
        for queue in self._queues.values():
            if (waiting := queue.get(request.arrival.request_id)) is not None:
                return waiting
        return None

    def oldest(self, cause: WaitingFor, most: int) -> list[WaitingRequest]:
        """The oldest entries of a queue, the oldest first; not more than ``most``."""
        return list(islice(self._queues[cause].values(), most))

    def newest(self, cause: WaitingFor, most: int | None = None) -> list[WaitingRequest]:
        """The same, the newest first: under overload an answer to the oldest would come too late."""
        return list(islice(reversed(self._queues[cause].values()), most))

    def any(self, cause: WaitingFor) -> bool:
        """Whether the queue has any request."""
        return bool(self._queues[cause])
