"""An event loop over links in memory; each iteration runs due timers, then reads and writes."""
# ruff: noqa: N802, N803

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from tests.memory_net import Link, MemoryConnector, MemoryTransport, VirtualClock


class MemoryReactor:
    """The reactor of one process. An iteration takes no virtual time; the test moves the clock in between."""

    running = True

    def __init__(self, clock: VirtualClock, dial: Callable[[str, int], Link]) -> None:
        self._clock, self._dial = clock, dial
        self._calls: list[DelayedCall] = []
        self._readers: dict[MemoryTransport, None] = {}  # in order of registration
        self._writers: dict[MemoryTransport, None] = {}
        self.dials: list[MemoryConnector] = []
        self._links: list[Link] = []

    def seconds(self) -> float:
        return self._clock.now / 1000.0

    def callLater(self, delay: float, call: Callable[..., None], *args: Any) -> DelayedCall:
        at = self.seconds() + delay
        delayed = DelayedCall(at, call, args, {}, self._calls.remove, lambda _: None, self.seconds)
        self._calls.append(delayed)
        return delayed

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float | None = 30
    ) -> MemoryConnector:
        link = self._dial(host, port)
        self._links.append(link)
        connector = MemoryConnector(self, factory, link)
        self.dials.append(connector)
        return connector

    def addReader(self, reader: MemoryTransport) -> None:
        self._readers[reader] = None

    def addWriter(self, writer: MemoryTransport) -> None:
        self._writers[writer] = None

    def removeReader(self, reader: MemoryTransport) -> None:
        self._readers.pop(reader, None)

    def removeWriter(self, writer: MemoryTransport) -> None:
        self._writers.pop(writer, None)

    def next_at(self) -> float | None:
        """The time of the next timer, in seconds."""
        return min((call.time for call in self._calls), default=None) if self._calls else None

    def iterate(self) -> bool:
        """Run one iteration; returns whether it did anything."""
        now = self.seconds()
        due = sorted((call for call in self._calls if call.time <= now), key=lambda call: call.time)
        for call in due:
            if call.active():
                self._calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        dials = [dial for dial in self.dials if dial.link.up or dial.link.refused]
        readers = [reader for reader in self._readers if reader.link.readable()]
        writers = list(self._writers)
        for dial in dials:
            if dial in self.dials:
                dial.settle()
        for reader in readers:
            if reader in self._readers:
                self._ended(reader, reader.doRead())
        for writer in writers:
            if writer in self._writers:
                self._ended(writer, writer.doWrite())
        return bool(due or dials or readers or writers)

    def _ended(self, transport: MemoryTransport, why: Any) -> None:
        if why:
            self.removeReader(transport)
            self.removeWriter(transport)
            transport.connectionLost(Failure(why))  # type: ignore[no-untyped-call]

    def die(self) -> None:
        """The process ends: the kernel closes its connections."""
        self._calls.clear()
        for link in self._links:
            link.close()
