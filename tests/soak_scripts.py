"""What the backends of the soak do with requests whose path names it."""

from __future__ import annotations

import time
from functools import partial

from tests.scripted_peers import Exchange, Script, answer, paced, stop_reading

WAIT_S, PAUSE_S, WORK_S = 1.5, 0.5, 0.3  # of a client; within an answer; of a request
SMALL, LONG = b"s" * 13_000, b"l" * 300_000
LONG_PER_S = 600_000.0


def head(status: int, body: bytes) -> bytes:
    return answer(body, status)[: -len(body)]


def pause(exchange: Exchange, status: int, body: bytes, first: int) -> None:
    exchange.read_body()
    exchange.send(head(status, body) + body[:first], PAUSE_S, body[first:])


def long_answer(exchange: Exchange, status: int) -> None:
    exchange.read_body()
    exchange.send(*paced(answer(LONG, status), LONG_PER_S))


def work(exchange: Exchange) -> None:
    exchange.read_body()
    time.sleep(WORK_S)
    exchange.send(answer(exchange.identity.encode()))


SCRIPTS: dict[str, Script] = {
    "pause-small": partial(pause, status=200, body=SMALL, first=0),
    "pause-begun": partial(pause, status=200, body=SMALL, first=100),
    "pause-long": partial(pause, status=200, body=LONG, first=1000),
    "pause-error": partial(pause, status=500, body=LONG, first=1000),
    "long": partial(long_answer, status=200),
    "long-error": partial(long_answer, status=503),
    "stuck": partial(stop_reading, read_bytes=5000, stay_s=2 * WAIT_S),
    "work": work,
    "large": work,
}
