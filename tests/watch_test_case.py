"""A discovery client with two backends, whose watch is fed bytes by the tests of discovery's lists."""

from __future__ import annotations

import json
import unittest
from typing import Any, cast

from lupinlink.interface import (
    DiscoveryCallFailed,
    DiscoveryEvent,
    DiscoveryMoved,
    DiscoveryWatchEnded,
    Endpoint,
    EndpointState,
    Membership,
    MembershipKind,
)
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.net.list_format import ObjectSplitter
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.net.watch import Watch
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.proxy_process import chunk
from tests.recording_reactor import RecordingReactor

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INVALID_VALUES: tuple[Any, ...] = (None, True, -1, 1.5, float("nan"), float("inf"), 10**400, "", "\x00",
                                   "\ud800", [], [[]], {}, {"a": 1})  # fmt: skip


def entry(uid: Any, state: Any = "in_service", **more: Any) -> dict[str, Any]:
    """Return an entry in discovery's JSON format."""
    return {"uid": uid, "endpoint": "127.0.0.1:7070", "az": "a", "model": "m", "pod_group": 0, "state": state,
            "capacity_hint": 1.0, "boot_ms": 0, **more}  # fmt: skip


def entry_without(field: str, uid: str = "s-1") -> dict[str, Any]:
    """Return an entry that lacks a field."""
    return {name: value for name, value in entry(uid).items() if name != field}


def full_list_response(body: bytes) -> bytes:
    """Return the response to a request for the full list, after which the connection closes."""
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def split_objects(splitter: ObjectSplitter, data: bytes) -> list[Any]:
    """Return the objects that these bytes complete; raises ListError for what is not a JSON object."""
    return [found for piece in splitter.pieces(data) for found in splitter.feed(piece)]


class WatchTestCase(unittest.TestCase):
    """The list holds s-1 and s-2, ready, at version 41, and a first call is made."""

    def setUp(self) -> None:
        self.reactor = RecordingReactor()
        self.reactor.time = 0.0
        self.module_endpoints: dict[str, Endpoint] = {}
        self.kinds: list[MembershipKind] = []
        self.events: list[Membership | DiscoveryEvent] = []
        clock, reactor = cast(ReactorClock, self.reactor), cast(Reactor, self.reactor)
        settings = Settings(classes=(SAFE,), subscribe=True)
        self.counters = Counters()
        self.servers = ApplicationServers(reactor, clock, settings, 8, self.counters)
        self.discovery_client = DiscoveryClient(
            reactor, clock, ("127.0.0.1", 1), settings, self.servers, self.counters
        )
        self.discovery_client.on_event = self.handle_event
        self.reactor.timers.clear()
        self.load(entry("s-1"), entry("s-2"))
        self.discovery_client.call()

    def load(self, *entries: Any) -> None:
        self.discovery_client.start({"rev": 41, "all": True, "targets": list(entries)})

    def handle_event(self, event: Membership | DiscoveryEvent) -> None:
        """Act as the decision module: keep the list, and call a discovery that has moved at once."""
        self.events.append(event)
        if isinstance(event, Membership):
            self.kinds.append(event.kind)
            if event.kind in (MembershipKind.CACHED, MembershipKind.FULL):
                self.module_endpoints.clear()
            self.module_endpoints.update((row.name, row) for row in event.endpoints)
        elif isinstance(event, DiscoveryMoved):
            self.discovery_client.call()

    @property
    def watch(self) -> Watch:
        return self.reactor.dials[-1]

    def send_object(self, raw: Any, head: bytes = HEAD) -> None:
        """Write an object on the watch, after a response head if it is the first one."""
        opened = self.watch.answered
        self.watch.dataReceived((b"" if opened else head) + chunk(json.dumps(raw) + "\n"))

    def send_update(self, rev: Any, *entries: Any, full: Any = False) -> None:
        self.send_object({"rev": rev, "all": full, "targets": list(entries)})

    def ready(self) -> list[str]:
        """Return the ready backends, on which decision module, pools and counters have to agree."""
        found = sorted(
            name for name, row in self.module_endpoints.items() if row.state == EndpointState.READY
        )
        pools = self.servers._pools
        self.assertEqual(found, sorted(name for name, pool in pools.items() if pool.current))
        self.assertEqual(self.discovery_client.ready, len(found))
        return found

    def assert_watch_open(self) -> None:
        self.assertFalse(self.watch.ended.called)

    def assert_watch_ended(self, calls: int = 1) -> None:
        """Assert that the watch has ended, reported so and was one of so many calls; make another call."""
        self.assertTrue(self.watch.ended.called)
        self.assertIsInstance(self.events[-1], DiscoveryCallFailed | DiscoveryWatchEnded)
        self.assertEqual(len(self.reactor.dials), calls)
        self.discovery_client.call()
        self.assertEqual(len(self.reactor.dials), calls + 1)
