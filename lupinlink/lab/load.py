"""The load tool alone: open-loop requests to one address on loopback, and one emulated server to aim at."""

from __future__ import annotations

import asyncio
import ipaddress
import signal
import time
from collections.abc import Callable
from functools import partial

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct

from lupinlink.lab.callers import Answer, Call, Pool
from lupinlink.lab.emulated import HOST, listen
from lupinlink.lab.errors import LoadError as LoadError
from lupinlink.lab.loop import LoopClock
from lupinlink.lab.model.servers import NEVER_RUN, Ending, Job, Machine, Server
from lupinlink.lab.model.streams import Streams
from lupinlink.lab.results import Latencies, latencies
from lupinlink.net import http1
from lupinlink.settings import parse_address

MOST_RATE, MOST_SECONDS = 50_000.0, 600.0
LEAD_S, PATIENCE_S = 0.2, 5.0


class Loaded(Struct, frozen=True):
    """What came of a load. Latencies count from when a request was due, not from when it went out."""

    target: str
    rate: float
    seconds: float
    sent: int
    answers: dict[str, int]  # by status; 0: nothing whole came back
    without_connection: int
    connections: int
    latency: Latencies
    send_error: Latencies  # how late requests went out
    cpu_share: float  # of one core, this program's own


def loopback(text: str) -> tuple[str, int]:
    """HOST:PORT, which must be on this machine."""
    host, port = parse_address(text, "--target")
    try:
        near = ipaddress.ip_address(host).is_loopback
    except ValueError:
        near = False
    if not near:
        raise LoadError(f"--target: {host} is no address on loopback (127.0.0.0/8)")
    return host, port


def load(
    target: str, rate: float, seconds: float, path: str, give_up_ms: float, connections: int, seed: int
) -> Loaded:
    """Send a Poisson stream of GETs to an address on loopback, whatever comes back and when."""
    host, port = loopback(target)
    if not 0.0 < rate <= MOST_RATE:
        raise LoadError(f"--rate: {rate:g} is not over 0 and up to {MOST_RATE:g} a second")
    if not 0.0 < seconds <= MOST_SECONDS:
        raise LoadError(f"--seconds: {seconds:g} is not over 0 and up to {MOST_SECONDS:g}")
    if not path.startswith("/"):
        raise LoadError(f"--path: {path!r} does not begin with /")
    return asyncio.run(_load(host, port, rate, seconds, path, give_up_ms, connections, seed))


async def _load(
    host: str,
    port: int,
    rate: float,
    seconds: float,
    path: str,
    give_up_ms: float,
    connections: int,
    seed: int,
) -> Loaded:
    loop = asyncio.get_running_loop()
    generator = Streams(seed).generator("load")
    count = int(generator.poisson(rate * seconds))
    due = sorted((generator.random(count) * seconds).tolist())
    errors, spent = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    answers: dict[str, int] = {}
    done = asyncio.Event()
    left = count
    began = loop.time() + LEAD_S
    limits: dict[str, asyncio.TimerHandle] = {}

    def wrote(call: Call) -> None:
        if not call.again:
            late = loop.time() - began - due[int(call.name)]
            errors.record_value(max(1, int(late * 1e6)))

    def ended(name: str, answer: Answer) -> None:
        nonlocal left
        limit = limits.pop(name, None)
        if limit is not None:
            limit.cancel()
        key = str(answer.status) if answer.written else "no connection"
        answers[key] = answers.get(key, 0) + 1
        if answer.status == 200:
            spent.record_value(max(1, int((loop.time() - began - due[int(name)]) * 1e6)))
        left -= 1
        if not left:
            done.set()

    def overdue(call: Call) -> None:
        call.leave()
        ended(call.name, Answer(0))

    pool = Pool(loop, host, port, connections, wrote)
    head = f"GET {path}%d HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: l{seed}-%d\r\n"
    head += f"X-Expires-In-Ms: {int(give_up_ms)}\r\n\r\n"
    at = 0

    def pump() -> None:
        nonlocal at
        now = loop.time() - began
        while at < count and due[at] <= now:
            name = str(at)
            call = Call(name, (head % (at, at)).encode(), partial(ended, name))
            limits[name] = loop.call_later(give_up_ms / 1000.0, overdue, call)
            pool.send(call)
            at += 1
        if at < count:
            loop.call_at(began + due[at], pump)

    busy = time.process_time()
    if count:
        loop.call_at(began + due[0], pump)
        await asyncio.wait_for(done.wait(), LEAD_S + seconds + give_up_ms / 1000.0 + PATIENCE_S)
    share = (time.process_time() - busy) / max(loop.time() - began, 1e-9)
    pool.close()
    return Loaded(
        f"{host}:{port}", rate, seconds, count, dict(sorted(answers.items())), pool.turned_away, pool.dialled,
        latencies(spent), latencies(errors), round(share, 3),
    )  # fmt: skip


class Bare(asyncio.Protocol):
    """A connection to the one emulated server that stands alone."""

    def __init__(self, offer: Callable[[Bare, http1.Message], None]) -> None:
        self._offer = offer
        self._parser = http1.RequestParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while (message := self._parser.next()) is not None:
                self._offer(self, message)
        except http1.MessageError as exc:
            self.answer(http1.response(exc.status, [], b"", close=True))

    def answer(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


OK = http1.response(200, [], b"ok", close=False)
FULL = http1.response(503, [("X-Never-Ran", "1")], b"", close=False)


def stand(port: int, work_ms: float, machine: Machine, seed: int, ready: Callable[[int], None]) -> int:
    """One emulated server until a signal ends it; without work it answers at once. Gives what it answered."""
    return asyncio.run(_stand(port, work_ms, machine, seed, ready))


async def _stand(port: int, work_ms: float, machine: Machine, seed: int, ready: Callable[[int], None]) -> int:
    loop = asyncio.get_running_loop()
    clock, streams = LoopClock(loop), Streams(seed)
    server = Server("s", machine, clock, streams.draws("server"), clock.now(), warm=True)
    draws = streams.generator("work")
    answered = 0

    def offer(line: Bare, message: http1.Message) -> None:
        nonlocal answered
        answered += 1
        if work_ms <= 0.0:
            line.answer(OK)
            return

        def ended(how: Ending, report: dict[str, float]) -> None:
            line.answer(FULL if how in NEVER_RUN else OK)

        server.offer(Job(float(draws.exponential(work_ms)), 0.0, -1, float("inf"), ended))

    sock = listen(port)
    front = await loop.create_server(lambda: Bare(offer), sock=sock)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ready(sock.getsockname()[1])
    await stop.wait()
    front.close()
    clock.stop()
    return answered


__all__ = ["HOST", "LoadError", "Loaded", "load", "loopback", "stand"]
