"""When discovery is called again after each end of a watch or a call, with the order of events scripted.

The real list, watch and decision module run on a reactor and a clock that only record calls.
"""

from __future__ import annotations

import json
import unittest
from random import Random
from typing import cast

from lupinlink.brain import Balancer
from lupinlink.interface import Action, Event, SetTimer, Settings, Subscribe, TimerFired
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.net.watch import Watch
from tests.helpers import SAFE
from tests.proxy_process import chunk
from tests.recording_reactor import RecordingReactor

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE = chunk("\n")


class FakeTransport:
    """A transport that discards what is written."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802
    def write(self, data: bytes) -> None: ...
    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class DiscoveryCallsTest(unittest.TestCase):
    """Every end is followed by one call, never by two."""

    subscribe = True
    peers = 1

    def setUp(self) -> None:
        self.reactor = RecordingReactor()
        clock, reactor = cast(ReactorClock, self.reactor), cast(Reactor, self.reactor)
        settings = Settings(classes=(SAFE,), subscribe=self.subscribe, peers=self.peers)
        counters = Counters()
        servers = ApplicationServers(reactor, clock, settings, 8, counters)
        self.discovery_client = DiscoveryClient(reactor, clock, ("127.0.0.1", 1), settings, servers, counters)
        self.node = Balancer(settings, Random(1))
        self.reactor.timers.clear()  # the sweep of idle connections
        self.discovery_client.on_event = self.handle_event
        self.discovery_client.start({})

    def handle_event(self, event: Event) -> None:
        for action in self.node.handle(self.reactor.time, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Subscribe):
            self.discovery_client.call()
        elif isinstance(action, SetTimer):
            token = action.token
            self.reactor.after(action.delay_ms, lambda: self.handle_event(TimerFired(token)))

    def calls_by(self, until: float) -> int:
        """Advance to this time; return the number of calls made."""
        self.reactor.until(until)
        return len(self.reactor.dials)

    def connect(self, number: int, data: bytes = b"") -> Watch:
        """Establish the connection of this call and receive ``data``."""
        watch = self.reactor.dials[number]
        watch.transport = cast(object, FakeTransport())  # type: ignore[assignment]
        watch.connectionMade()
        if data:
            watch.dataReceived(data)
        return watch


class Subscribed(DiscoveryCallsTest):
    def test_silence_is_followed_by_a_call_at_once_and_its_failure_by_a_backoff(self) -> None:
        self.assertEqual(self.calls_by(1002.0), 1)
        self.connect(0, HEAD + EMPTY_LINE)
        self.assertEqual(self.calls_by(3601.0), 1)
        self.assertEqual(self.calls_by(3603.0), 2)  # 2.6 s after its last activity
        self.connect(1).end("discovery answered 503")
        self.assertEqual(self.calls_by(3603.0 + 249.0), 2)
        self.assertEqual(self.calls_by(3603.0 + 751.0), 3)

    def test_an_unanswered_call_gets_others_beside_it(self) -> None:
        # In a small fleet, which does not overload discovery: three, a second apart, until one has ended.
        self.calls_by(1002.0)
        self.connect(0, HEAD + EMPTY_LINE).end("discovery ended it")
        self.assertEqual(self.calls_by(1002.0 + 751.0), 2)
        began = self.reactor.dials[1].started_at
        for number in (1, 2):
            self.connect(number)
            self.assertEqual(self.calls_by(began + number * 1000.0 - 1.0), number + 1)
            self.assertEqual(self.calls_by(began + number * 1000.0 + 1.0), number + 2)
        self.connect(3)
        self.assertEqual(
            self.calls_by(1002.0 + 751.0 + 2200.0 + 249.0), 4
        )  # one is given up: a backoff again
        self.assertEqual(self.calls_by(1002.0 + 751.0 + 2200.0 + 752.0), 5)
        self.assertEqual(len(self.discovery_client._calls), 3)

    def test_a_late_connection_gets_another_beside_it_and_the_first_to_deliver_wins(self) -> None:
        self.assertEqual(self.calls_by(1001.0 + 749.0), 1)
        self.assertEqual(self.calls_by(1001.0 + 751.0), 2)
        late, quick = self.connect(0), self.connect(1)
        quick.dataReceived(HEAD + EMPTY_LINE)
        self.assertTrue(cast(FakeTransport, late.transport).aborted)
        self.assertFalse(cast(FakeTransport, quick.transport).aborted)
        quick.dataReceived(EMPTY_LINE)
        self.assertEqual(self.calls_by(4000.0), 2)

    def test_calls_that_never_connect_are_repeated_and_do_not_pile_up(self) -> None:
        self.calls_by(61_000.0)
        self.assertGreater(len(self.reactor.dials), 60_000.0 / 1500.0)
        self.assertLess(len(self.reactor.dials), 60_000.0 / 700.0)
        self.assertLessEqual(len(self.discovery_client._calls), 3)

    def test_a_head_alone_confirms_nothing_and_the_silence_after_it_ends_the_call(self) -> None:
        self.calls_by(1002.0)
        self.connect(0, HEAD)
        self.assertEqual(self.calls_by(1002.0 + 2597.0), 1)
        for at in (1002.0, 1002.0 + 2199.0, 1002.0 + 2597.0):  # a started process holds all that time
            self.assertTrue(self.node.discovery.holds(at))
        self.assertEqual(self.calls_by(1002.0 + 2605.0), 2)

    def test_an_incomplete_update_holds_requests_until_discovery_has_delivered(self) -> None:
        self.calls_by(1002.0)
        update = json.dumps({"rev": 7, "all": False, "targets": []}) + "\n"
        watch = self.connect(0, HEAD + EMPTY_LINE)
        for whole, begun in ((b"", b"3"), (b"", b"3e\r\n"), (chunk(update), b"1"), (b"", b"")):
            with self.subTest(begun=begun):
                watch.dataReceived(whole + begun)
                self.assertEqual(self.node.discovery.holds(self.reactor.time), bool(begun))
                watch._parser.buffer.clear()
                watch._parser._chunk = -1

    def test_an_error_response_in_pieces_carries_no_update(self) -> None:
        self.calls_by(1002.0)
        self.connect(0, HEAD + EMPTY_LINE).end("discovery ended it")
        self.calls_by(1002.0 + 751.0)
        call = self.connect(1, b"HTTP/1.1 50")
        self.assertTrue(self.node.discovery.holds(self.reactor.time))
        call.dataReceived(b"3 Busy\r\nContent-Length: 0\r\n\r\n")
        self.assertFalse(self.node.discovery.holds(self.reactor.time))

    def test_an_unread_update_is_read_before_the_silence_timeout_ends_the_watch(self) -> None:
        # After a pause of the process its timers run first: the update would be lost with the watch.
        self.calls_by(1002.0)
        watch = self.connect(0, HEAD + EMPTY_LINE)
        self.reactor.time += 2600.0
        due = min(self.reactor.timers, key=lambda pair: pair[0])
        self.reactor.timers.remove(due)
        assert due[1].call is not None
        due[1].call()
        watch.dataReceived(chunk(json.dumps({"rev": 7, "all": False, "targets": []}) + "\n"))
        self.assertEqual(
            (self.discovery_client.version, self.calls_by(self.reactor.time + 100.0)), (7, 1)
        )  # the watch stays open

    def test_a_move_during_a_backoff_replaces_it(self) -> None:
        # Backoffs that run side by side each make calls: a discovery that was down got ever more of them.
        self.calls_by(1002.0)
        self.reactor.dials[0].end("no connection")
        self.discovery_client.move(("127.0.0.1", 2))
        self.assertEqual(self.calls_by(1002.0), 2)  # at once
        self.reactor.dials[1].end("no connection")
        self.assertEqual(self.calls_by(1002.0 + 751.0), 3)
        self.reactor.dials[2].end("no connection")
        self.assertEqual(self.calls_by(1002.0 + 751.0 + 249.0), 3)  # the first backoff makes no call any more

    def test_after_a_stop_no_call_is_made(self) -> None:
        self.calls_by(1002.0)
        self.connect(0, HEAD + EMPTY_LINE)
        self.discovery_client.stop()
        self.assertEqual(self.calls_by(60_000.0), 1)


class SubscribedInALargeFleet(DiscoveryCallsTest):
    peers = 40

    def test_an_unanswered_call_is_followed_by_a_backoff(self) -> None:
        # Called again at once, an overloaded discovery would never get fewer callers.
        self.calls_by(1002.0)
        self.connect(0, HEAD + EMPTY_LINE).end("discovery ended it")
        self.assertEqual(self.calls_by(1002.0 + 751.0), 2)
        began = self.reactor.dials[1].started_at
        self.connect(1)
        self.assertEqual(self.calls_by(began + 751.0), 2)
        self.assertEqual(self.calls_by(1002.0 + 751.0 + 2200.0 + 499.0), 2)
        self.assertEqual(self.calls_by(1002.0 + 751.0 + 2200.0 + 1501.0), 3)


class Pushed(DiscoveryCallsTest):
    subscribe = False

    def test_a_silent_agent_is_called_again_all_the_time(self) -> None:
        """What it has counts at once when it is back, so a recent call has to be open by then."""
        self.calls_by(1000.0)
        for time in range(1150, 9000, 150):
            self.assertGreaterEqual(self.calls_by(time + 60.0), (time - 1000) // 300)
            self.assertLessEqual(len(self.discovery_client._calls), 3)
            if len(self.reactor.dials) % 2:
                self.connect(len(self.reactor.dials) - 1)

    def test_an_agent_that_sends_nothing_confirms_the_list_soon(self) -> None:
        self.calls_by(1000.0)
        self.connect(0, HEAD)
        self.assertTrue(self.node.discovery.holds(1050.0))
        self.calls_by(1101.0)
        self.assertFalse(self.node.discovery.holds(1101.0))


if __name__ == "__main__":
    unittest.main()
