"""The channel between two processes, over a pair of sockets that the test reads."""

from __future__ import annotations

import os
import socket
import unittest
from collections.abc import Mapping
from typing import Any, cast

from lupinlink.net.handover.channel import Channel
from lupinlink.net.handover.upgrade import Upgrade
from lupinlink.net.twisted_types import Reactor
from tests.recording_upgrade import RecordingChannel, RecordingHost

LARGE_LIST = {"rev": 1, "all": True, "targets": [{"uid": f"s-{i}" * 40} for i in range(2000)]}


class WriterReactor:
    """Knows whether a channel wants to write; the test reads and writes by itself."""

    def __init__(self) -> None:
        self.writers: list[Channel] = []

    def addReader(self, reader: Any) -> None: ...  # noqa: N802
    def removeReader(self, reader: Any) -> None: ...  # noqa: N802

    def addWriter(self, writer: Channel) -> None:  # noqa: N802
        self.writers = [writer]

    def removeWriter(self, writer: Channel) -> None:  # noqa: N802
        self.writers = []


class Channels(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = WriterReactor()
        self.got: list[tuple[str, int | None]] = []
        old, new = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        reactor = cast(Reactor, self.reactor)
        self.old = Channel(reactor, old, self.take, lambda: None)
        self.new = Channel(reactor, new, self.take, lambda: None)
        self.addCleanup(self.old.end)
        self.addCleanup(self.new.end)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def take(self, channel: Channel, message: Mapping[str, Any], descriptor: int | None) -> None:
        self.got.append((message["say"], descriptor))

    def test_an_offer_that_takes_several_reads_brings_its_listener(self) -> None:
        # Guards against a new process that listens by itself beside the old one, with over 430 backends.
        self.old.send("wait")
        self.old.send("offer", self.listener.fileno(), known=LARGE_LIST)
        while len(self.got) < 2:
            self.new.doRead()
            if self.reactor.writers:
                self.old.doWrite()
        (wait, nothing), (offer, descriptor) = self.got
        self.assertEqual((wait, nothing, offer), ("wait", None, "offer"))
        assert descriptor is not None
        with socket.socket(fileno=descriptor) as inherited:
            self.assertEqual(inherited.getsockname(), self.listener.getsockname())

    def test_a_descriptor_whose_offer_does_not_come_whole_is_closed(self) -> None:
        # Guards against a listener that stays open in a process that does not read it.
        self.old.send("offer", self.listener.fileno(), known=LARGE_LIST)
        before = len(os.listdir("/proc/self/fd"))
        self.new.doRead()
        self.new.end()
        self.assertEqual((self.got, len(os.listdir("/proc/self/fd"))), ([], before - 1))


class EarlyCalls(unittest.TestCase):
    def test_a_drain_between_the_offer_and_the_yes_reaches_the_new_process(self) -> None:
        # Guards against a drain that the old process has answered with yes and the new one never hears of.
        channel = RecordingChannel()
        upgrade = Upgrade(RecordingHost(), "n1")
        upgrade.on_message(channel, {"say": "hello", "v": 1, "name": "n1"}, None, 0.0)
        upgrade.pass_on(drain=True)
        upgrade.pass_on(drain=False)
        self.assertEqual(channel.sent, ["offer", "drain", "undrain"])


if __name__ == "__main__":
    unittest.main()
