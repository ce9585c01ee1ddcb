"""The management API for operators: an HTTP listener of its own that answers one call per connection."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from lupinlink.net import http1
from lupinlink.net.counters import Counters
from lupinlink.net.immediate_write import end_sending_now, write_now
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import ReactorClock, Timer
from lupinlink.net.twisted_types import Transport

log = logging.getLogger(__name__)
REQUEST_TIMEOUT_MS = 10000.0  # some callers take seconds to send a request, none takes this long
CLOSE_TIMEOUT_MS = 1000.0  # for the caller to read its answer and close the connection
MAX_OWN_BODY_BYTES = 4096  # the service's own calls need no body
# Takes the query and the body of a call, returns the status and text of the answer. It must not block.
Handler = Callable[[str, bytes], tuple[int, str]]
Routes = Mapping[str, Mapping[str, Handler]]


class BadCallError(Exception):
    """A call with an invalid query or body; ``status`` is 4xx, the message one line for the caller."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def yes_or_no(call: Callable[[], bool]) -> Handler:
    """A handler that answers yes (200) or no (503) and ignores the query and body."""
    return lambda query, body: (200, "yes\n") if call() else (503, "no\n")


def connection_limit(sockets: int) -> int:
    """The number of simultaneous connections to the API, for which descriptors are reserved."""
    return max(4, min(16, sockets // 24))


class ManagementConnection(Protocol):
    """One connection of an operator."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, api: ManagementApi) -> None:
        self._api = api
        self._parser = http1.RequestParser(api.max_body_bytes)
        self._timer: Timer | None = None
        self.answered = False

    def connectionMade(self) -> None:
        self._timer = self._api.clock.after(REQUEST_TIMEOUT_MS, self.end)

    def dataReceived(self, data: bytes) -> None:
        if self.answered:
            return
        self._parser.feed(data)
        try:
            message = self._parser.next()
        except http1.MessageError as exc:
            self._answer(exc.status, f"{exc}\n")
            return
        if message is not None:
            self._answer(*self._api.call(message))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._timer is not None:
            self._timer.drop()
        self._api.on_closed(self)

    def _answer(self, status: int, text: str, more: tuple[tuple[str, str], ...] = ()) -> None:
        self.answered = True
        headers = [("Content-Type", "text/plain"), *more]
        write_now(self.transport, http1.response(status, headers, text.encode(), close=True))
        # Only the write side is closed: closing with unread bytes sends a reset that may discard the answer.
        end_sending_now(self.transport)
        if self._timer is not None:
            self._timer.drop()
        self._timer = self._api.clock.after(CLOSE_TIMEOUT_MS, self.end)

    def give_way(self) -> None:
        """End it to make room for another one; a call that has arrived is answered first."""
        if not self.answered and peek(self.transport):
            self.transport.doRead()
        if self.answered:
            self.transport.loseConnection()  # not an abort: its reset could overtake the answer
        else:
            self.end()

    def end(self) -> None:
        self.transport.abortConnection()


class ManagementApi(ServerFactory):
    """Routes calls to their handlers.

    At the limit, a new connection displaces the oldest one that was answered, else the oldest one.
    """

    noisy = False

    def __init__(
        self,
        routes: Routes,
        max_connections: int,
        clock: ReactorClock,
        counters: Counters,
        max_body_bytes: int = MAX_OWN_BODY_BYTES,
    ) -> None:
        """``max_connections``: at the same time; ``max_body_bytes``: of one call."""
        self.clock, self.max_body_bytes = clock, max_body_bytes
        self._routes, self._max_connections, self._counters = routes, max_connections, counters
        self._connections: dict[ManagementConnection, None] = {}

    def buildProtocol(self, addr: object) -> ManagementConnection:
        if len(self._connections) >= self._max_connections:
            # Otherwise silent connections could lock out an operator's call.
            oldest = next((c for c in self._connections if c.answered), next(iter(self._connections)))
            self.on_closed(oldest)
            oldest.give_way()
            self._counters["callers_gave_way"] += 1
        connection = ManagementConnection(self)
        self._connections[connection] = None
        return connection

    def on_closed(self, connection: ManagementConnection) -> None:
        """A connection was closed."""
        self._connections.pop(connection, None)

    def call(self, message: http1.Message) -> tuple[int, str, tuple[tuple[str, str], ...]]:
        """Handle a call; returns the status, text and further headers of the answer."""
        path, _, query = message.target.partition("?")
        methods = self._routes.get(path)
        if methods is None:
            return 404, "no such call\n", ()
        call = methods.get(message.method)
        if call is None:
            return 405, "method not allowed\n", (("Allow", ", ".join(methods)),)
        self._counters["calls"] += 1
        try:
            status, text = call(query, message.body)
        except BadCallError as exc:
            status, text = exc.status, str(exc)
        except Exception:
            log.exception("call failed", extra={"kv": {"call": path}})
            return 500, "internal error\n", ()
        answer = "yes" if 200 <= status < 300 else "no"
        log.info("call", extra={"kv": {"call": f"{message.method} {path}", "answer": answer}})
        return status, text if text.endswith("\n") else f"{text}\n", ()

    def gauges(self) -> dict[str, int]:
        """The number of open connections, for the counters' log line."""
        return {"callers": len(self._connections)}
