"""One watch on discovery's list, from its dial to its end."""

from __future__ import annotations

import json
import logging
import sys
from contextlib import suppress
from typing import Any
from typing import Protocol as Face

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from lupinlink.net import http1
from lupinlink.net.lists import MAX_LIST, ListError, Objects
from lupinlink.net.socket_peek import peek
from lupinlink.net.typed import READ_BYTES, Connector, Reactor, Transport
from lupinlink.net.wheel import Clockwork, Timer

log = logging.getLogger(__name__)
# An empty line is due every 2 s, and a call waits that long at most: without a sign of life for so long,
# the watch is dead. What it would have told counts as told 6 s late at most, and a slow call comes on top.
SILENCE_MS = 2600.0
SILENCE = "silence"  # as the reason of an end


class Hearer(Face):
    """Who a watch tells."""

    version: int

    def answers(self, watch: Watch) -> None:
        """Its head is here: what has changed comes next, or nothing has."""
        ...

    def take(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """One object of it."""
        ...


class Watch(Protocol):
    """One watch, from its dial to its end; each end comes once."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, hearer: Hearer, clock: Clockwork, address: tuple[str, int], whole: bool) -> None:
        self.address = address
        self.ended: Deferred[str] = Deferred()  # fires with the reason
        self.answered = False  # its head has come
        self._hearer, self._clock, self._whole = hearer, clock, whole
        self._parser = http1.AnswerParser(MAX_LIST, sys.maxsize)
        self._objects = Objects()
        self._silence: Timer | None = None
        self._connector: Connector | None = None
        self._over = False

    def dial(self, reactor: Reactor) -> None:
        """Go out; the silence timer covers the dial as well, so Twisted's own time-out is off."""
        self.heard()
        connector = reactor.connectTCP(*self.address, WatchDial(self), timeout=None)
        if self._over:
            connector.disconnect()
        else:
            self._connector = connector

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._ask()

    def _ask(self) -> None:
        # Another discovery need not go on from the versions of the last one: its whole list comes first.
        query = "" if self._whole else f"?watch=1&from={self._hearer.version}"
        headers = [("Host", self.address[0])] + ([] if self._whole else [("Connection", "close")])
        self.transport.write(http1.request("GET", f"/discovery/hosts{query}", headers))

    def heard(self) -> None:
        """A sign of life: a head, an empty line, an object's beginning or its end.

        Danger: bytes alone are none. What drips for ever tells nothing, and would keep a dead watch.
        """
        if self._silence is not None:
            self._silence.drop()
        self._silence = self._clock.after(SILENCE_MS, self._silent)

    def _silent(self) -> None:
        # Danger: after a pause of this process news may lie unread, and counts as told. One more turn reads.
        self._silence = self._clock.after(0.0, lambda: self.end(SILENCE))

    def dataReceived(self, data: bytes) -> None:
        if self._over:
            return
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

    def _read(self, head: http1.Message, whole: http1.Message | None, begins: bool) -> None:
        if head.status != 200:
            raise ListError(f"discovery answered {head.status}")
        if begins:
            self.answered = True
            self.heard()
            if not self._whole:
                self._hearer.answers(self)
        if self._whole:
            if whole is not None:
                self._take_list(whole)
            return
        # Line by line: an object counts as told though the next one is broken.
        for line in (whole.body if whole is not None else self._parser.drain()).splitlines(keepends=True):
            signs = self._objects.signs
            for one in self._objects.feed(line):
                if not self._over:
                    self._hearer.take(self, one)
            if self._objects.signs != signs and not self._over:
                self.heard()
        if whole is not None:
            self.end("discovery ended it")

    def _take_list(self, whole: http1.Message) -> None:
        self._hearer.take(self, json.loads(whole.body), full=True)
        self._whole = False
        if whole.keeps_open():
            self.heard()
            self._ask()
        else:
            self.end("the list came, the watch is still to be asked for")

    def read_waiting(self) -> bool:
        """Read what waits in the socket without waiting for the reactor; whether there was anything.

        An end that waits is left to the reactor. From ``dataReceived`` nothing may come back here: objects
        would be taken out of their order.
        """
        was_read = False
        for _ in range(MAX_LIST // READ_BYTES):
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
                self._hearer.take(self, json.loads(whole.body), full=True)
        self.end("connection ended")

    def end(self, why: str) -> None:
        """No more of this one, whichever side ends it."""
        if self._over:
            return
        self._over = True
        if self._silence is not None:
            self._silence.drop()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()
        self.ended.callback(why)


class WatchDial(ClientFactory):
    """Brings one watch's connection up."""

    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, addr: object) -> Watch:
        return self._watch

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        self._watch.end("no connection")
