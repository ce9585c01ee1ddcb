"""One watch on discovery's list, from its dial to its end."""

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
from lupinlink.net.list_format import MAX_OBJECT_BYTES, ListError, ObjectSplitter
from lupinlink.net.socket_peek import peek
from lupinlink.net.timer_wheel import ReactorClock, Timer
from lupinlink.net.twisted_types import READ_BYTES, Connector, Reactor, Transport
from lupinlink.net.watch_factory import WatchFactory
from lupinlink.net.watch_listener import WatchEnd, WatchListener

log = logging.getLogger(__name__)


class Watch(Protocol):
    """One call to discovery and the watch that it becomes, from its dial to its one end."""

    transport: Transport  # type: ignore[assignment]

    def __init__(
        self,
        listener: WatchListener,
        clock: ReactorClock,
        times: DiscoveryTimes,
        address: tuple[str, int],
        whole: bool,
        pushed: bool,
    ) -> None:
        """``whole``: ask for the whole list first; ``pushed``: a local agent answers at once."""
        self.address = address
        self.ended: Deferred[WatchEnd] = Deferred()
        self.number = 0  # of this call in its process; set by who makes it
        self._listener, self._clock, self._times = listener, clock, times
        self._whole, self._pushed = whole, pushed
        self.asks_whole = whole  # at first
        self._parser = http1.ResponseParser(MAX_OBJECT_BYTES, sys.maxsize)
        self._objects = ObjectSplitter()
        self.began = self._heard_at = clock.now()
        self.reached = False  # its connection came up, and the request was written
        self.answered = False  # a good head has come
        self.refused = False  # the head of another answer has come
        self.partial = False  # something has begun, and not come whole
        self._told = False  # an object or an empty line has come
        self._expiry: Timer | None = None  # what it waits for has to come by then
        self._late: Timer | None = None
        self._connector: Connector | None = None
        self._over = False

    def age(self) -> float:
        """How long ago it was begun, in ms."""
        return self._clock.now() - self.began

    def dial(self, reactor: Reactor) -> None:
        """Go out; our timers cover the dial as well, so Twisted's own time-out is off."""
        self._expect(self._times.answer_timeout_ms)
        self._late = self._clock.after(self._times.late_call_after_ms, self._is_late)
        connector = reactor.connectTCP(*self.address, WatchFactory(self), timeout=None)
        if self._over:
            connector.disconnect()
        else:
            self._connector = connector

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.reached = True
        self._expect(self._times.answer_timeout_ms)
        if not self._pushed:
            self._drop_late()
        self._ask()
        self._listener.reached(self)

    def _ask(self) -> None:
        # Another discovery need not go on from the versions of the last one: its whole list comes first.
        query = "" if self._whole else f"?watch=1&from={self._listener.version}"
        headers = [("Host", self.address[0])] + ([] if self._whole else [("Connection", "close")])
        self.transport.write(http1.request("GET", f"/discovery/hosts{query}", headers))

    def _heard(self) -> None:
        """A sign of life: a head, an empty line, an object's beginning or its end.

        Danger: bytes alone are none. What drips for ever tells nothing, and would keep a dead watch.
        """
        self._heard_at = self._clock.now()
        self._expect(self._times.silence_timeout_ms)

    def _expect(self, within_ms: float) -> None:
        """The next sign of life has to come within that time."""
        if self._expiry is not None:
            self._expiry.drop()
        self._expiry = self._clock.after(within_ms, self._expired)

    def _expired(self) -> None:
        # Danger: after a pause of this process news may lie unread, and counts as told. One more turn reads.
        self._expiry = self._clock.after(0.0, lambda: self._end("silence", silent=True))

    def _is_late(self) -> None:
        self._late = None
        self._listener.late(self)

    def _drop_late(self) -> None:
        if self._late is not None:
            self._late.drop()
            self._late = None

    def _quiet(self) -> None:
        """An agent answers at once with what it has; so it has nothing."""
        if not self._over and not self._told:
            self._told = True
            self._listener.unchanged(self)
            self._look_for_partial()

    def dataReceived(self, data: bytes) -> None:
        if not self._over:
            with self._clock.iterations.step("discovery"):
                self._take_bytes(data)

    def _take_bytes(self, data: bytes) -> None:
        self._parser.feed(data)
        begins, whole, broken = self._parser.head is None, None, None
        try:
            whole = self._parser.next()
        except http1.MessageError as exc:
            broken = exc  # what came before counts as told
        head = whole or self._parser.head
        try:
            if head is not None:
                self._read(head, whole, begins)
            if broken is not None:
                raise broken
        except (http1.MessageError, ValueError, RecursionError) as exc:
            # Broken bytes end this connection; the module is told and asks again.
            self.end(str(exc))
        self._look_for_partial()

    def _read(self, head: http1.Message, whole: http1.Message | None, begins: bool) -> None:
        if head.status != 200:
            self._set_partial(False)  # it brings no news
            self.refused = True
            raise ListError(f"discovery answered {head.status}")
        if begins:
            self.answered = True
            self._drop_late()
            self._heard()
            self._listener.answered(self)
            if not self._whole and self._pushed:
                self._clock.after(self._times.unchanged_after_ms, self._quiet)
        if self._whole:
            if whole is not None:
                self._take_list(whole)
            return
        # Line by line: an object counts as told though the next one is broken.
        data = whole.body if whole is not None else self._parser.take_body()
        for line in self._objects.take_middle(data).splitlines(keepends=True):
            signs = self._objects.signs
            found = self._objects.feed(line)
            for one in found:
                if not self._over:
                    self._told = True
                    self._listener.take(self, one)
            if self._objects.signs != signs and not self._over:
                self._heard()
                if not self._told and not line.strip():
                    self._told = True
                    self._listener.unchanged(self)
        if whole is not None:
            self.end("discovery ended it")

    def _look_for_partial(self) -> None:
        """Danger: the first byte of an answer may be the last that ever comes of news that count as told."""
        untold = self._parser.head is not None and not self._told
        partial = untold or self._parser.unfinished or self._objects.begun
        if not self._over:
            self._set_partial(partial)

    def _set_partial(self, partial: bool) -> None:
        """Told again while it lasts: an object that came whole in between has ended what was begun before."""
        changed, self.partial = partial != self.partial, partial
        if partial or changed:
            self._listener.partial(self)

    def _take_list(self, whole: http1.Message) -> None:
        self._listener.take(self, json.loads(whole.body), full=True)
        self._whole = False
        if whole.keeps_open():
            self._expect(self._times.answer_timeout_ms)
            self._ask()
        else:
            self.end("the list came, the watch is still to be asked for")

    def read_waiting(self) -> bool:
        """Read what waits in the socket without waiting for the reactor; whether there was anything.

        An end that waits is left to the reactor. From ``dataReceived`` nothing may come back here: objects
        would be taken out of their order.
        """
        was_read = False
        for _ in range(MAX_OBJECT_BYTES // READ_BYTES):
            if self._over or self.transport is None or not peek(self.transport):
                break
            was_read = True
            try:
                if self.transport.doRead() is not None:
                    break
            except Exception:  # as the reactor would: what was read of it is lost, so it is asked anew
                log.exception("watch failed")
                self.end("failed inside")
        return was_read

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        # A list without a length is whole at the connection's end, if that is no reset.
        whole = self._parser.eof() if isinstance(reason.value, ConnectionDone) and not self._over else None
        if whole is not None and self._whole and whole.status == 200:
            with suppress(ValueError, RecursionError):
                self._listener.take(self, json.loads(whole.body), full=True)
        self.end("connection ended")

    def end(self, why: str) -> None:
        """No more of this one, whichever side ends it."""
        self._end(why)

    def _end(self, why: str, silent: bool = False) -> None:
        if self._over:
            return
        self._over = True
        self._drop_late()
        if self._expiry is not None:
            self._expiry.drop()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()
        took_ms = self._clock.now() - self.began
        end = WatchEnd(why, silent, self.reached, self.answered, took_ms, self._heard_at, self.refused)
        self.ended.callback(end)
