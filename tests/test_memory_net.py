"""The reactor and the TCP in memory, by themselves: that they do as Twisted and the kernel do."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from tests.memory_net import Link, VirtualClock
from tests.memory_reactor import MemoryReactor


class Taking(Protocol):
    """Takes down what it is told."""

    transport: Any

    def __init__(self) -> None:
        self.told: list[object] = []

    def dataReceived(self, data: bytes) -> None:
        self.told.append(data)

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        self.told.append(type(reason.value).__name__)


class Memory(unittest.TestCase):
    def setUp(self) -> None:
        self.link, self.protocol, self.taken = Link(), Taking(), list[bytes]()
        self.link.received, self.link.up = self.taken.append, True
        self.reactor = MemoryReactor(VirtualClock(), lambda host, port: self.link)
        factory = ClientFactory()
        factory.buildProtocol = lambda addr: self.protocol  # type: ignore[method-assign]
        self.reactor.connectTCP("10.0.0.1", 1, factory)
        self.reactor.turn()

    def test_what_is_written_goes_out_in_the_next_turn_or_at_once_when_told(self) -> None:
        self.protocol.transport.write(b"a")
        self.assertEqual(self.taken, [])
        self.reactor.turn()
        self.assertEqual(self.taken, [b"a"])
        self.protocol.transport.write(b"b")
        self.protocol.transport.doWrite()
        self.assertEqual(self.taken, [b"a", b"b"])
        self.assertFalse(self.reactor.turn())

    def test_a_pull_producer_is_asked_at_once_and_again_once_all_is_out(self) -> None:
        asked = list[int]()

        class Producer:
            def resumeProducing(self) -> None:
                asked.append(len(asked))

            def stopProducing(self) -> None:
                asked.append(-1)

        self.protocol.transport.registerProducer(Producer(), False)
        self.assertEqual(asked, [0])
        self.protocol.transport.write(b"a")
        self.reactor.turn()
        self.assertEqual(asked, [0, 1])
        self.protocol.transport.abortConnection()
        self.reactor.turn()
        self.assertEqual(asked, [0, 1, -1])

    def test_a_peek_takes_nothing_and_a_read_may_come_before_the_turn(self) -> None:
        handle = self.protocol.transport.getHandle()
        with self.assertRaises(BlockingIOError):
            handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        self.link.put(b"abc")
        self.assertEqual(handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT), b"a")
        self.assertEqual(self.protocol.told, [])
        self.protocol.transport.doRead()
        self.assertEqual(self.protocol.told, [b"abc"])
        self.link.end()
        self.assertEqual(handle.recv(1, socket.MSG_PEEK), b"")
        self.reactor.turn()
        self.assertEqual(self.protocol.told, [b"abc", "ConnectionDone"])
        self.assertTrue(self.link.closed)

    def test_a_reset_discards_what_lies_unread(self) -> None:
        self.link.put(b"abc")
        self.link.reset()
        self.reactor.turn()
        self.assertEqual(self.protocol.told, ["ConnectionLost"])

    def test_an_abort_ends_it_a_turn_later_and_nothing_more_is_read_or_written(self) -> None:
        self.protocol.transport.write(b"a")
        self.protocol.transport.abortConnection()
        self.link.put(b"abc")
        self.assertEqual(self.protocol.told, [])
        self.reactor.turn()
        self.assertEqual((self.protocol.told, self.taken), (["ConnectionAborted"], []))

    def test_a_pause_in_a_read_of_the_clock_lets_the_world_go_on(self) -> None:
        clock, done = VirtualClock(), list[float]()
        clock.at(50.0, lambda: done.append(clock.now))
        clock.pause(0.0, 100.0, 1)
        self.assertEqual((clock.monotonic(), done), (0.0, []))
        self.assertEqual((clock.monotonic(), done), (0.1, [50.0]))


if __name__ == "__main__":
    unittest.main()
