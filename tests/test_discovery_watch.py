"""When changes of the list count as notified: call times, silent watches, pushed lists, split objects."""

from __future__ import annotations

import json
import socket
import time
import unittest
from random import Random
from typing import Any, ClassVar

from lupinlink.brain.discovery_times import DiscoveryTimes
from lupinlink.interface import (
    Action,
    Endpoint,
    EndpointState,
    MembershipKind,
    Send,
    Settings,
    Subscribe,
)
from lupinlink.net.list_format import MAX_OBJECT_BYTES, ListError, ObjectSplitter
from tests import test_reload
from tests.helpers import SAFE, NodeHarness
from tests.proxy_process import WAIT, ApplicationServer, ProxyProcessTest, chunk, listing, row
from tests.watch_test_case import split_objects

NOTIFIED_MS = 300.0  # from an update on until a server must get no requests, with a margin for sockets
CALL_MS = 2000.0  # longest time to the response of a call
ALL_NOTIFIED_MS = 6000.0  # every change that discovery has counts as notified by then
GRACE_MS = 150.0  # for a pause of the process


class CallTimes(unittest.TestCase):
    """A proxy without a watch may rely on its list for ``must_ask_ms``, and for 6 s whichever call failed."""

    @staticmethod
    def calls(actions: list[Action]) -> int:
        return sum(isinstance(action, Subscribe) for action in actions)

    @staticmethod
    def sends(actions: list[Action]) -> int:
        return sum(isinstance(action, Send) for action in actions)

    def test_the_first_call_of_each_of_many_comes_in_time_for_an_answer(self) -> None:
        # Restarted proxies made their first call after 10.6 to 12.1 s, though 10 s are allowed, and sent
        # requests to servers that counted as gone.
        for must_ask in (4000.0, 10000.0, 60000.0):
            firsts = []
            for rank in range(200):
                harness = NodeHarness(Settings((SAFE,), (), 0, 200, rank, True, must_ask), seed=rank)
                while not any(isinstance(action, Subscribe) for action in harness.log):
                    harness.advance_to(min(harness.timers)[0])
                firsts.append(harness.now)
            self.assertLess(max(firsts), min(must_ask / 2, ALL_NOTIFIED_MS - CALL_MS))
            self.assertGreater(max(firsts), 0.3 * min(must_ask, ALL_NOTIFIED_MS))  # and they are spread
            # The calls of any hundred that are restarted are spread as well: a call that waits for 2 s fails,
            # and still loads discovery. At random times 12 of 42 first calls failed.
            part = max(firsts) / 7.5
            for killed in (firsts, firsts[::2], firsts[:100], Random(1).sample(firsts, 100)):
                for begin in range(0, int(max(firsts)), 50):
                    crowd = sum(begin <= t < begin + part for t in killed)
                    self.assertLess(crowd, len(killed) / 7.5 * 1.5)

    @staticmethod
    def started(peers: int = 200) -> NodeHarness:
        return NodeHarness(Settings(classes=(SAFE,), subscribe=True, must_ask_ms=10000.0, peers=peers))

    def test_a_new_process_without_a_response_holds_its_requests_for_a_while(self) -> None:
        # An overloaded discovery answered the last first calls only 5.6 s after a start.
        harness = self.started()
        harness.advance_to(3149.0)
        self.assertEqual(self.sends(harness.ask("before", left=900.0)), 1)
        harness.discover([], MembershipKind.FAILED)  # a call that failed confirms nothing
        harness.advance_to(3151.0)
        self.assertEqual(self.sends(harness.ask("held", left=900.0)), 0)
        self.assertEqual(self.sends(harness.advance_to(harness.node.discovery.call_at - 50.0)), 0)
        self.assertEqual(self.sends(harness.ask("still held", left=900.0)), 0)
        while not self.calls(harness.advance_to(min(harness.timers)[0])):
            pass
        actions = harness.discover([Endpoint("b", state=EndpointState.DRAINING)], MembershipKind.DELTA)
        sent = [action for action in actions if isinstance(action, Send)]
        self.assertEqual([(send.request_id, send.endpoint != "b") for send in sent], [("still held", True)])

    def test_a_small_fleet_holds_requests_sooner(self) -> None:
        harness = self.started(peers=5)
        harness.advance_to(1499.0)
        self.assertEqual(self.sends(harness.ask("before", left=900.0)), 1)
        harness.advance_to(1501.0)
        self.assertEqual(self.sends(harness.ask("held", left=20.0)), 0)

    def test_requests_are_held_until_discovery_refuses_calls_or_for_a_limited_time(self) -> None:
        dark = self.started()
        dark.advance_to(4000.0)
        dark.discover([], MembershipKind.FAILED)
        dark.advance_to(5001.0)
        self.assertEqual(self.sends(dark.ask("held", left=20.0)), 0)
        dark.discover([], MembershipKind.FAILED)  # more than a single failure
        self.assertEqual(self.sends(dark.ask("served", left=900.0)), 1)
        mute = self.started()
        mute.advance_to(15149.0)
        self.assertEqual(self.sends(mute.ask("held", left=20.0)), 0)
        mute.advance_to(15151.0)
        self.assertEqual(self.sends(mute.ask("served", left=900.0)), 1)

    def test_a_lost_subscription_of_the_simulator_is_followed_by_a_call(self) -> None:
        # In the simulator one event stands for a failed call and for a lost subscription.
        for peers in (5, 200):
            harness = self.started(peers)
            while not self.calls(harness.advance_to(min(harness.timers)[0])):
                pass
            for _ in range(3):
                harness.discover([Endpoint("a")])
                self.assertEqual(self.calls(harness.advance_to(harness.now + 60000.0)), 0)
                harness.discover([], MembershipKind.FAILED)
                self.assertEqual(self.calls(harness.advance_to(harness.now + 1000.0)), 1)

    def test_a_backoff_and_a_call_fit_in_6_s_however_many_calls_have_failed(self) -> None:
        for must_ask in (4000.0, 10000.0, 60000.0):
            settings = Settings(classes=(SAFE,), subscribe=True, must_ask_ms=must_ask, peers=200)
            waits = []
            for seed in range(20):
                harness = NodeHarness(settings, seed=seed)
                for _ in range(10):
                    harness.advance_to(harness.now + 60000.0)
                    before = harness.now
                    self.assertEqual(self.calls(harness.advance_to(before + 1.0)), 0)
                    harness.discover([], MembershipKind.FAILED)
                    while not self.calls(harness.advance_to(min(harness.timers)[0])):
                        pass
                    waits.append(harness.now - before)
                    self.assertEqual(self.calls(harness.advance_to(before + 5001.0)), 0)  # exactly one call
            given_up = DiscoveryTimes.of(settings).answer_timeout_ms
            self.assertLess(
                max(waits) + given_up + CALL_MS, ALL_NOTIFIED_MS - GRACE_MS
            )  # with a call that delivers
            self.assertGreater(max(waits), 2.0 * min(waits))  # with jitter, so that calls are spread
            self.assertGreater(min(waits), 200.0)


