"""Which requests may not run (again) here: those that were sent before, by this process or another one."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lupinlink.clock import Clock
from lupinlink.interface import Effect
from lupinlink.limits.identity_memory import IdentityMemory, digest
from lupinlink.net.request_types import ClientRequest
from lupinlink.settings import Settings


class SentIdentities:
    """The requests of classes that are not safe to repeat, after their end."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings, self._clock = settings, clock
        self._memory = IdentityMemory(settings.max_open_requests)
        # Set for an upgrade: called once for each request that is sent and may not run twice.
        self.on_sent: Callable[[int], None] | None = None

    def __len__(self) -> int:
        return len(self._memory)

    def _runs_once(self, request: ClientRequest) -> bool:
        return self._settings.classes[request.class_index].effect != Effect.SAFE

    def forbid(self, request: ClientRequest) -> bool:
        """Whether a request with this id may have run before, so that this one may not."""
        return self._runs_once(request) and digest(request.identity) in self._memory

    def sending(self, request: ClientRequest) -> None:
        """The first attempt of this request begins."""
        if self.on_sent is not None and self._runs_once(request):
            self.on_sent(digest(request.identity))

    def may_have_run(self, request: ClientRequest) -> None:
        """The request has ended, and may have run."""
        if self._runs_once(request):
            self.sent_elsewhere([digest(request.identity)])

    def sent_elsewhere(self, digests: Iterable[int]) -> None:
        """Requests with ids of these digests have been sent."""
        for kept in digests:
            self._memory.add(kept, self._clock.now())

    def digests(self, in_flight: Iterable[ClientRequest]) -> list[int]:
        """Of all requests that may not run again; ``in_flight``: those that have not ended."""
        return [*self._memory, *(digest(one.identity) for one in in_flight if self._runs_once(one))]
