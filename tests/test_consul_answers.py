"""The agreement service's answers, when one is followed by a second copy as the next call is out."""

from __future__ import annotations

import socket
from itertools import count
from typing import Any

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from lupinlink.coordination.consul import ConsulSettings, ConsulTransport
from tests.contract_suite import async_test
from tests.loopback_servers import LoopbackServer, read_request

TTL_MS = 1000.0


class SecondAnswers(LoopbackServer):
    """Creates sessions ``lease-1``, ``lease-2`` and so on; each answer comes again with the next request."""

    def __init__(self) -> None:
        self._numbers = count(1)
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        stream, answer = connection.makefile("rb"), b""
        while read_request(stream) is not None:
            connection.sendall(answer)
            body = b'{"ID": "lease-%d"}' % next(self._numbers)
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            connection.sendall(answer)


class ConsulAnswers(TestCase):
    def setUp(self) -> None:
        self.service = SecondAnswers()
        self.addCleanup(self.service.close)
        self.transport = ConsulTransport(reactor, ConsulSettings("127.0.0.1", self.service.port))
        self.addCleanup(self.transport.stop)

    # Guards against a lease that nobody holds: an answer to an earlier call was taken for this one's.
    @async_test
    async def test_a_second_answer_is_not_taken_for_the_next_calls_answer(self: Any) -> None:
        leases = [await self.transport.open(TTL_MS) for _ in range(4)]
        self.assertEqual(leases, ["lease-1", "lease-2", "lease-3", "lease-4"])
