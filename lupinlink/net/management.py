"""The operators' door: a listener of its own, one call a connection. It only calls the service's state."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from lupinlink.net import http1
from lupinlink.net.counters import Counters
from lupinlink.net.timer_wheel import ReactorClock, Timer
from lupinlink.net.twisted_types import Transport

log = logging.getLogger(__name__)
CALL_MS = 10000.0  # some callers take seconds before they ask; nobody in earnest takes so long
LINGER_MS = 1000.0  # so long may a caller take to read its answer and close
MOST_BODY = 4096  # no call of the service itself needs one
# A call: its query and body in, status and text of the answer out. It answers at once.
Call = Callable[[str, bytes], tuple[int, str]]
Calls = Mapping[str, Mapping[str, Call]]


class WrongAskError(Exception):
    """A call that was asked wrongly; ``status`` 4xx, the text one plain line."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def yes_or_no(call: Callable[[], bool]) -> Call:
    """A call that is answered with yes (200) or no (503), whatever comes with it."""
    return lambda query, body: (200, "yes\n") if call() else (503, "no\n")


def most_callers(sockets: int) -> int:
    """How many may stand at the door at once; their descriptors are reserved."""
    return max(4, min(16, sockets // 24))


class Caller(Protocol):
    """One connection of an operator."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, door: Management) -> None:
        self._door = door
        self._parser = http1.RequestParser(door.most_body)
        self._timer: Timer | None = None
        self.answered = False

    def connectionMade(self) -> None:
        self._timer = self._door.clock.after(CALL_MS, self.end)

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
            self._answer(*self._door.call(message))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._timer is not None:
            self._timer.drop()
        self._door.lost(self)

    def _answer(self, status: int, text: str, more: tuple[tuple[str, str], ...] = ()) -> None:
        self.answered = True
        headers = [("Content-Type", "text/plain"), *more]
        self.transport.write(http1.response(status, headers, text.encode(), close=True))
        # Only our side ends: closing over bytes that are still unread would take the answer along.
        self.transport.loseWriteConnection()
        if self._timer is not None:
            self._timer.drop()
        self._timer = self._door.clock.after(LINGER_MS, self.end)

    def end(self) -> None:
        self.transport.abortConnection()


class Management(ServerFactory):
    """Callers stand in the order they came; when the door is full, who has been silent longest gives way."""

    noisy = False

    def __init__(
        self, calls: Calls, most: int, clock: ReactorClock, counters: Counters, most_body: int = MOST_BODY
    ) -> None:
        """``most``: callers at once; ``most_body``: bytes of a call's body."""
        self.clock, self.most_body = clock, most_body
        self._calls, self._most, self._counters = calls, most, counters
        self._callers: dict[Caller, None] = {}

    def buildProtocol(self, addr: object) -> Caller:
        if len(self._callers) >= self._most:
            # Danger: silent callers that fill the door would keep the call out that matters.
            oldest = next((c for c in self._callers if c.answered), next(iter(self._callers)))
            self.lost(oldest)
            oldest.end()
            self._counters["callers_gave_way"] += 1
        caller = Caller(self)
        self._callers[caller] = None
        return caller

    def lost(self, caller: Caller) -> None:
        """A caller has gone."""
        self._callers.pop(caller, None)

    def call(self, message: http1.Message) -> tuple[int, str, tuple[tuple[str, str], ...]]:
        """Carry out what was asked: status, text and further headers of the answer."""
        path, _, query = message.target.partition("?")
        methods = self._calls.get(path)
        if methods is None:
            return 404, "no such call\n", ()
        call = methods.get(message.method)
        if call is None:
            return 405, "method not allowed\n", (("Allow", ", ".join(methods)),)
        self._counters["calls"] += 1
        try:
            status, text = call(query, message.body)
        except WrongAskError as exc:
            status, text = exc.status, str(exc)
        except Exception:
            log.exception("call failed", extra={"kv": {"call": path}})
            return 500, "internal error\n", ()
        said = "yes" if 200 <= status < 300 else "no"
        log.info("call", extra={"kv": {"call": f"{message.method} {path}", "answer": said}})
        return status, text if text.endswith("\n") else f"{text}\n", ()

    def gauges(self) -> dict[str, int]:
        """Who stands here."""
        return {"callers": len(self._callers)}
