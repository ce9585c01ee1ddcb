"""Real processes and servers that pause in an answer: incident 5e36ff, a sound answer was cut off."""

from __future__ import annotations

import time
from functools import partial
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Answered, Exchange, Script, ScriptedServer, all_at_once, ask, request

PAUSE_S, WAIT_S = 0.7, 2.0
SLACK_S = 0.25  # for a busy machine; an answer half a second late is lost
SMALL, LONG = b"s" * 13_363, b"l" * 179_567
NAMES = ("before-body", "before-long-body", "in-body", "in-long-body", "chunked", "in-head", "pieces")


def length(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)


def chunks(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def parts(name: str) -> list[bytes | float]:
    """What a server writes for this name, with its pauses."""
    written: dict[str, list[bytes | float]] = {
        "before-body": [length(SMALL), PAUSE_S, SMALL],
        "before-long-body": [length(LONG), PAUSE_S, LONG],
        "in-body": [length(SMALL) + SMALL[:100], PAUSE_S, SMALL[100:]],
        "in-long-body": [length(LONG) + LONG[:1000], PAUSE_S, LONG[1000:]],
        "chunked": [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", PAUSE_S, chunks(SMALL)],
        "in-head": [length(SMALL)[:20], PAUSE_S, length(SMALL)[20:] + SMALL],
        "pieces": [length(SMALL), *[part for i in range(4) for part in (PAUSE_S / 2, SMALL[i::4])]],
    }
    return written[name]


def play(name: str, exchange: Exchange) -> None:
    exchange.read_body()
    exchange.send(*parts(name))


def never_ends(sent: bytes, exchange: Exchange) -> None:
    exchange.read_body()
    exchange.send(sent)
    exchange.wait_for_close()


def hardly_begun(exchange: Exchange) -> None:
    exchange.read_body()
    exchange.send(length(LONG) + LONG[:100], 3 * PAUSE_S, LONG[100:])


SCRIPTS: dict[str, Script] = {
    **{name: partial(play, name) for name in NAMES},
    "never-a-body": partial(never_ends, length(SMALL)),
    "never-its-end": partial(never_ends, length(SMALL) + SMALL[:5000]),
    "never-a-head": partial(never_ends, length(SMALL)[:20]),
    "never-a-chunk": partial(never_ends, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "never-its-error": partial(never_ends, b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\n"),
    "hardly-begun": hardly_begun,
}  # fmt: skip


class PausedAnswers(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [
            {"Name": "look", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "pure"},
            {"Name": "scan", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "all",
             "MemorySpanMs": 2000.0},
            {"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"},
        ],
    }  # fmt: skip

    def setUp(self) -> None:
        super().setUp()
        self.servers = [self.peer(ScriptedServer(SCRIPTS)) for _ in range(3)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(self.servers)))

    def play(self, cls: str, names: tuple[str, ...], wait_s: float = WAIT_S) -> dict[str, Answered]:
        """Ask for all of these at once, with quick ones before them from which usual times are learnt."""
        for number in range(20):
            self.assertEqual(ask(self.port, request(f"/{cls}/quick", f"{cls}-q{number}", wait_s)).status, 200)
        calls = [partial(ask, self.port, request(f"/{cls}/{n}", f"{cls}-{n}", wait_s)) for n in names]
        return dict(zip(names, all_at_once(*calls), strict=True))

    def runs(self, identity: str) -> int:
        return sum(server.runs[identity] for server in self.servers)

    def judge_whole(self, cls: str) -> None:
        """Every answer that pauses arrives whole, from the one attempt that was begun."""
        found = self.play(cls, NAMES)
        for name, answered in found.items():
            with self.subTest(answer=name):
                self.assertEqual((answered.status, self.runs(f"{cls}-{name}")), (200, 1))
                self.assertEqual(len(answered.body), len(LONG if "long" in name else SMALL))

    # Guards against: an unsafe request is answered 502, 0.3 s after the head of a sound answer that pauses.
    def test_an_unsafe_answer_that_pauses_is_not_cut_off(self) -> None:
        self.judge_whole("note")

    # Guards against: a keyed request is sent again while the first server is writing its answer.
    def test_a_keyed_answer_that_pauses_is_not_cut_off_for_a_retry(self) -> None:
        self.judge_whole("scan")

    # Guards against: as above, by the cancel of an overdue attempt where classes are safe to repeat.
    def test_a_safe_answer_that_pauses_is_not_cut_off_for_a_retry(self) -> None:
        self.judge_whole("look")

    # Guards against: an answer that never ends keeps its request open beyond its time, or for good.
    def test_an_answer_that_never_ends_is_failed_in_time(self) -> None:
        names = tuple(name for name in SCRIPTS if name.startswith("never"))
        for cls in ("note", "scan", "look"):
            for name, answered in self.play(cls, names, 0.9).items():
                with self.subTest(cls=cls, answer=name):
                    # Of the others a refusal is harmless, so that it is an answer too.
                    self.assertIn(answered.status, (502, 504) if cls == "note" else (502, 503, 504))
                    self.assertLess(answered.last_s, 0.9 + SLACK_S)
        self.settle(open=0, server_connections_now=self.gauges()["server_connections_idle"])

    # Guards against: an answer over 64 KiB, whose first bytes count, is cut off at its request's time.
    def test_a_long_answer_that_has_hardly_begun_at_its_time_is_passed_on(self) -> None:
        begin = time.monotonic()
        answered = self.play("note", ("hardly-begun",), 0.9)["hardly-begun"]
        self.assertEqual((answered.status, len(answered.body)), (200, len(LONG)))
        self.assertLess(answered.first_s, 0.9 + SLACK_S)
        self.assertGreater(time.monotonic() - begin, 3 * PAUSE_S)
