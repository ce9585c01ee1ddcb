"""A farm of two backends whose watch is driven with bytes, for the tests of what discovery's lists do."""

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
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.net.watch import Watch
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.proxy_process import chunk
from tests.recording_reactor import RecordingReactor

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WRONG: tuple[Any, ...] = (None, True, -1, 1.5, float("nan"), float("inf"), 10**400, "", "\x00", "\ud800", [],
                          [[]], {}, {"a": 1})  # fmt: skip


def entry(uid: Any, state: Any = "in_service", **more: Any) -> dict[str, Any]:
    """One entry as discovery writes it."""
    return {"uid": uid, "endpoint": "127.0.0.1:7070", "az": "a", "model": "m", "pod_group": 0, "state": state,
            "capacity_hint": 1.0, "boot_ms": 0, **more}  # fmt: skip


def without(field: str, uid: str = "s-1") -> dict[str, Any]:
    """An entry that lacks a field."""
    return {name: value for name, value in entry(uid).items() if name != field}


def whole_answer(body: bytes) -> bytes:
    """The answer to a call for the whole list; the connection ends with it."""
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class WatchTestCase(unittest.TestCase):
    """A farm that holds s-1 and s-2 ready at version 41, and a watch that was asked for."""

    def setUp(self) -> None:
        self.seen = RecordingReactor()
        self.seen.time = 0.0
        self.module: dict[str, Endpoint] = {}
        self.news: list[MembershipKind] = []
        self.events: list[Membership | DiscoveryEvent] = []
        clock, reactor = cast(ReactorClock, self.seen), cast(Reactor, self.seen)
        settings = Settings(classes=(SAFE,), subscribe=True)
        self.counters = Counters()
        self.servers = ApplicationServers(reactor, clock, settings, 8, self.counters)
        self.discovery_client = DiscoveryClient(
            reactor, clock, ("127.0.0.1", 1), settings, self.servers, self.counters
        )
        self.discovery_client.on_event = self.hear
        self.seen.timers.clear()
        self.begin(entry("s-1"), entry("s-2"))
        self.discovery_client.call()

    def begin(self, *entries: Any) -> None:
        self.discovery_client.start({"rev": 41, "all": True, "targets": list(entries)})

    def hear(self, event: Membership | DiscoveryEvent) -> None:
        """As the module does: it learns the list, and has a discovery that moved called at once."""
        self.events.append(event)
        if isinstance(event, Membership):
            self.news.append(event.kind)
            if event.kind in (MembershipKind.CACHED, MembershipKind.FULL):
                self.module.clear()
            self.module.update((row.name, row) for row in event.endpoints)
        elif isinstance(event, DiscoveryMoved):
            self.discovery_client.call()

    @property
    def watch(self) -> Watch:
        return self.seen.dials[-1]

    def tell(self, raw: Any, head: bytes = HEAD) -> None:
        """One object on a watch, which opens with it."""
        opened = self.watch.answered
        self.watch.dataReceived((b"" if opened else head) + chunk(json.dumps(raw) + "\n"))

    def told(self, rev: Any, *entries: Any, full: Any = False) -> None:
        self.tell({"rev": rev, "all": full, "targets": list(entries)})

    def ready(self) -> list[str]:
        """Who is ready for the module, the pools and the counts alike."""
        found = sorted(name for name, row in self.module.items() if row.state == EndpointState.READY)
        pools = self.servers._pools
        self.assertEqual(found, sorted(name for name, pool in pools.items() if pool.current))
        self.assertEqual(self.discovery_client.ready, len(found))
        return found

    def stands(self) -> None:
        """The watch goes on."""
        self.assertFalse(self.watch.ended.called)

    def ended(self, asked: int = 1) -> None:
        """The watch has ended, the module was told so and asks anew; what was known holds."""
        self.assertTrue(self.watch.ended.called)
        self.assertIsInstance(self.events[-1], DiscoveryCallFailed | DiscoveryWatchEnded)
        self.assertEqual(len(self.seen.dials), asked)
        self.discovery_client.call()
        self.assertEqual(len(self.seen.dials), asked + 1)
