"""One attempt to send a request to an application server, from its start to its result."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from lupinlink.interface import Status
from lupinlink.limits.connection_reuse import ConnectionReuse
from lupinlink.limits.memory_account import MemoryAccount
from lupinlink.net.bodies import Body
from lupinlink.net.counters import Counters
from lupinlink.net.log import LineLimit
from lupinlink.net.request_types import AttemptResult, EndReason
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.settings import Settings

log = logging.getLogger("lupinlink.net.application_servers")
NOTE_DATA_MS = 25.0  # between two notes of an answer that arrives in pieces
# Ends by a bound or a decision of this process, not by the server.
GIVEN_UP_REASONS = {
    EndReason.GIVEN_UP,
    EndReason.ANSWER_STALLED,
    EndReason.UPLOAD_STALLED,
    EndReason.ARRIVES_TOO_LATE,
}


class ServerPools(Protocol):
    """What an attempt or a connection needs of the pools of all application servers."""

    clock: ReactorClock
    settings: Settings
    counters: Counters
    account: MemoryAccount
    connections: Slots[object]  # established, or being established
    unrequested_lines: LineLimit
    given_up_lines: LineLimit
    list_is_held: Callable[[], bool]  # whether no request may be written at present
    reuse: ConnectionReuse
    read_pending_updates: Callable[[], bool]  # reads what discovery sent; True if an update is incomplete

    def close_idle(self, why: EndReason) -> None:
        """Close the idle connections to all servers."""
        ...


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    def drop(self, why: EndReason) -> None: ...
    def read_pending(self) -> None: ...
    def has_arrived(self) -> bool:
        """Whether its server's machine has received all of the request."""
        ...

    def progress(self) -> Progress:
        """How far the attempt that it carries has come."""
        ...

    def stream_now(self) -> bool:
        """Stream what has come of an answer that is known to be long; False if there is none."""
        ...


