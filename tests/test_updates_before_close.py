"""An update that discovery has written to a call is applied before that call is closed."""

from __future__ import annotations

import json
import select
import socket
import unittest

from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.manual_reactor import ManualReactorTest
from tests.proxy_process import WAIT, chunk, listing, row

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNUSED = ("127.0.0.1", 1)


class Listening:
    """A discovery whose answers the test writes by hand."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port


class UnreadCalls(ManualReactorTest):
    def setUp(self) -> None:
        super().setUp()
        self.discovery = self.listening()
        settings = Settings(classes=(SAFE,), subscribe=True)
        self.client = DiscoveryClient(
            self.reactor, self.loop.clock, self.discovery.address, settings, self.servers, Counters()
        )
        self.addCleanup(self.client.stop)
        self.loop.idle_connection()

    def listening(self) -> Listening:
        discovery = Listening()
        self.addCleanup(discovery.socket.close)
        return discovery

    def called(self, discovery: Listening) -> socket.socket:
        """Discovery's end of one more call, whose request has arrived."""
        self.client.call()
        self.loop.iterate_until(lambda: select.select([discovery.socket], [], [], 0)[0])
        call, _ = discovery.socket.accept()
        self.addCleanup(call.close)
        self.loop.iterate_until(lambda: select.select([call], [], [], 0)[0])
        call.recv(65536)
        return call

    def tell_drain(self, call: socket.socket, whole: bool) -> None:
        """Write an update on it, and wait until the kernel has it for the proxy."""
        drained = row("s-1", self.discovery, "terminating")  # type: ignore[arg-type]
        drained["endpoint"] = "{}:{}".format(*self.loop.listener.getsockname())
        text = json.dumps(listing(42, whole, drained))
        body = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text.encode())
        call.sendall(body if whole else HEAD + chunk(text + "\n"))
        waiting = [watch.transport.getHandle() for watch in self.client._calls]
        self.assertTrue(select.select(waiting, [], [], WAIT)[0])

    # Guards against a drain that counts as told being dropped with the call it was written to, at SIGHUP.
    def test_a_call_that_a_new_address_closes(self) -> None:
        self.called(self.discovery)
        self.tell_drain(self.called(self.discovery), whole=False)
        self.client.move(UNUSED)
        self.iterate()
        self.assertEqual(self.client.version, 42)

    # Guards against the same where configurations follow one another before the first of them has been told.
    def test_a_call_to_a_new_address_that_the_next_one_closes(self) -> None:
        watch = self.called(self.discovery)
        watch.sendall(HEAD + chunk(json.dumps(listing(41, False)) + "\n"))
        self.loop.iterate_until(lambda: self.client.version == 41)
        new = self.listening()
        self.client.move(new.address)
        self.tell_drain(self.called(new), whole=True)
        self.client.move(UNUSED)
        self.iterate()
        self.assertEqual(self.client.version, 42)


if __name__ == "__main__":
    unittest.main()
