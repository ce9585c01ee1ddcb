"""Who asks discovery again, and when, after each end of a watch or a call: the order is given by hand."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import cast

from lupinlink.interface import MembershipKind
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.farm import Farm
from lupinlink.net.typed import Reactor
from lupinlink.net.watch import SILENCE, Watch, WatchDial
from lupinlink.net.wheel import Clockwork, Timer
from lupinlink.settings import Settings
from tests.helpers import SAFE
from tests.stage import chunk

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Recorded:
    """A reactor and a clock that only take down what they are asked."""

    def __init__(self) -> None:
        self.dials: list[Watch] = []
        self.waits: list[tuple[float, Timer]] = []

    def connectTCP(self, host: str, port: int, factory: WatchDial, timeout: object) -> Recorded:  # noqa: N802
        self.dials.append(factory.buildProtocol(None))
        return self

    def disconnect(self) -> None: ...

    def now(self) -> float:
        return 0.0

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        self.waits.append((delay_ms, Timer(0, call)))
        return self.waits[-1][1]

    def fire(self) -> None:
        """All timers that stand now; those that they set wait."""
        waits, self.waits = self.waits, []
        for _, timer in waits:
            if timer.call is not None:
                timer.call()


class WhoAsks(unittest.TestCase):
    """Somebody asks again after every end, and nobody twice."""

    def setUp(self) -> None:
        self.seen, self.news = Recorded(), list[MembershipKind]()
        clock, reactor = cast(Clockwork, self.seen), cast(Reactor, self.seen)
        settings, counters = Settings(classes=(SAFE,), subscribe=True), Counters()
        servers = ApplicationServers(reactor, clock, settings, 8, counters)
        self.farm = Farm(reactor, clock, ("127.0.0.1", 1), settings, servers, counters)
        self.farm.news = lambda kind, rows: self.news.append(kind)
        self.seen.waits.clear()
        self.farm.watch()

    def test_silence_is_followed_by_a_call_at_once_and_only_its_failure_by_a_wait(self) -> None:
        self.seen.dials[0].dataReceived(HEAD)
        self.seen.fire()
        self.seen.fire()  # it is silent indeed
        self.assertEqual(
            ([delay for delay, _ in self.seen.waits], self.news), ([0.0], [MembershipKind.DELTA])
        )
        self.seen.fire()
        self.assertEqual(len(self.seen.dials), 2)
        self.seen.dials[1].end("discovery answered 503")
        self.assertEqual(self.news, [MembershipKind.DELTA, MembershipKind.FAILED])

    def test_a_call_without_an_answer_is_no_watch_and_waits(self) -> None:
        # Asked at once, a discovery with too many callers would get ever the same number of them.
        self.seen.dials[0].end(SILENCE)
        self.assertEqual(self.news, [MembershipKind.FAILED])

    def test_news_that_lies_unread_as_the_silence_ends_is_read_first(self) -> None:
        # After a pause of the process its timers are first: the news would go down with the watch.
        self.seen.fire()
        told = {"rev": 7, "all": False, "targets": []}
        body = chunk(json.dumps(told) + "\n")
        self.seen.dials[0].dataReceived(HEAD + body)
        self.assertEqual(
            (self.farm.version, self.news), (7, [MembershipKind.DELTA] * 2)
        )  # with that of its head
        silence = self.seen.waits[0][1]
        self.assertIsNone(silence.call)  # the watch goes on

    def test_a_move_in_the_modules_wait_does_not_make_it_wait_twice_over(self) -> None:
        # Each further wait asks and fails on its own: a discovery that is down was called ever more often.
        self.seen.dials[0].end("no connection")
        self.farm.move(("127.0.0.1", 2))
        self.seen.dials[1].end("no connection")
        self.assertEqual(self.news, [MembershipKind.FAILED])
        self.farm.watch()  # its wait is over
        self.seen.dials[2].end("no connection")
        self.assertEqual(self.news, [MembershipKind.FAILED] * 2)

    def test_after_a_stop_nobody_asks_and_nobody_is_told(self) -> None:
        self.seen.dials[0].dataReceived(HEAD)
        self.seen.dials[0].end(SILENCE)
        self.farm.stop()
        self.seen.fire()
        self.assertEqual((len(self.seen.dials), self.news), (1, [MembershipKind.DELTA]))


if __name__ == "__main__":
    unittest.main()
