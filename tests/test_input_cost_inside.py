"""The work for what has been parsed: lists, settings, operators' calls, requests, log lines and timers."""

from __future__ import annotations

import json
import tempfile
import unittest
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, cast

from lupinlink.coordination.component import AdminResponse
from lupinlink.net import http1
from lupinlink.net.application_servers.outcomes import outcome
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.clients.request_reader import RequestReader
from lupinlink.net.counters import Counters
from lupinlink.net.deadlines import Deadlines
from lupinlink.net.fleet_host import make_handler
from lupinlink.net.list_format import ListError
from lupinlink.net.list_reader import ListReader
from lupinlink.net.log import pair
from lupinlink.net.management import ManagementApi
from lupinlink.net.timer_wheel import TimerWheel
from lupinlink.settings import Settings, SettingsError, load_config
from tests.helpers import SAFE
from tests.watch_test_case import entry
from tests.work_growth import MAX_GROWTH, Build, work_growth

HEAD_BYTES = http1.MAX_HEAD // 9
ENTRIES, CONFIG_BYTES, TIMERS = 100, 20_000, 1000
SETTINGS = Settings(classes=(SAFE,))
CLASS = {"Name": "look", "HardLimitMs": 1000.0, "Effect": "pure"}

LISTED: dict[str, Callable[[int], Any]] = {  # the entries of a list
    "new backends": lambda n: [entry(f"s-{i}") for i in range(n)],
    "one backend again and again": lambda n: [entry("s-1", x=i) for i in range(n)],
    "names that can't be read": lambda n: [entry(None)] * n,
    "states that are unknown": lambda n: [entry(f"s-{i}", "x" * 99) for i in range(n)],
    "a long name": lambda n: [entry("s" * 100 * n)],
    "digits of a time": lambda n: [entry("s-1", boot_ms="1" * 100 * n)],
    "digits of a port": lambda n: [entry("s-1", endpoint="a:" + "1" * 100 * n)],
}
CONFIGURED: dict[str, Callable[[int], object]] = {  # what SIGHUP reads
    "classes": lambda n: {"settings": {"Classes": [CLASS] * (n // 60)}},
    "zones": lambda n: {"settings": {"Classes": [CLASS], "Zones": ["z"] * (n // 5)}},
    "a known list": lambda n: {
        "settings": {"Classes": [CLASS]},
        "known": {"targets": [{"uid": "a"}] * (n // 14)},
    },
    "digits of a seed": lambda n: {"settings": {"Classes": [CLASS]}, "seed": "f" * n},
    "digits of an address": lambda n: {"settings": {"Classes": [CLASS]}, "listen": "a:" + "1" * n},
    "no JSON": lambda n: "{" * n,
}
QUERIES: dict[str, Callable[[int], str]] = {  # of an operator's call
    "one field": lambda n: "a=" + "b" * n,
    "many fields": lambda n: "a=b&" * (n // 4),
    "escapes": lambda n: "a=" + "%41" * (n // 3),
    "broken escapes": lambda n: "a=" + "%" * n,
    "a name twice": lambda n: f"{'a' * (n // 2)}=1&{'a' * (n // 2)}=2",
    "no field": lambda n: "&" * n,
}
HEADERS: dict[str, Callable[[int], tuple[str, str]]] = {  # of a request or an answer
    "connection options": lambda n: ("connection", "a, " * (n // 3)),
    "an id": lambda n: ("x-trace-id", "a" * n),
    "ids": lambda n: ("x-trace-id", "a," * (n // 2)),
    "digits of a deadline": lambda n: ("x-expires-in-ms", "1" * n),
    "a load report": lambda n: ("endpoint-load-metrics", "TEXT " + "util=1," * (n // 7)),
}


def read_list(raw: object) -> None:
    """Read one object of discovery."""
    with suppress(ListError):
        ListReader(SETTINGS).read(raw)


def call(query: str) -> int:
    """Make an operator's call of a fleet; returns its status."""
    handler = make_handler(lambda request: AdminResponse(200, "yes\n"))
    api = ManagementApi({"/control/x": {"GET": handler}}, 4, cast(Any, None), Counters())
    message = http1.Message(1, [], method="GET", target=f"/control/x?{query}")
    return api.call(message)[0]


def read_head(name: str, value: str) -> None:
    """Read a request and an answer with this header."""
    lookup = {"x-trace-id": "a", name: value}
    with suppress(http1.MessageError):
        request = http1.Message(1, list(lookup.items()), method="GET", target="/look/1", lookup=lookup)
        RequestReader(SETTINGS, BodyBudget(0)).read(request, "/look/1")
    answer = http1.Message(1, list(lookup.items()), status=200, lookup=lookup)
    answer.keeps_open()
    outcome(answer)


def ignore() -> None:
    """What a timer calls."""


def use_timers(count: int, dropped: bool) -> None:
    """Start timers and deadlines, drop them or let them pass."""
    wheel, deadlines = TimerWheel(0.0), Deadlines()
    for i in range(count):
        timer, number = wheel.add(1000.0 + i % 50, ignore), deadlines.add(1000.0 + i % 50, ignore)
        if dropped:
            timer.drop()
            deadlines.drop(number)
    for now in range(0, 2000, 5):
        wheel.due(now)
        wheel.next_at()
        deadlines.due(now)


class InnerCost(unittest.TestCase):
    def check(self, what: str, build: Build, small: int) -> None:
        with self.subTest(what):
            self.assertLess(work_growth(build, small), MAX_GROWTH, what)

    def test_the_entries_of_a_list_are_read_in_proportion_to_their_number(self) -> None:
        # Guards against a hang by a list whose entries are compared with each other, or by a long field.
        for what, listed in LISTED.items():

            def build(size: int, listed: Callable[[int], Any] = listed) -> Callable[[], None]:
                raw = {"rev": 1, "all": True, "targets": listed(size)}
                return lambda: read_list(raw)

            self.check(what, build, ENTRIES)

    def test_settings_are_read_anew_in_proportion_to_their_length(self) -> None:
        # Guards against a hang by a configuration file that SIGHUP reads.
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "config.json"

            def read() -> None:
                with suppress(SettingsError):
                    load_config({}, str(file), reload=True)

            for what, configured in CONFIGURED.items():

                def build(size: int, configured: Callable[[int], object] = configured) -> Callable[[], None]:
                    content = configured(size)
                    text = (
                        content
                        if isinstance(content, str)
                        else json.dumps(
                            {"listen": "a:1", "discovery": "a:2", **cast(dict[str, Any], content)}
                        )
                    )
                    file.write_text(text)
                    return read

                self.check(what, build, CONFIG_BYTES)

    def test_an_operators_query_is_read_in_proportion_to_its_length(self) -> None:
        # Guards against a hang by a call to the operators' listener.
        for what, fill in QUERIES.items():

            def build(size: int, fill: Callable[[int], str] = fill) -> Callable[[], object]:
                query = fill(size)
                return lambda: call(query)

            self.check(what, build, HEAD_BYTES)

    def test_headers_are_used_in_proportion_to_their_length(self) -> None:
        # Guards against a hang by a header that is well formed and long.
        for what, fill in HEADERS.items():

            def build(size: int, fill: Callable[[int], tuple[str, str]] = fill) -> Callable[[], None]:
                name, value = fill(size)
                return lambda: read_head(name, value)

            self.check(what, build, HEAD_BYTES)

    def test_what_was_read_is_logged_in_proportion_to_its_length(self) -> None:
        # Guards against a hang by a log line of what a peer has sent.
        for what, text in {"plain": "a", "spaces": " ", "control characters": "\x01", "quotes": '"'}.items():

            def build(size: int, text: str = text) -> Callable[[], object]:
                return lambda: pair("why", text * size)

            self.check(what, build, HEAD_BYTES)

    def test_timers_are_kept_in_proportion_to_their_number(self) -> None:
        # Guards against an event loop that slows down with hundreds of thousands of timers.
        for dropped in (False, True):

            def build(size: int, dropped: bool = dropped) -> Callable[[], None]:
                return lambda: use_timers(size, dropped)

            self.check(f"dropped {dropped}", build, TIMERS)


if __name__ == "__main__":
    unittest.main()
