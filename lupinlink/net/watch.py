"""One call to discovery, and the watch that it becomes once discovery has answered."""

from __future__ import annotations

import json
import logging
import sys
from contextlib import suppress

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from lupinlink.brain.discovery_times import DiscoveryTimes
from lupinlink.net import http1
from lupinlink.net.discovery_requests import full_list_request, watch_request
from lupinlink.net.list_format import MAX_OBJECT_BYTES, ListError, ObjectSplitter
from lupinlink.net.silence_timer import SilenceTimer
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import ReactorClock, Timer
from lupinlink.net.twisted_types import READ_BYTES, Connector, Reactor, Transport
from lupinlink.net.watch_factory import WatchFactory
from lupinlink.net.watch_listener import WatchEnd, WatchListener

log = logging.getLogger(__name__)


class Watch(Protocol):
    """The connection of a call: discovery writes an object for each change, and empty lines as heartbeats."""

    transport: Transport  # type: ignore[assignment]

    def __init__(
        self,
        listener: WatchListener,
        clock: ReactorClock,
        times: DiscoveryTimes,
        address: tuple[str, int],
        full: bool,
        pushed: bool,
    ) -> None:
        """``full``: request the full list before watching; ``pushed``: a local agent answers at once."""
        self.address = address
        self.ended: Deferred[WatchEnd] = Deferred()
        self.number = 0  # number of this call in this process; set by the caller
        self._listener, self._clock, self._times = listener, clock, times
        self.awaits_full_list, self._pushed = full, pushed
        self.requests_full_list = full  # also after it has come
        self._parser = http1.ResponseParser(MAX_OBJECT_BYTES, sys.maxsize)
        self._splitter = ObjectSplitter()
        self.started_at = self._last_active_at = clock.now()
        self.reached = False  # the connection is up and the request is written
        self.answered = False  # the head of a 200 response has arrived
        self.refused = False  # the head of a response with another status has arrived
        self.partial = False  # an update may have begun to arrive, and has not been completed
        self._delivered = False  # an object or an empty line has arrived
        self._silence = SilenceTimer(clock, lambda: self._end("silence", silent=True))
        self._late_timer: Timer | None = None
        self._connector: Connector | None = None
        self._closed = False

    def age_ms(self) -> float:
        """Milliseconds since the call was made."""
        return self._clock.now() - self.started_at

    def dial(self, reactor: Reactor) -> None:
        """Connect. The timers here cover the dial as well, so Twisted's own timeout is off."""
        self._silence.restart(self._times.answer_timeout_ms)
        self._late_timer = self._clock.after(self._times.late_call_after_ms, self._on_late)
        connector = reactor.connectTCP(*self.address, WatchFactory(self), timeout=None)
        if self._closed:
            connector.disconnect()
        else:
            self._connector = connector

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.reached = True
        self._silence.restart(self._times.answer_timeout_ms)
        if not self._pushed:
            self._cancel_late_timer()
        self._send_request()
        self._listener.on_reached(self)

    def _send_request(self) -> None:
        # Versions of one discovery mean nothing to another, so its full list is requested first.
        host, full = self.address[0], self.awaits_full_list
        self.transport.write(full_list_request(host) if full else watch_request(host, self._listener.version))

    def _note_activity(self) -> None:
        """Note a response head, an empty line, or an object's begin or end; other bytes may only drip in."""
        self._last_active_at = self._clock.now()
        self._silence.restart(self._times.silence_timeout_ms)

    def _on_late(self) -> None:
        self._late_timer = None
        self._listener.on_late(self)

    def _cancel_late_timer(self) -> None:
        if self._late_timer is not None:
            self._late_timer.drop()
            self._late_timer = None

    def _on_quiet_agent(self) -> None:
        """A local agent writes at once what has changed, so its silence after the head means no changes."""
        if not self._closed and not self._delivered:
            self._delivered = True
            self._listener.on_unchanged(self)
            self._check_partial()

    def dataReceived(self, data: bytes) -> None:
        if not self._closed:
            with self._clock.iterations.step("discovery"):
                self._process_bytes(data)

    def _process_bytes(self, data: bytes) -> None:
        self._parser.feed(data)
        begins, message, broken = self._parser.head is None, None, None
        try:
            while (message := self._parser.next()) is not None and message.status < 200:
                pass
        except http1.MessageError as exc:
            broken = exc  # what came before it counts as notified
        head = message or self._parser.head
        try:
            if head is not None:
                self._process_response(head, message, begins)
            if broken is not None:
                raise broken
        except (http1.MessageError, ValueError, RecursionError) as exc:
            # Malformed bytes end this connection; the decision module is notified and calls again.
            self.end(str(exc))
        self._check_partial()

    def _process_response(self, head: http1.Message, message: http1.Message | None, begins: bool) -> None:
        if head.status != 200:
            self._set_partial(False)  # an error response carries no update
            self.refused = True
            raise ListError(f"discovery answered {head.status}")
        after_list = self.requests_full_list and not self.awaits_full_list
        if begins and after_list and head.get("content-length") is not None:  # a watch's answer has none
            raise ListError("a second answer to the request for the list")
        if begins:
            self.answered = True
            self._cancel_late_timer()
            self._note_activity()
            self._listener.on_answered(self)
            if not self.awaits_full_list and self._pushed:
                self._clock.after(self._times.unchanged_after_ms, self._on_quiet_agent)
        if self.awaits_full_list:
            if message is not None:
                self._process_full_list(message)
            return
        # Line by line: an object counts as notified even if the one after it is malformed.
        data = message.body if message is not None else self._parser.take_body()
        for line in self._splitter.pieces(data):
            activity = self._splitter.activity
            found = self._splitter.feed(line)
            for item in found:
                if not self._closed:
                    self._delivered = True
                    self._listener.on_object(self, item)
            if self._splitter.activity != activity and not self._closed:
                self._note_activity()
                if not self._delivered and not line.strip():
                    self._delivered = True
                    self._listener.on_unchanged(self)
        if message is not None:
            self.end("discovery ended it")

    def _check_partial(self) -> None:
        # Part of a head or of an object, or a head with nothing after it: its update counts as notified,
        # even if the rest never arrives. After the full list, only what has begun to arrive counts.
        undelivered = self._parser.head is not None and not self._delivered and not self.requests_full_list
        partial = undelivered or self._parser.unfinished or self._splitter.has_partial
        if not self._closed:
            self._set_partial(partial)

    def _set_partial(self, partial: bool) -> None:
        # Reported again while it lasts: one object may have been completed and another one begun since.
        changed, self.partial = partial != self.partial, partial
        if partial or changed:
            self._listener.on_partial(self)

    def _process_full_list(self, message: http1.Message) -> None:
        self._listener.on_object(self, json.loads(message.body), full=True)
        self.awaits_full_list = False
        if message.keeps_open() and not self._parser.buffer:
            self._silence.restart(self._times.answer_timeout_ms)
            self._send_request()
        else:
            self.end("the list came, the watch is still to be asked for")

    def read_pending(self) -> bool:
        """Read what the socket holds without waiting for the reactor; return whether there was anything.

        The end of the connection is left to the reactor. Nothing called from ``dataReceived`` may call this:
        objects would be processed out of order.
        """
        was_read = False
        for _ in range(MAX_OBJECT_BYTES // READ_BYTES):
            if self._closed or self.transport is None or not peek(self.transport):
                break
            was_read = True
            try:
                if self.transport.doRead() is not None:
                    break
            except Exception:  # as the reactor does: bytes read are lost, so end the call; another is made
                log.exception("watch failed")
                self.end("failed inside")
        return was_read

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        # A full list without a Content-Length is complete when the connection closes without a reset.
        answer = self._parser.eof() if isinstance(reason.value, ConnectionDone) and not self._closed else None
        if answer is not None and self.awaits_full_list and answer.status == 200:
            with suppress(ValueError, RecursionError):
                self._listener.on_object(self, json.loads(answer.body), full=True)
        self.end("connection ended")

    def end(self, why: str) -> None:
        """Close the connection, for the reason ``why``; calls after the first have no effect."""
        self._end(why)

    def _end(self, why: str, silent: bool = False) -> None:
        if self._closed:
            return
        self._closed = True
        self._cancel_late_timer()
        self._silence.stop()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()
        took_ms = self._clock.now() - self.started_at
        end = WatchEnd(why, silent, self.reached, self.answered, took_ms, self._last_active_at, self.refused)
        self.ended.callback(end)