class ObjectsOverLines(unittest.TestCase):
    def test_objects_may_be_indented_and_split_anywhere(self) -> None:
        quoted = '}"]{\\'  # what looks like the end of an object, or of a string
        targets = [{"uid": "a"}, {"uid": quoted, "x": {quoted: [[]]}}]
        wanted = [{"rev": 1, "targets": targets}, {"rev": 2, "targets": []}]
        for indent in (None, 1, 4):
            text = "".join(json.dumps(one, indent=indent) + "\n" for one in wanted).encode()
            for size in (1, 2, 3, 7, len(text)):
                objects, found = ObjectSplitter(), []
                for i in range(0, len(text), size):
                    found += split_objects(objects, text[i : i + size])
                self.assertEqual(found, wanted, (indent, size))
                self.assertEqual(split_objects(objects, b"\n"), [])

    def test_malformed_objects_raise_an_error_at_once(self) -> None:
        for broken in (
            b"not json\n",
            b"{not\n",
            b'{"rev": 1,\n\n',
            b'{"rev" 1}\n',
            b'{"a": "b\n"}\n',
            b"[1]\n",
            b'{"rev": 1} {"rev": 2}\n',
            b'{"rev": 1}}',
            b'{"rev": 1,\n"targets": [{}\n{}]}\n',
            b'{"rev": ]}\n',
        ):
            with self.assertRaises(ListError):
                split_objects(ObjectSplitter(), broken)
        with self.assertRaises(ListError):
            split_objects(ObjectSplitter(), b'{"a":\n' + b" " * MAX_OBJECT_BYTES)


class SilentWatch(ProxyProcessTest):
    def test_a_silent_watch_is_logged_and_replaced_in_time(self) -> None:
        old, new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", old))
        self.discovery.watch()
        began = time.monotonic()
        self.line("watch fell silent")
        again = self.discovery.watch()
        update = listing(42, False, row("s-1", old, "terminating"), row("s-2", new))
        again.sendall(chunk(json.dumps(update, indent=2) + "\n"))  # indented, which has to work too
        until = time.monotonic() + WAIT
        while not new.seen.qsize() and time.monotonic() < until:
            self.ask().read()
        self.assertLess(time.monotonic() - began, 6.0)  # by then every missed change counts as notified


class Pushed(ProxyProcessTest):
    """Lists are pushed: what the local agent has counts at once, whether or not a watch is open."""

    settings: ClassVar[dict[str, Any]] = {"MembershipMode": "automatic"}

    def setUp(self) -> None:
        super().setUp()
        self.old, self.new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.start(row("s-1", self.old))
        self.watch = self.discovery.watch()  # opened before any request, without a subscription

    def test_an_update_of_the_agent_counts_at_once(self) -> None:
        update = listing(42, False, row("s-1", self.old, "terminating"), row("s-2", self.new))
        self.watch.sendall(chunk(json.dumps(update) + "\n"))
        at = time.monotonic()
        while (time.monotonic() - at) * 1000.0 < NOTIFIED_MS:
            self.ask().read()
        self.old.seen.queue.clear()
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual(self.old.seen.qsize(), 0)

    def test_a_watch_that_ends_is_replaced_before_an_update_counts(self) -> None:
        for _ in range(4):  # the backoff does not grow
            at = time.monotonic()
            self.watch.shutdown(socket.SHUT_RDWR)
            self.watch = self.discovery.watch()
            self.assertLess((time.monotonic() - at) * 1000.0, NOTIFIED_MS)

    def test_a_silent_agent_is_called_again_without_a_pause(self) -> None:
        self.line("watch fell silent")
        at = time.monotonic()
        self.discovery.watch()
        self.assertLess((time.monotonic() - at) * 1000.0, NOTIFIED_MS)


class PushedAfterAMove(test_reload.Reload):
    """After SIGHUP, what the other agent has counts 4 s later."""

    settings: ClassVar[dict[str, Any]] = {"MembershipMode": "automatic"}


if __name__ == "__main__":
    unittest.main()
