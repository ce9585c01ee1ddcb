"""Calls of the program to the simulated discovery, each answered or failed as the script says."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tests.drain_oracle import OpenWatch, Process
from tests.drain_script import CallFault, Fault, Script
from tests.loopback_servers import chunk
from tests.memory_net import Link, VirtualClock
from tests.simulated_backend_list import Entry, SimulatedBackendList

HEARTBEAT_MS, PIECE_MS, DRIP_MS = 2000.0, 300.0, 1000.0
TRANSIT_MS = 900.0  # from the write of a late or lost answer to its arrival or to the reset
DRIPS = 30
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ANSWERED = CallFault(Fault.OK)


class Discovery(Protocol):
    """What a call uses of the simulated discovery."""

    script: Script
    clock: VirtualClock
    backends: SimulatedBackendList
    quiet: bool

    def wrote(self, process: Process, update: Entry) -> None: ...
    def lost(self, process: Process, update: Entry, at: float) -> None: ...
    def read(self, update: Entry) -> None: ...


@dataclass(frozen=True)
class Written:
    """An object written to a connection."""

    end: int  # the offset of its last byte
    at: float
    update: Entry


class Call:
    """One connection of the program to discovery, from dialling on."""

    def __init__(self, discovery: Discovery, link: Link, where: int, fault: CallFault, of: Process) -> None:
        self.link, self.where, self.fault, self._of = link, where, fault, of
        self._discovery, self._clock = discovery, discovery.clock
        self.watch: OpenWatch | None = None  # once it delivers regularly
        self._request = b""
        self._free_at = 0.0  # when the last object is written in full
        self._unread: list[Written] = []
        link.received, link.on_read, link.on_close = self._received, self._was_read, self.closed

    def _received(self, data: bytes) -> None:
        self._request += data
        if b"\r\n\r\n" in self._request:
            line, self._request = self._request.split(b"\r\n", 1)[0].decode(), b""
            fault, self.fault = self.fault, ANSWERED
            self._later(fault.delay, lambda: self._answer(line.split(" ")[1], fault.fault))

    def _later(self, delay: float, act: Callable[[], None]) -> None:
        if delay:
            self._clock.at(self._clock.now + delay, lambda: act() if self.link.open else None)
        else:
            act()

    def _answer(self, target: str, fault: Fault) -> None:
        if fault is Fault.ERROR:
            self.link.put(UNAVAILABLE)
            self.link.end()
        elif fault is Fault.RESET:
            self.reset()
        elif fault in (Fault.LOST, Fault.LATE):
            self._discovery.wrote(self._of, self._answer_to(target))
            arrive = self.reset if fault is Fault.LOST else lambda: self._respond(target, Fault.OK)
            self._later(TRANSIT_MS, arrive)
        elif fault is not Fault.MUTE:
            self._respond(target, fault)

    def _answer_to(self, target: str) -> Entry:
        backends = self._discovery.backends
        if "watch=1" in target:
            return backends.since(self.where, int(target.rsplit("from=", 1)[1]))
        return backends.full_list(self.where)

    def _respond(self, target: str, fault: Fault) -> None:
        if "watch=1" in target:
            self.link.put(HEAD)
            self._begin_watch(int(target.rsplit("from=", 1)[1]), fault)
            return
        body = self._discovery.backends.text(self._discovery.backends.full_list(self.where))
        self.link.put(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        if fault is Fault.ENDS:
            self.link.end()
        elif fault is Fault.DRIP:
            self._drip(body[: DRIPS - len(body)] if len(body) > DRIPS else body[:-1])
        elif fault is not Fault.HEAD_ONLY:
            self.link.put(body)
            self._written(self._discovery.backends.full_list(self.where))

    def _begin_watch(self, since: int, fault: Fault) -> None:
        if fault is Fault.ENDS:
            self.link.put(b"0\r\n\r\n")
            self.link.end()
        elif fault is Fault.DRIP:
            self._drip(b'{"rev": ' + b" " * DRIPS)
        elif fault is not Fault.HEAD_ONLY:
            update = self._discovery.backends.since(self.where, since, fault is Fault.WHOLE)
            if fault is Fault.BROKEN:
                self.link.put(chunk(self._discovery.backends.text(update).decode()))
                self._written(update)
                self.link.put(chunk("{broken}\n"))
                return
            self.watch = OpenWatch(self._clock.now)
            self._of.watches.append(self.watch)
            if update["targets"] or self._discovery.script.first_empty:
                self.write(update)
            self._schedule_heartbeat()

    def _drip(self, text: bytes) -> None:
        self.link.put(chunk(text[:1].decode()))
        if len(text) > 1:
            self._later(DRIP_MS, lambda: self._drip(text[1:]))

    @property
    def live(self) -> bool:
        """Whether it delivers changes."""
        return self.watch is not None and self.link.open and self.watch.silent_at > self._clock.now

    def write(self, update: Entry) -> None:
        """Write one object after the other, each in two pieces where the script says so."""
        text = self._discovery.backends.text(update)
        if not self._discovery.script.pieces:
            self._put_last(text, update)
            return
        begin, cut = max(self._clock.now, self._free_at), len(text) // 2
        self._free_at = begin + PIECE_MS
        self._clock.at(begin, lambda: self._put(text[:cut]))
        self._clock.at(self._free_at, lambda: self._put_last(text[cut:], update))

    def _put(self, text: bytes) -> None:
        if self.live:
            self.link.put(chunk(text.decode()))

    def _put_last(self, text: bytes, update: Entry) -> None:
        if self.live:
            self._put(text)
            self._written(update)

    def _written(self, update: Entry) -> None:
        self._discovery.wrote(self._of, update)
        self._unread.append(Written(self.link.written, self._clock.now, update))

    def _was_read(self, total: int) -> None:
        while self._unread and self._unread[0].end <= total:
            self._discovery.read(self._unread.pop(0).update)

    def _schedule_heartbeat(self) -> None:
        # All heartbeats come at the same time, so that a script can place events just after one.
        self._clock.at((self._clock.now // HEARTBEAT_MS + 1.0) * HEARTBEAT_MS, self._heartbeat)

    def _heartbeat(self) -> None:
        if self.live:
            if self._clock.now > self._free_at and not self._discovery.quiet:
                self._put(b"\n")
            self._schedule_heartbeat()

    def reset(self) -> None:
        """Reset the connection; unread bytes are lost."""
        self.link.reset()
        unread, self._unread = self._unread, []
        for written in unread:
            self._discovery.lost(self._of, written.update, written.at)

    def silence(self) -> None:
        """Write nothing more, and stay open."""
        if self.watch is not None and self.link.open:
            self.watch.silent_at = min(self.watch.silent_at, self._clock.now)

    def closed(self) -> None:
        """The program has closed the connection."""
        if self.watch is not None:
            self.watch.closed_at = min(self.watch.closed_at, self._clock.now)