class PendingConnection(Protocol):
    """A connection that is being established for an attempt."""

    def abandon(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Progress:
    """How far an attempt has come on its connection."""

    request_written: bool  # the kernel has taken all of the request
    answer_begun: bool
    body_bytes: int  # of the answer, so far


@dataclass(frozen=True, slots=True)
class Carrier:
    """The connection of an attempt, when it was sent."""

    handle: int
    requests_before: int  # that it had carried; 0: it is new
    rested_ms: float  # since the last of them


class Attempt:
    """One attempt: ``ended`` fires once, after its connection was returned to the pool or closed."""

    def __init__(
        self,
        servers: ServerPools,
        server: str,
        encode: Callable[[float], tuple[bytes, Body | None]],
        until_ms: float,
        arrive_by_ms: float = math.inf,
        wanted: Callable[[], bool] = lambda: True,
        only_head: bool = False,
        identity: str = "",
    ) -> None:
        """``encode``: called with the ms left at sending; ``wanted``: whether anyone waits for it.

        ``arrive_by_ms``: when its last byte has to have arrived; later, it could run a second time.
        ``identity``: of its request; empty for a probe.
        """
        self.ended: Deferred[AttemptResult] = Deferred()
        self.server, self.only_head, self.identity = server, only_head, identity
        self._began = servers.clock.now()
        self._carrier: Carrier | None = None
        self._progress: Progress | None = None  # when it was given up
        self._encode, self._until, self._arrive_by, self._wanted = encode, until_ms, arrive_by_ms, wanted
        self.connection: AttemptConnection | None = None
        self.dial: PendingConnection | None = None
        self._servers = servers
        self._open = True
        self.on_answer_data: Callable[[], None] | None = None
        self._data_noted_at = -math.inf
        self._deadline = servers.clock.at(until_ms, self._time_is_up)
        self._arrival_deadline: int | None = None

    def may_begin(self, round_trip_ms: float) -> bool:
        """Whether it may still be sent: wanted, and early enough for its server to drop a duplicate.

        ``round_trip_ms``: to the server, which it has to reach in time.
        """
        now = self._servers.clock.now()
        late = now + round_trip_ms >= min(self._until, self._arrive_by)
        return self._open and not late and self._wanted() and self._open  # _wanted() may end the attempt

    @property
    def is_open(self) -> bool:
        """Whether it has not ended yet."""
        return self._open

    def left_ms(self) -> float:
        """The time left until its time-out."""
        return self._until - self._servers.clock.now()

    def sent_on(self, carrier: Carrier, round_trip_ms: float) -> None:
        """Note the connection that it is sent on; from now on it has to arrive in time, if ever it has to."""
        self._carrier = carrier
        if self._arrive_by < math.inf:
            at = self._arrive_by - round_trip_ms
            self._arrival_deadline = self._servers.clock.at(at, self._must_have_arrived)

    def _must_have_arrived(self) -> None:
        """End it if part of it has not arrived: its server may have forgotten the earlier attempt by then.

        What is not with the kernel can never arrive; what is may have arrived, though that is not known here.
        """
        if self.connection is not None:
            self.connection.read_pending()
        if self._open and self.connection is not None and not self.connection.has_arrived():
            self._servers.counters["attempts_too_late"] += 1
            written = self.connection.progress().request_written
            self.give_up(Status.CANCELLED if written else Status.NOT_SENT, EndReason.ARRIVES_TOO_LATE)

    def request(self) -> tuple[bytes, Body | None]:
        """The bytes to write now, and the body that follows them, if any."""
        return self._encode(self.left_ms())

    def set_deadline(self, at_ms: float) -> None:
        """Change the time of its time-out."""
        if self._open:
            self._until = at_ms
            self._servers.clock.drop(self._deadline)
            self._deadline = self._servers.clock.at(at_ms, self._time_is_up)

    def end(self, end: AttemptResult) -> None:
        """Report the result; without effect if it has ended already."""
        if self._open:
            self._open = False
            self._servers.clock.drop(self._deadline)
            if self._arrival_deadline is not None:
                self._servers.clock.drop(self._arrival_deadline)
            self._log_end(end)
            self.ended.callback(end)

    def _log_end(self, end: AttemptResult) -> None:
        if log.isEnabledFor(logging.DEBUG):
            log.debug("attempt ended", extra={"kv": self._description(end)})
        elif end.why in GIVEN_UP_REASONS and (
            events := self._servers.given_up_lines.take(self._servers.clock.now())
        ):
            log.info("attempt given up", extra={"kv": {**self._description(end), "events": events}})

    def _description(self, end: AttemptResult) -> dict[str, object]:
        kv: dict[str, object] = {
            "id": self.identity,
            "server": self.server,
            "status": end.status.name,
            "why": end.why.value,
            "took_ms": round(self._servers.clock.now() - self._began, 1),
        }
        if self._carrier is not None:
            kv |= {"connection": self._carrier.handle, "reused": self._carrier.requests_before,
                   "rested_ms": round(self._carrier.rested_ms, 1)}  # fmt: skip
        if self._progress is not None:
            kv |= {"written": self._progress.request_written, "answer_begun": self._progress.answer_begun,
                   "body_bytes": self._progress.body_bytes}  # fmt: skip
        return kv

    def answer_goes_on(self) -> None:
        """Part of its answer has come, and the rest may take long."""
        now = self._servers.clock.now()
        if self.on_answer_data is not None and now >= self._data_noted_at + NOTE_DATA_MS:
            self._data_noted_at = now
            self.on_answer_data()

    def _time_is_up(self) -> None:
        if self.connection is not None:
            self.connection.read_pending()
        if self._open and (self.connection is None or not self.connection.stream_now()):
            self.give_up(Status.TIMEOUT)

    def give_up(self, status: Status, why: EndReason = EndReason.GIVEN_UP) -> None:
        """End it with this status; its connection is closed before anything else can be sent on it.

        An answer that has arrived takes precedence: after a pause of this process, timers run before reads.
        """
        if self._open and self.connection is not None:
            self.connection.read_pending()
        if not self._open:
            return
        dial, connection = self.dial, self.connection
        self.dial = self.connection = None
        if dial is not None:
            dial.abandon()
        if connection is not None:
            self._progress = connection.progress()
            connection.drop(why)
        self.end(AttemptResult(status, why=why))

    def cancel_if_unsent(self) -> None:
        """End it if its connection is still being established, so that nothing of it is ever written."""
        if self.dial is not None:
            self.give_up(Status.NOT_SENT)
