"""What the connections of clients need of their owner, and what they keep of a request on its way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from lupinlink.limits.body_progress import BodyProgress
from lupinlink.limits.memory_account import MemoryAccount
from lupinlink.limits.upload_time import UploadTime
from lupinlink.net import http1
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.clients.closing import CloseLog
from lupinlink.net.clients.phases import Phase
from lupinlink.net.counters import Counters
from lupinlink.net.proxy import Proxy
from lupinlink.net.request_types import ClientRequest
from lupinlink.net.timer_wheel import ReactorClock

if TYPE_CHECKING:
    from lupinlink.net.clients.connection import ClientConnection


@dataclass(slots=True)
class IncomingRequest:
    """A request whose body is being received."""

    request: ClientRequest
    progress: BodyProgress
    time: UploadTime


class ConnectionOwner(Protocol):
    """What a connection needs of the owner of all connections."""

    proxy: Proxy
    clock: ReactorClock
    counters: Counters
    account: MemoryAccount
    budget: BodyBudget  # for all request bodies
    close_log: CloseLog
    streaming: dict[ClientConnection, None]  # connections with an answer that is being streamed
    uploading: dict[ClientConnection, None]  # connections with a request that is sent on before its end
    unsent: dict[ClientConnection, None]  # connections with answers that the kernel has not taken

    @property
    def ready(self) -> bool:
        """Whether a load balancer should send clients here."""

    def read_request(self, message: http1.Message, path: str) -> ClientRequest:
        """The request with this head; raises MessageError if it is not valid."""

    def set_phase(self, client: ClientConnection, phase: Phase | None, anew: bool = False) -> None:
        """Set a connection's phase, or restart it with ``anew``; None: the connection has ended."""

    def keeps_open(self, client: ClientConnection) -> bool:
        """Whether a connection is kept open after its answer."""

    def connection_lost(self, client: ClientConnection) -> None:
        """Note that a connection has ended."""
