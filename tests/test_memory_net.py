"""The reactor and TCP in memory behave as Twisted and the kernel do."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from tests.memory_net import Link, VirtualClock
from tests.memory_reactor import MemoryReactor


class RecordingProtocol(Protocol):
    """Records received data and the end of the connection."""

    transport: Any

    def __init__(self) -> None:
        self.received: list[object] = []

    def dataReceived(self, data: bytes) -> None:
        self.received.append(data)

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        self.received.append(type(reason.value).__name__)


class MemoryConnections(unittest.TestCase):
    def setUp(self) -> None:
        self.link, self.protocol, self.sent = Link(), RecordingProtocol(), list[bytes]()
        self.link.received, self.link.up = self.sent.append, True
        self.reactor = MemoryReactor(VirtualClock(), lambda host, port: self.link)
        factory = ClientFactory()
        factory.buildProtocol = lambda addr: self.protocol  # type: ignore[method-assign]
        self.reactor.connectTCP("10.0.0.1", 1, factory)
        self.reactor.iterate()

    def test_data_is_written_in_the_next_iteration_or_by_a_call(self) -> None:
        self.protocol.transport.write(b"a")
        self.assertEqual(self.sent, [])
        self.reactor.iterate()
        self.assertEqual(self.sent, [b"a"])
        self.protocol.transport.write(b"b")
        self.protocol.transport.doWrite()
        self.assertEqual(self.sent, [b"a", b"b"])
        self.assertFalse(self.reactor.iterate())

    def test_a_pull_producer_is_resumed_at_once_and_again_after_the_write(self) -> None:
        asked = list[int]()

        class Producer:
            def resumeProducing(self) -> None:
                asked.append(len(asked))

            def stopProducing(self) -> None:
                asked.append(-1)

        self.protocol.transport.registerProducer(Producer(), False)
        self.assertEqual(asked, [0])
        self.protocol.transport.write(b"a")
        self.reactor.iterate()
        self.assertEqual(asked, [0, 1])
        self.protocol.transport.abortConnection()
        self.reactor.iterate()
        self.assertEqual(asked, [0, 1, -1])

    def test_a_peek_consumes_nothing_and_a_read_may_precede_the_iteration(self) -> None:
        handle = self.protocol.transport.getHandle()
        with self.assertRaises(BlockingIOError):
            handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        self.link.put(b"abc")
        self.assertEqual(handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT), b"a")
        self.assertEqual(self.protocol.received, [])
        self.protocol.transport.doRead()
        self.assertEqual(self.protocol.received, [b"abc"])
        self.link.end()
        self.assertEqual(handle.recv(1, socket.MSG_PEEK), b"")
        self.reactor.iterate()
        self.assertEqual(self.protocol.received, [b"abc", "ConnectionDone"])
        self.assertTrue(self.link.closed)

    def test_a_reset_discards_what_lies_unread(self) -> None:
        self.link.put(b"abc")
        self.link.reset()
        self.reactor.iterate()
        self.assertEqual(self.protocol.received, ["ConnectionLost"])

    def test_an_abort_ends_it_a_turn_later_and_nothing_more_is_read_or_written(self) -> None:
        self.protocol.transport.write(b"a")
        self.protocol.transport.abortConnection()
        self.link.put(b"abc")
        self.assertEqual(self.protocol.received, [])
        self.reactor.iterate()
        self.assertEqual((self.protocol.received, self.sent), (["ConnectionAborted"], []))

    def test_during_a_pause_in_a_clock_read_the_environment_goes_on(self) -> None:
        clock, done = VirtualClock(), list[float]()
        clock.at(50.0, lambda: done.append(clock.now))
        clock.pause(0.0, 100.0, 1)
        self.assertEqual((clock.monotonic(), done), (0.0, []))
        self.assertEqual((clock.monotonic(), done), (0.1, [50.0]))


if __name__ == "__main__":
    unittest.main()
